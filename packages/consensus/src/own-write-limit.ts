/**
 * How long a leader waits for its own disk (§3.3): one that stalls must not hold up the whole group, and one that is
 * merely slow, as all of them may be, must not make the group change its leader with every write.
 */
import { duration, type Microseconds } from '@thornsail/runtime';

/** Two syncs of 12 ms, thirty times slower. */
const least = duration.ms(800);
/** As long as a leader tries to reach a quorum. */
const most = duration.ms(1500);
/** A disk that slows down gradually is followed. */
const timesTheLast = 3;

/** The limit, given how long the last snapshot took to be written here. */
export const ownWriteLimit = (lastWriteTook: Microseconds): Microseconds =>
  Math.min(most, Math.max(least, timesTheLast * lastWriteTook));
