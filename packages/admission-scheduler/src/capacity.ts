/**
 * Utilization of workers (the source's control loop, §4.2): tokens of active programs over the capacity of the KV
 * cache, here with those of the other gateways (§4.4).
 */
import type { Microseconds } from '@thornsail/runtime';
import type { Program, SchedulerState, Worker } from './types.js';

/** A program's tokens as pauses count them; those of ACTING programs have a weight of their own. */
export const weightedTokens = (state: SchedulerState, program: Program): number =>
  program.phase === 'acting' ? program.tokens * state.options.actingTokenWeight : program.tokens;

/** Whether a program's tokens count at its worker. */
export const occupiesWorker = (program: Program): program is Program & { assignedWorker: string } =>
  program.status === 'active' && program.assignedWorker !== null;

/** Weighted tokens of this gateway's active and retained programs, by worker (§4.2). */
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
 * Tokens of all gateways by worker, those of our ACTING programs decayed by their half-life: the load that forced
 * releases are placed by (§4.2).
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

/** Tokens of the other gateways' active programs at a worker. */
export const peerTokens = (state: SchedulerState, worker: string): number =>
  state.peers.tokensByWorker.get(worker) ?? 0;

/** Share of a worker's capacity that is in use, by all gateways; Infinity where the capacity is unknown. */
export const utilization = (state: SchedulerState, worker: Worker, ownTokens: Map<string, number>): number =>
  worker.capacity <= 0 ? Infinity : ((ownTokens.get(worker.id) ?? 0) + peerTokens(state, worker.id)) / worker.capacity;

/** Workers that take new programs. */
export const eligibleWorkers = (state: SchedulerState): Worker[] =>
  [...state.workers.values()].filter((worker) => worker.eligible);

/** The eligible worker with the least load by the given measure; of equals the first. */
export const leastLoadedWorker = (state: SchedulerState, loadOf: (worker: Worker) => number): Worker | undefined => {
  let best: { worker: Worker; load: number } | undefined;
  for (const worker of eligibleWorkers(state)) {
    const load = loadOf(worker);
    if (best === undefined || load < best.load) best = { worker, load };
  }
  return best?.worker;
};

/** Where a program begins: at the least utilized worker, those of this gateway's zone preferred (§4.3). */
export const leastUtilizedWorker = (state: SchedulerState): string | null => {
  const ownTokens = ownTokensByWorker(state);
  const loadOf = (worker: Worker): number =>
    utilization(state, worker, ownTokens) - (worker.near ? state.options.localPreference : 0);
  return leastLoadedWorker(state, loadOf)?.id ?? null;
};
