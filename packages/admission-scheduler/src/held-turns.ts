/** Lookups in the table of held turns. A program's held turns are released oldest first. */
import type { HeldTurn, SchedulerState } from './types.js';

/** The oldest held turn of a program; undefined if none is held. */
export const oldestHeldTurn = (state: SchedulerState, program: string): HeldTurn | undefined => {
  for (const held of state.heldTurns.values()) if (held.program === program) return held;
  return undefined;
};
/** The oldest held turn of each program, by program id. */
export const oldestHeldTurns = (state: SchedulerState): Map<string, HeldTurn> => {
  const oldest = new Map<string, HeldTurn>();
  for (const held of state.heldTurns.values()) if (!oldest.has(held.program)) oldest.set(held.program, held);
  return oldest;
};
