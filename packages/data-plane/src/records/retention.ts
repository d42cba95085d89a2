/** How long the records of requests are retained. */
import { duration, type Microseconds } from '@thornsail/runtime';
import type { WallClocks } from '@thornsail/register-store';

/** No turn is open for longer; its outcome counts as lost then. */
export const maxTurn = duration.s(300);

/**
 * The wall-clock time until which a register is retained, at least `seconds` from now. What was promised before is not
 * cut by a shorter retention that was configured meanwhile.
 */
export const retainUntil = (wall: WallClocks, promised: Microseconds, seconds: number): Microseconds =>
  Math.max(promised, wall.max + duration.s(seconds));
