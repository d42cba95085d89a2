/**
 * How long a leader waits for its own disk before it resigns (§3.3). A stalled disk must not block the whole group, but
 * a merely slow disk must not cause a leader change with every write, since all disks of the group may be slow.
 */
import { duration, type Microseconds } from '@thornsail/runtime';

/** Allows for two syncs of 12 ms each on a disk that is about thirty times slower than usual. */
const minimumTimeout = duration.ms(800);
/** Equal to the time for which a leader tries to reach a quorum (`quorumTimeout`). */
const maximumTimeout = duration.ms(1500);
/** A multiple of the last write, so that the timeout adapts to a disk that slows down gradually. */
const lastWriteMultiplier = 3;

/** The timeout of the next write, given how long this replica's last snapshot write took. */
export const leaderWriteTimeout = (lastWriteDuration: Microseconds): Microseconds =>
  Math.min(maximumTimeout, Math.max(minimumTimeout, lastWriteMultiplier * lastWriteDuration));
