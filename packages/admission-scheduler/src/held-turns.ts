/** Look-ups in the table of held turns; of several turns of a program the oldest goes first. */
import type { HeldTurn, SchedulerState } from './types.js';

/** The oldest held turn of one program. */
export const oldestHeldTurn = (state: SchedulerState, program: string): HeldTurn | undefined => {
  for (const held of state.heldTurns.values()) if (held.program === program) return held;
  return undefined;
};
/** The oldest held turn of each program, in one pass. */
export const oldestHeldTurns = (state: SchedulerState): Map<string, HeldTurn> => {
  const oldest = new Map<string, HeldTurn>();
  for (const held of state.heldTurns.values()) if (!oldest.has(held.program)) oldest.set(held.program, held);
  return oldest;
};
