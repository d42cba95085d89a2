/** Release of a turn to its program's worker, for every release reason (§4.2). */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { leastUtilizedWorker } from './capacity.js';
import type { HeldTurn, Program, ReleaseReason, SchedulerEffect, SchedulerState } from './types.js';

/** Keeps a program on its worker if that is still eligible; otherwise assigns the least utilized worker. */
const assignWorker = (state: SchedulerState, program: Program): void => {
  if (program.assignedWorker !== null && state.workers.get(program.assignedWorker)?.eligible) return;
  if (program.assignedWorker !== null) state.counts.repacked += 1;
  program.assignedWorker = leastUtilizedWorker(state);
};

/**
 * Releases a turn of an ACTIVE program without a running turn; the program becomes REASONING.
 * @param release the turn, the release reason, and how long the turn was held (microseconds)
 */
export const releaseTurn = (
  state: SchedulerState,
  program: Program,
  release: { turn: string; reason: ReleaseReason; waited: Microseconds },
  now: Microseconds,
): SchedulerEffect => {
  invariant.hold(program.status === 'active', `released a turn of the paused program ${program.id}`);
  invariant.hold(program.runningTurn === null, `released a second concurrent turn of program ${program.id}`);
  program.runningTurn = release.turn;
  program.phase = 'reasoning';
  program.lastActiveAt = now;
  assignWorker(state, program);
  state.runningTurns.set(release.turn, program.id);
  state.heldTurns.delete(release.turn);
  state.counts.released += 1;
  return { type: 'turn-released', program: program.id, worker: program.assignedWorker, ...release };
};

/** Releases a held turn. */
export const releaseHeldTurn = (
  state: SchedulerState,
  program: Program,
  held: HeldTurn,
  reason: ReleaseReason,
  now: Microseconds,
): SchedulerEffect => releaseTurn(state, program, { turn: held.turn, reason, waited: now - held.heldSince }, now);
