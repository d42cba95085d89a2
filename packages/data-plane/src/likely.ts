// How long a step is likely to take (§4.3): a moving mean and four times its mean deviation, as for a
// retransmission time-out. A mean alone would be overrun by every other sample.
import type { Microseconds } from '@thornsail/runtime';

export type Likely = { saw: (took: Microseconds) => void; likely: () => Microseconds };
export const likely = {
  open: (guess: Microseconds): Likely => {
    let mean = guess;
    let spread = guess / 8;
    return {
      saw: (took) => {
        spread += (Math.abs(took - mean) - spread) / 4;
        mean += (took - mean) / 8;
      },
      likely: () => Math.round(mean + 4 * spread),
    };
  },
};
