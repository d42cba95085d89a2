/**
 * Worker utilization: tokens of active programs divided by the capacity of the KV cache. As in ThunderAgent's control
 * loop (§4.2), but including the tokens of the other gateways' programs (§4.4).
 */
import type { Microseconds } from '@thornsail/runtime';
import type { Program, SchedulerState, Worker } from './types.js';

/** A program's tokens as counted for pausing: those of ACTING programs are multiplied by `actingTokenWeight`. */
export const weightedTokens = (state: SchedulerState, program: Program): number =>
  program.phase === 'acting' ? program.tokens * state.options.actingTokenWeight : program.tokens;

/** Whether a program is active and assigned to a worker, so that its tokens count towards that worker's utilization. */
export const occupiesWorker = (program: Program): program is Program & { assignedWorker: string } =>
  program.status === 'active' && program.assignedWorker !== null;

/** Weighted tokens of this gateway's active programs by worker, idle ones included while they are retained (§4.2). */
export const ownTokensByWorker = (state: SchedulerState): Map<string, number> => {
  const tokens = new Map<string, number>();
  for (const program of state.programs.values())
    if (occupiesWorker(program)) {
      const worker = program.assignedWorker;
      tokens.set(worker, (tokens.get(worker) ?? 0) + weightedTokens(state, program));
    }
  return tokens;
};

const decayedTokens = (state: SchedulerState, program: Program, now: Microseconds): number => {
  if (program.phase !== 'acting') return program.tokens;
  return program.tokens * 0.5 ** ((now - program.actingSince) / state.options.actingHalfLife);
};
/**
 * Tokens of all gateways' programs by worker, those of this gateway's ACTING programs decayed by `actingHalfLife`.
 * Forced releases choose their worker by this load (§4.2).
 */
export const decayedTokensByWorker = (state: SchedulerState, now: Microseconds): Map<string, number> => {
  const tokens = new Map(state.peers.tokensByWorker);
  for (const program of state.programs.values())
    if (occupiesWorker(program)) {
      const worker = program.assignedWorker;
      tokens.set(worker, (tokens.get(worker) ?? 0) + decayedTokens(state, program, now));
    }
  return tokens;
};

/** Tokens of the other gateways' active programs at one worker. */
export const peerTokens = (state: SchedulerState, worker: string): number =>
  state.peers.tokensByWorker.get(worker) ?? 0;

/** Share of a worker's capacity that all gateways' programs use; Infinity if the capacity is unknown. */
export const utilization = (state: SchedulerState, worker: Worker, ownTokens: Map<string, number>): number =>
  worker.capacity <= 0 ? Infinity : ((ownTokens.get(worker.id) ?? 0) + peerTokens(state, worker.id)) / worker.capacity;

/** Workers that accept new programs. */
export const eligibleWorkers = (state: SchedulerState): Worker[] =>
  [...state.workers.values()].filter((worker) => worker.eligible);

/** The eligible worker with the lowest load according to `loadOf`; the first one of several with the same load. */
export const leastLoadedWorker = (state: SchedulerState, loadOf: (worker: Worker) => number): Worker | undefined => {
  let best: { worker: Worker; load: number } | undefined;
  for (const worker of eligibleWorkers(state)) {
    const load = loadOf(worker);
    if (best === undefined || load < best.load) best = { worker, load };
  }
  return best?.worker;
};

/**
 * The id of the worker on which a new program is placed: the least utilized one, after `localPreference` has been
 * subtracted from the utilization of workers in this gateway's zone (§4.3). Null if no worker is eligible.
 */
export const leastUtilizedWorker = (state: SchedulerState): string | null => {
  const ownTokens = ownTokensByWorker(state);
  const loadOf = (worker: Worker): number =>
    utilization(state, worker, ownTokens) - (worker.near ? state.options.localPreference : 0);
  return leastLoadedWorker(state, loadOf)?.id ?? null;
};
