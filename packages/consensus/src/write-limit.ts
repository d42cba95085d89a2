// How long a leader waits for its own disk (§3.3): one that stalls must not hold up the whole group, and one that is
// merely slow, as all of them may be, must not make the group change its leader with every write.
import { us, type Clock, type Us } from '@thornsail/runtime';

/** Two syncs of 12 ms, thirty times slower. */
const least = us.ms(800);
/** As long as a leader tries to reach a majority. */
const most = us.ms(1500);

export type WriteLimit = {
  /** Learns from a write, as a leader or not, how long writes take now. */
  timed: <T>(write: Promise<T>) => Promise<T>;
  /** The result of some work, or 'late' once it has taken too long; it goes on all the same. */
  within: <T>(work: Promise<T>) => Promise<T | 'late'>;
};

export const writeLimit = {
  open: (clock: Clock): WriteLimit => {
    let lastTook = 0;
    const limit = (): Us => Math.min(most, Math.max(least, 3 * lastTook));
    const timed = async <T>(work: Promise<T>): Promise<T> => {
      const begun = clock.now();
      try {
        return await work;
      } finally {
        lastTook = clock.now() - begun;
      }
    };
    return {
      timed,
      within: (work) =>
        new Promise((done, fail) => {
          const cancel = clock.tick(limit(), () => done('late'));
          work.then(done, fail).finally(cancel);
        }),
    };
  },
};
