/** Retention of the records of requests. */
import { duration, type Microseconds } from '@thornsail/runtime';
import type { WallClocks } from '@thornsail/register-store';

/** The longest time that a turn may be open; after it the turn counts as lost. */
export const maxTurnDuration = duration.s(300);

/**
 * The wall-clock time until which a register is retained: at least `seconds` from now, and never before `promised`, so
 * that a shorter retention in a newer configuration does not cut an earlier promise.
 */
export const retainUntil = (wall: WallClocks, promised: Microseconds, seconds: number): Microseconds =>
  Math.max(promised, wall.max + duration.s(seconds));
