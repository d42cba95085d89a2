/**
 * Estimates an upper bound of how long a step takes (§4.3): the moving average plus four times the mean deviation, as
 * for TCP's retransmission timeout. About half of the samples would exceed the average alone.
 */
import type { Microseconds } from '@thornsail/runtime';

/** A running estimate of one delay. `upperBound` is the average plus four mean deviations. */
export type DelayEstimate = { observe: (took: Microseconds) => void; upperBound: () => Microseconds };
/** Opens estimates. */
export const delayEstimate = {
  /** `initial` is the average before the first sample. */
  open: (initial: Microseconds): DelayEstimate => {
    let mean = initial;
    let deviation = initial / 8;
    return {
      observe: (took) => {
        deviation += (Math.abs(took - mean) - deviation) / 4;
        mean += (took - mean) / 8;
      },
      upperBound: () => Math.round(mean + 4 * deviation),
    };
  },
};
