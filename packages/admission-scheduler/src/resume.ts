/**
 * The resume phase (the source's `_greedy_resume`, §4.2): the smallest paused programs first, each packed best fit into
 * the worker with the least free capacity that still holds it and its headroom.
 */
import type { Microseconds } from '@thornsail/runtime';
import { eligibleWorkers, occupiesWorker, ownTokensByWorker, peerTokens, utilization } from './capacity.js';
import { oldestHeldTurns } from './held-turns.js';
import { bySize } from './program-table.js';
import { releaseHeldTurn } from './release.js';
import type { Program, SchedulerEffect, SchedulerState } from './types.js';

/** What a worker has free below `pauseThreshold`, in tokens, headroom of its active programs taken off. */
type FreeCapacity = {
  worker: string;
  free: number;
  /** This gateway's share of it among the gateways that have paused programs. */
  ownShare: number;
};

const programsByWorker = (state: SchedulerState): Map<string, number> => {
  const programs = new Map<string, number>();
  for (const program of state.programs.values())
    if (occupiesWorker(program)) programs.set(program.assignedWorker, (programs.get(program.assignedWorker) ?? 0) + 1);
  return programs;
};

/** Free capacity of each eligible worker whose utilization is `resumeHysteresis` or more below the threshold. */
const freeCapacities = (state: SchedulerState): FreeCapacity[] => {
  const { pauseThreshold, resumeHysteresis, headroomTokens } = state.options;
  const ownTokens = ownTokensByWorker(state);
  const programs = programsByWorker(state);
  const capacities: FreeCapacity[] = [];
  for (const worker of eligibleWorkers(state)) {
    if (utilization(state, worker, ownTokens) > pauseThreshold - resumeHysteresis) continue;
    const headroom = (programs.get(worker.id) ?? 0) * headroomTokens;
    const used = (ownTokens.get(worker.id) ?? 0) + peerTokens(state, worker.id) + headroom;
    const free = worker.capacity * pauseThreshold - used;
    capacities.push({ worker: worker.id, free, ownShare: free / (1 + state.peers.gatewaysWithPaused) });
  }
  return capacities;
};

/**
 * Smallest first holds over all gateways: the one with the smallest paused program may use all that is free. For larger
 * programs, as for the other gateways, there is one share among those that have paused programs (§4.4).
 */
const mayUseAll = (state: SchedulerState, program: Program): boolean =>
  program.tokens < state.peers.smallestPausedTokens;

/** Takes a program's tokens and headroom from the tightest fit; undefined if it fits nowhere. */
const pack = (state: SchedulerState, program: Program, capacities: FreeCapacity[]): string | undefined => {
  const needed = program.tokens + state.options.headroomTokens;
  const all = mayUseAll(state, program);
  let best: FreeCapacity | undefined;
  for (const capacity of capacities) {
    const fits = (all ? capacity.free : capacity.ownShare) >= needed;
    if (fits && (best === undefined || capacity.free < best.free)) best = capacity;
  }
  if (!best) return undefined;
  best.free -= needed;
  best.ownShare = Math.min(best.ownShare - (all ? 0 : needed), best.free);
  return best.worker;
};

const resumeProgram = (state: SchedulerState, program: Program, worker: string, now: Microseconds): SchedulerEffect => {
  program.status = 'active';
  program.assignedWorker = worker;
  program.lastActiveAt = now;
  state.counts.resumed += 1;
  return { type: 'program-resumed', program: program.id, worker };
};

/**
 * Resumes paused programs while they fit, and releases their held turns.
 * @param justPaused ids of programs that the same pass has paused: they stay paused
 */
export const greedyResume = (
  state: SchedulerState,
  now: Microseconds,
  justPaused: ReadonlySet<string> = new Set(),
): SchedulerEffect[] => {
  const paused = [...state.programs.values()]
    .filter((program) => program.status === 'paused' && !justPaused.has(program.id))
    .sort(bySize);
  if (paused.length === 0) return [];
  const capacities = freeCapacities(state);
  const heldTurns = oldestHeldTurns(state);
  const effects: SchedulerEffect[] = [];
  for (const program of paused) {
    const worker = pack(state, program, capacities);
    if (worker === undefined) break;
    effects.push(resumeProgram(state, program, worker, now));
    const held = heldTurns.get(program.id);
    if (held && program.runningTurn === null) effects.push(releaseHeldTurn(state, program, held, 'resumed', now));
  }
  return effects;
};
