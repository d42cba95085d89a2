/**
 * The ThunderAgent program scheduler (§4) as a pure function of state, event and time. The state that is handed in is
 * changed and handed back; there is no clock, random source, input or output.
 */
import type { Microseconds } from '@thornsail/runtime';
import { ownTokensByWorker } from './capacity.js';
import { releaseOverdue } from './forced-release.js';
import { checkInvariants } from './invariants.js';
import { defaultOptions, type SchedulerOptions } from './options.js';
import { dropMoved, expireIdle } from './program-table.js';
import { greedyResume } from './resume.js';
import { tick } from './tick.js';
import { contextGrew, turnAbandoned, turnArrived, turnEnded } from './turns.js';
import type { PeerLoad, SchedulerEffect, SchedulerEvent, SchedulerState, Worker } from './types.js';

/** What the other gateways are told of this one (§4.4). */
export type SchedulerLoad = {
  /** Weighted tokens of its active programs by worker. */
  tokensByWorker: Record<string, number>;
  pausedPrograms: number;
  /** Tokens of its smallest paused program; null if none is paused. */
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

/** Resumes outside the tick, where that is configured (§4.3). */
const resumeEarly = (state: SchedulerState, now: Microseconds): SchedulerEffect[] =>
  state.options.resumeOnRoom ? greedyResume(state, now) : [];

const workersChanged = (state: SchedulerState, workers: Worker[], now: Microseconds): SchedulerEffect[] => {
  state.workers = new Map(workers.map((worker) => [worker.id, worker]));
  // Programs that are over according to their caller free their tokens now, not at the next tick alone (§4.3).
  return [...expireIdle(state, now), ...resumeEarly(state, now)];
};

const peersChanged = (state: SchedulerState, peers: PeerLoad, now: Microseconds): SchedulerEffect[] => {
  state.peers = peers;
  return resumeEarly(state, now);
};

const handle = (state: SchedulerState, event: SchedulerEvent, now: Microseconds): SchedulerEffect[] => {
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
      return releaseOverdue(state, now);
    case 'program-moved':
      return dropMoved(state, event.program);
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

const loadOf = (state: SchedulerState): SchedulerLoad => {
  let pausedPrograms = 0;
  let smallestPausedTokens: number | null = null;
  for (const { status, tokens } of state.programs.values()) {
    if (status !== 'paused') continue;
    pausedPrograms += 1;
    if (smallestPausedTokens === null || tokens < smallestPausedTokens) smallestPausedTokens = tokens;
  }
  return { tokensByWorker: Object.fromEntries(ownTokensByWorker(state)), pausedPrograms, smallestPausedTokens };
};

/** The scheduler's functions; all are pure but for the state that they are handed. */
export const admissionScheduler = {
  defaults: defaultOptions,
  /** An empty state. */
  open: openState,
  /** Applies one event at `now` and returns the changed state with what the caller is to carry out, in this order. */
  step: (
    state: SchedulerState,
    event: SchedulerEvent,
    now: Microseconds,
  ): { state: SchedulerState; effects: SchedulerEffect[] } => ({ state, effects: handle(state, event, now) }),
  /** When `forced-release-due` is next to be sent; undefined while no turn is held. */
  nextForcedRelease,
  load: loadOf,
  checkInvariants,
};
