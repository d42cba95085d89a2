/** Estimates of service times and delays from the observations of this gateway (§4.3), for holds and waits. */
import type { Config } from '@thornsail/config-schema';
import { duration, type Microseconds } from '@thornsail/runtime';
import { delayEstimate, type DelayEstimate } from '../delay-estimate.js';

/** Estimates, and the observations that update them. The operations are those of `Admission`. */
export type ServiceTimes = {
  expectedService: (className: string) => Microseconds;
  estimatedDelay: (className: string, forced?: boolean) => Microseconds;
  observeService: (className: string, took: Microseconds) => void;
  observeCharge: (took: Microseconds) => void;
  observeFirstToken: (className: string, took: Microseconds, forced: boolean) => void;
};

/** Estimates before the first observation. */
const initialFirstToken = duration.ms(150);
const initialCharge = duration.ms(10);
const defaultServiceMs = 300;
/** Weight of a new observation in the moving average of service times. */
const observationWeight = 0.2;

/** Opens the estimates of one gateway. */
export const serviceTimes = {
  open: (config: () => Config | undefined): ServiceTimes => {
    const service = new Map<string, Microseconds>();
    const firstTokens = new Map<string, DelayEstimate>();
    const forcedFirstTokens = new Map<string, DelayEstimate>();
    const unknownFirstToken = delayEstimate.open(initialFirstToken);
    const charges = delayEstimate.open(initialCharge);
    const expectedService = (className: string): Microseconds =>
      service.get(className) ?? duration.ms(config()?.classes[className]?.expectedMs ?? defaultServiceMs);
    /** A forced turn goes to a worker without a free slot, where it waits for about one turn to end. */
    const forcedDelay = (className: string): Microseconds =>
      forcedFirstTokens.get(className)?.upperBound() ?? expectedService(className);
    return {
      expectedService,
      estimatedDelay: (className, forced = false) => {
        const usual = (firstTokens.get(className) ?? unknownFirstToken).upperBound();
        return Math.max(usual, forced ? forcedDelay(className) : 0) + charges.upperBound();
      },
      observeService: (className, took) =>
        void service.set(
          className,
          Math.round(expectedService(className) * (1 - observationWeight) + took * observationWeight),
        ),
      observeCharge: (took) => charges.observe(took),
      observeFirstToken: (className, took, forced) => {
        const times = forced ? forcedFirstTokens : firstTokens;
        const estimate = times.get(className) ?? delayEstimate.open(forced ? expectedService(className) : took);
        times.set(className, estimate);
        estimate.observe(took);
      },
    };
  },
};
