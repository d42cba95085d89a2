/**
 * Forced release of held turns (ThunderAgent's `resume_timeout_seconds`, §4.2): a turn that has been held up to its
 * limit is sent to a worker regardless of utilization. It is never rejected for lack of capacity.
 */
import type { Microseconds } from '@thornsail/runtime';
import { decayedTokensByWorker, leastLoadedWorker } from './capacity.js';
import { releaseHeldTurn } from './release.js';
import type { HeldTurn, Program, SchedulerEffect, SchedulerState, TurnArrival } from './types.js';

/**
 * The time at which a turn that arrives now is force-released: early enough to be served before the caller's deadline
 * and to start before the caller stops waiting for a first event (§4.3).
 */
export const forcedReleaseTime = (state: SchedulerState, arrival: TurnArrival, now: Microseconds): Microseconds => {
  const { resumeTimeout, holdLimit } = state.options;
  const untilDeadline = arrival.timeLeft - arrival.expectedService;
  return now + Math.max(0, Math.min(resumeTimeout, holdLimit, untilDeadline, arrival.patience));
};

/** Rejects a turn held behind a running turn of the same program: a program has one running turn at most (§4.3). */
const rejectBusyTurn = (state: SchedulerState, held: HeldTurn): SchedulerEffect => {
  state.heldTurns.delete(held.turn);
  state.counts.rejected += 1;
  return { type: 'turn-rejected', turn: held.turn, reason: 'program-busy' };
};

/** Makes a paused program ACTIVE on the least loaded worker and adds its tokens to `loads` (tokens by worker). */
const forceResume = (state: SchedulerState, program: Program, loads: Map<string, number>): void => {
  const worker = leastLoadedWorker(state, ({ id, capacity }) =>
    capacity > 0 ? ((loads.get(id) ?? 0) + program.tokens) / capacity : Infinity,
  );
  program.status = 'active';
  program.assignedWorker = worker?.id ?? null;
  if (worker) loads.set(worker.id, (loads.get(worker.id) ?? 0) + program.tokens);
};

/** Releases or rejects every held turn whose limit has passed, in order of arrival. */
export const releaseOverdueTurns = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => {
  const effects: SchedulerEffect[] = [];
  let loads: Map<string, number> | undefined;
  for (const held of [...state.heldTurns.values()]) {
    if (held.forceReleaseAt > now) continue;
    const program = state.programs.get(held.program)!;
    if (program.runningTurn !== null) {
      effects.push(rejectBusyTurn(state, held));
      continue;
    }
    // The loads are computed once for all turns released here; `forceResume` adds each placed program.
    loads ??= decayedTokensByWorker(state, now);
    if (program.status === 'paused') forceResume(state, program, loads);
    state.counts.forced += 1;
    effects.push(releaseHeldTurn(state, program, held, 'forced', now));
  }
  return effects;
};
