/**
 * Forced release (the source's `resume_timeout_seconds`, §4.2): a hold that reaches its limit ends with the turn at a
 * worker. It is never rejected for want of capacity.
 */
import type { Microseconds } from '@thornsail/runtime';
import { decayedTokensByWorker, leastLoadedWorker } from './capacity.js';
import { releaseHeldTurn } from './release.js';
import type { HeldTurn, Program, SchedulerEffect, SchedulerState, TurnArrival } from './types.js';

/** When a turn that arrives now is released by force: before its caller's deadline or patience runs out (§4.3). */
export const forcedReleaseTime = (state: SchedulerState, arrival: TurnArrival, now: Microseconds): Microseconds => {
  const { resumeTimeout, holdLimit } = state.options;
  const untilDeadline = arrival.timeLeft - arrival.expectedService;
  return now + Math.max(0, Math.min(resumeTimeout, holdLimit, untilDeadline, arrival.patience));
};

/** A program has one running turn at most, so a turn behind another one is given up at its limit (§4.3). */
const rejectBusy = (state: SchedulerState, held: HeldTurn): SchedulerEffect => {
  state.heldTurns.delete(held.turn);
  state.counts.rejected += 1;
  return { type: 'turn-rejected', turn: held.turn, reason: 'program-busy' };
};

/** Makes a paused program ACTIVE at the least loaded worker; `loads` are the tokens by worker, its own added. */
const resumeByForce = (state: SchedulerState, program: Program, loads: Map<string, number>): void => {
  const worker = leastLoadedWorker(state, ({ id, capacity }) =>
    capacity > 0 ? ((loads.get(id) ?? 0) + program.tokens) / capacity : Infinity,
  );
  program.status = 'active';
  program.assignedWorker = worker?.id ?? null;
  if (worker) loads.set(worker.id, (loads.get(worker.id) ?? 0) + program.tokens);
};

/** Ends every hold whose limit has passed, in the order of arrival. */
export const releaseOverdue = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => {
  const effects: SchedulerEffect[] = [];
  let loads: Map<string, number> | undefined;
  for (const held of [...state.heldTurns.values()]) {
    if (held.forceReleaseAt > now) continue;
    const program = state.programs.get(held.program)!;
    if (program.runningTurn !== null) {
      effects.push(rejectBusy(state, held));
      continue;
    }
    // One pass over the programs serves all turns that are released here; each is added as it is placed.
    loads ??= decayedTokensByWorker(state, now);
    if (program.status === 'paused') resumeByForce(state, program, loads);
    state.counts.forced += 1;
    effects.push(releaseHeldTurn(state, program, held, 'forced', now));
  }
  return effects;
};
