/**
 * The ThunderAgent program scheduler (§4) as a function of state, event and time, without clock, random source or I/O.
 * The given state is modified in place and returned.
 */
import type { Microseconds } from '@thornsail/runtime';
import { ownTokensByWorker } from './capacity.js';
import { releaseOverdueTurns } from './forced-release.js';
import { checkInvariants } from './invariants.js';
import { defaultOptions, type SchedulerOptions } from './options.js';
import { expireIdlePrograms, removeMovedProgram } from './program-table.js';
import { greedyResume } from './resume.js';
import { tick } from './tick.js';
import { contextGrew, turnAbandoned, turnArrived, turnEnded } from './turns.js';
import type { PeerLoad, SchedulerEffect, SchedulerEvent, SchedulerState, Worker } from './types.js';

/** The load that this gateway reports to the other gateways (§4.4). */
export type SchedulerLoad = {
  /** Weighted tokens of this gateway's active programs by worker. */
  tokensByWorker: Record<string, number>;
  pausedPrograms: number;
  /** Tokens of this gateway's smallest paused program; null if none is paused. */
  smallestPausedTokens: number | null;
};

const openState = (options: SchedulerOptions): SchedulerState => ({
  options,
  programs: new Map(),
  heldTurns: new Map(),
  runningTurns: new Map(),
  workers: new Map(),
  peers: { tokensByWorker: new Map(), gatewaysWithPaused: 0, smallestPausedTokens: Infinity },
  counts: {
    arrived: 0,
    released: 0,
    held: 0,
    resumed: 0,
    forced: 0,
    rejected: 0,
    paused: 0,
    marked: 0,
    ended: 0,
    expired: 0,
    moved: 0,
    repacked: 0,
  },
});

/** Resumes programs outside a tick if `resumeOnRoom` is set (§4.3). */
const resumeOutsideTick = (state: SchedulerState, now: Microseconds): SchedulerEffect[] =>
  state.options.resumeOnRoom ? greedyResume(state, now) : [];

const workersChanged = (state: SchedulerState, workers: Worker[], now: Microseconds): SchedulerEffect[] => {
  state.workers = new Map(workers.map((worker) => [worker.id, worker]));
  // Programs whose announced end time has passed free their tokens now rather than at the next tick (§4.3).
  return [...expireIdlePrograms(state, now), ...resumeOutsideTick(state, now)];
};

const peersChanged = (state: SchedulerState, peers: PeerLoad, now: Microseconds): SchedulerEffect[] => {
  state.peers = peers;
  return resumeOutsideTick(state, now);
};

const applyEvent = (state: SchedulerState, event: SchedulerEvent, now: Microseconds): SchedulerEffect[] => {
  switch (event.type) {
    case 'turn-arrived':
      return turnArrived(state, event, now);
    case 'context-grew':
      contextGrew(state, event.program, event.tokens);
      return [];
    case 'turn-ended':
      return turnEnded(state, event.turn, event, now);
    case 'turn-abandoned':
      return turnAbandoned(state, event.turn, now);
    case 'forced-release-due':
      return releaseOverdueTurns(state, now);
    case 'program-moved':
      return removeMovedProgram(state, event.program);
    case 'tick':
      return tick(state, now);
    case 'workers-changed':
      return workersChanged(state, event.workers, now);
    case 'peers-changed':
      return peersChanged(state, event.peers, now);
    case 'options-changed':
      state.options = event.options;
      return [];
  }
};

const nextForcedRelease = (state: SchedulerState): Microseconds | undefined => {
  let next: Microseconds | undefined;
  for (const { forceReleaseAt } of state.heldTurns.values())
    if (next === undefined || forceReleaseAt < next) next = forceReleaseAt;
  return next;
};

const schedulerLoad = (state: SchedulerState): SchedulerLoad => {
  let pausedPrograms = 0;
  let smallestPausedTokens: number | null = null;
  for (const { status, tokens } of state.programs.values()) {
    if (status !== 'paused') continue;
    pausedPrograms += 1;
    if (smallestPausedTokens === null || tokens < smallestPausedTokens) smallestPausedTokens = tokens;
  }
  return { tokensByWorker: Object.fromEntries(ownTokensByWorker(state)), pausedPrograms, smallestPausedTokens };
};

/** The scheduler's operations. They have no side effects other than modifying the given state. */
export const admissionScheduler = {
  defaults: defaultOptions,
  /** Creates an empty state. */
  open: openState,
  /** Applies an event at time `now`. Returns the modified state and the effects, which the caller executes in order. */
  step: (
    state: SchedulerState,
    event: SchedulerEvent,
    now: Microseconds,
  ): { state: SchedulerState; effects: SchedulerEffect[] } => ({ state, effects: applyEvent(state, event, now) }),
  /** The time at which the caller next has to send `forced-release-due`; undefined while no turn is held. */
  nextForcedRelease,
  load: schedulerLoad,
  checkInvariants,
};
