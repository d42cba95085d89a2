/** How long turns of a class take, as this gateway has seen them (§4.3): moving means that holds and waits go by. */
import type { Config } from '@thornsail/config-schema';
import { duration, type Microseconds } from '@thornsail/runtime';
import { likely, type Likely } from '../likely.js';

/** Observed times, in microseconds. */
export type ServiceTimes = {
  expectedService: (className: string) => Microseconds;
  likelyDelay: (className: string, forced?: boolean) => Microseconds;
  observeService: (className: string, took: Microseconds) => void;
  observeCharge: (took: Microseconds) => void;
  observeFirstToken: (className: string, took: Microseconds, forced: boolean) => void;
};

/** Estimates before anything was observed. */
const firstTokenGuess = duration.ms(150);
const chargeGuess = duration.ms(10);
const defaultServiceMs = 300;
/** Weight of a new observation in the mean service time. */
const newWeight = 0.2;

/** Keeps the times of one gateway. */
export const serviceTimes = {
  open: (config: () => Config | undefined): ServiceTimes => {
    const service = new Map<string, Microseconds>();
    const firstTokens = new Map<string, Likely>();
    const forcedFirstTokens = new Map<string, Likely>();
    const unknownFirstToken = likely.open(firstTokenGuess);
    const charges = likely.open(chargeGuess);
    const expectedService = (className: string): Microseconds =>
      service.get(className) ?? duration.ms(config()?.classes[className]?.expectedMs ?? defaultServiceMs);
    /** A forced turn goes to a worker that is full: it waits there for about a turn to end. */
    const forcedDelay = (className: string): Microseconds =>
      forcedFirstTokens.get(className)?.likely() ?? expectedService(className);
    return {
      expectedService,
      likelyDelay: (className, forced = false) => {
        const usual = (firstTokens.get(className) ?? unknownFirstToken).likely();
        return Math.max(usual, forced ? forcedDelay(className) : 0) + charges.likely();
      },
      observeService: (className, took) =>
        void service.set(className, Math.round(expectedService(className) * (1 - newWeight) + took * newWeight)),
      observeCharge: (took) => charges.saw(took),
      observeFirstToken: (className, took, forced) => {
        const times = forced ? forcedFirstTokens : firstTokens;
        const time = times.get(className) ?? likely.open(forced ? expectedService(className) : took);
        times.set(className, time);
        time.saw(took);
      },
    };
  },
};
