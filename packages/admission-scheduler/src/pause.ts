/**
 * The pause phase (ThunderAgent's `_pause_until_safe`, §4.2). Pausing is logical: the program's next turn is held and
 * its tokens no longer count towards utilization. A running turn is never interrupted: a REASONING program is marked
 * and is paused when its turn ends.
 */
import { invariant } from '@thornsail/runtime';
import { occupiesWorker, ownTokensByWorker, peerTokens, utilization, weightedTokens } from './capacity.js';
import { compareBySize } from './program-table.js';
import type { Program, SchedulerEffect, SchedulerState, Worker } from './types.js';

/** Pauses an ACTING program without a running turn. Throws for any other program. */
export const pauseProgram = (state: SchedulerState, program: Program): SchedulerEffect => {
  invariant.hold(
    program.runningTurn === null && program.phase === 'acting',
    `paused program ${program.id} while it has a running turn`,
  );
  program.status = 'paused';
  program.markedForPause = false;
  state.counts.paused += 1;
  return { type: 'program-paused', program: program.id, worker: program.assignedWorker };
};

const markForPause = (state: SchedulerState, program: Program, worker: Worker): SchedulerEffect => {
  program.markedForPause = true;
  state.counts.marked += 1;
  return { type: 'program-marked', program: program.id, worker: worker.id };
};

/**
 * Tokens that this gateway has to free on a worker over `pauseThreshold`: the excess over `pauseTarget` times this
 * gateway's share of the worker's tokens (§4.4).
 */
const ownExcess = (state: SchedulerState, worker: Worker, ownTokens: Map<string, number>): number => {
  const { pauseThreshold, pauseTarget } = state.options;
  if (worker.capacity <= 0 || utilization(state, worker, ownTokens) < pauseThreshold) return 0;
  const own = ownTokens.get(worker.id) ?? 0;
  if (own <= 0) return 0;
  const total = own + peerTokens(state, worker.id);
  return (total - worker.capacity * pauseTarget) * (own / total);
};

/** Pauses a worker's ACTING programs, smallest first; if there are none, marks the smallest REASONING program. */
const pauseAtWorker = (state: SchedulerState, worker: Worker, ownTokens: Map<string, number>): SchedulerEffect[] => {
  let excess = ownExcess(state, worker, ownTokens);
  if (excess <= 0) return [];
  const effects: SchedulerEffect[] = [];
  const atWorker = [...state.programs.values()]
    .filter((program) => occupiesWorker(program) && program.assignedWorker === worker.id)
    .sort(compareBySize);
  const acting = atWorker.filter((program) => program.phase === 'acting' && program.runningTurn === null);
  // Programs that are already marked will free their tokens when their running turns end.
  for (const program of atWorker) if (program.markedForPause) excess -= weightedTokens(state, program);
  for (const program of acting) {
    if (excess <= 0) break;
    excess -= weightedTokens(state, program);
    effects.push(pauseProgram(state, program));
  }
  if (excess <= 0 || acting.length > 0) return effects;
  const smallest = atWorker.find((program) => program.phase === 'reasoning' && !program.markedForPause);
  if (smallest) effects.push(markForPause(state, smallest, worker));
  return effects;
};

/** Pauses programs on each worker at or over `pauseThreshold` until its utilization is down to `pauseTarget`. */
export const pauseUntilSafe = (state: SchedulerState): SchedulerEffect[] => {
  const ownTokens = ownTokensByWorker(state);
  return [...state.workers.values()].flatMap((worker) => pauseAtWorker(state, worker, ownTokens));
};
