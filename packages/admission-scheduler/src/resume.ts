/**
 * The resume phase (ThunderAgent's `_greedy_resume`, §4.2): paused programs are resumed smallest first. Each is placed
 * best fit, on the worker with the least free capacity that still has room for the program and its headroom.
 */
import type { Microseconds } from '@thornsail/runtime';
import { eligibleWorkers, occupiesWorker, ownTokensByWorker, peerTokens, utilization } from './capacity.js';
import { oldestHeldTurns } from './held-turns.js';
import { compareBySize } from './program-table.js';
import { releaseHeldTurn } from './release.js';
import type { Program, SchedulerEffect, SchedulerState } from './types.js';

/** Free tokens of a worker below `pauseThreshold`, after subtracting the headroom of its active programs. */
type FreeCapacity = {
  worker: string;
  free: number;
  /** This gateway's equal share of `free` among the gateways that have paused programs. */
  ownShare: number;
};

const programsByWorker = (state: SchedulerState): Map<string, number> => {
  const programs = new Map<string, number>();
  for (const program of state.programs.values())
    if (occupiesWorker(program)) programs.set(program.assignedWorker, (programs.get(program.assignedWorker) ?? 0) + 1);
  return programs;
};

/** Free capacity of each eligible worker whose utilization is at least `resumeHysteresis` below `pauseThreshold`. */
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
 * Whether a program may use all free capacity instead of this gateway's share. Smallest first applies across gateways:
 * only a program smaller than every other gateway's smallest paused program may use all of it (§4.4).
 */
const mayUseAllCapacity = (state: SchedulerState, program: Program): boolean =>
  program.tokens < state.peers.smallestPausedTokens;

/**
 * Allocates a program's tokens and headroom on the worker with the least free capacity that fits them. Returns the
 * worker's id; undefined if no worker fits.
 */
const allocateBestFit = (state: SchedulerState, program: Program, capacities: FreeCapacity[]): string | undefined => {
  const needed = program.tokens + state.options.headroomTokens;
  const usesAll = mayUseAllCapacity(state, program);
  let best: FreeCapacity | undefined;
  for (const capacity of capacities) {
    const fits = (usesAll ? capacity.free : capacity.ownShare) >= needed;
    if (fits && (best === undefined || capacity.free < best.free)) best = capacity;
  }
  if (!best) return undefined;
  best.free -= needed;
  best.ownShare = Math.min(best.ownShare - (usesAll ? 0 : needed), best.free);
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
 * Resumes paused programs, smallest first, until one does not fit, and releases the oldest held turn of each.
 * @param justPaused ids of programs paused while handling the same event; they stay paused
 */
export const greedyResume = (
  state: SchedulerState,
  now: Microseconds,
  justPaused: ReadonlySet<string> = new Set(),
): SchedulerEffect[] => {
  const paused = [...state.programs.values()]
    .filter((program) => program.status === 'paused' && !justPaused.has(program.id))
    .sort(compareBySize);
  if (paused.length === 0) return [];
  const capacities = freeCapacities(state);
  const heldTurns = oldestHeldTurns(state);
  const effects: SchedulerEffect[] = [];
  for (const program of paused) {
    const worker = allocateBestFit(state, program, capacities);
    if (worker === undefined) break;
    effects.push(resumeProgram(state, program, worker, now));
    const held = heldTurns.get(program.id);
    if (held && program.runningTurn === null) effects.push(releaseHeldTurn(state, program, held, 'resumed', now));
  }
  return effects;
};
