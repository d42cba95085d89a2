/**
 * The scheduler's state, the events that change it and the effects that its caller executes (§4). Times are in
 * microseconds of the caller's monotonic clock, sizes in tokens of context.
 */
import type { Microseconds } from '@thornsail/runtime';
import type { SchedulerOptions } from './options.js';

/** REASONING while a turn of the program runs on a worker; ACTING between turns (ThunderAgent's tool boundary). */
export type ProgramPhase = 'reasoning' | 'acting';
/** Turns of ACTIVE programs are admitted and their tokens count towards utilization; turns of PAUSED ones are held. */
export type ProgramStatus = 'active' | 'paused';
/** An entry of the program table. */
export type Program = {
  id: string;
  phase: ProgramPhase;
  status: ProgramStatus;
  /** Size of the program's context: prompt and completion tokens of its latest turn. */
  tokens: number;
  /** The worker that is assumed to have the context in its KV cache; null before the first placement. */
  assignedWorker: string | null;
  /** Whether a REASONING program is to be paused when its running turn ends. */
  markedForPause: boolean;
  /** The turn that is running on a worker; null if there is none. */
  runningTurn: string | null;
  lastActiveAt: Microseconds;
  actingSince: Microseconds;
  /** When the program ends according to its caller, unless a turn is running then; Infinity if not announced. */
  expectedEndAt: Microseconds;
};
/** A turn waiting for its program to be resumed or for the program's running turn to end. */
export type HeldTurn = { turn: string; program: string; heldSince: Microseconds; forceReleaseAt: Microseconds };
/** A model worker. */
export type Worker = {
  id: string;
  /** Capacity of the KV cache in tokens; 0 if unknown. */
  capacity: number;
  /** Whether the worker accepts new programs; false while it drains. */
  eligible: boolean;
  /** Whether the worker is in this gateway's zone. */
  near?: boolean;
};
/** Combined load of the other gateways, from their reports (§4.4). */
export type PeerLoad = {
  /** Tokens of the other gateways' active programs by worker. */
  tokensByWorker: Map<string, number>;
  /** How many of the other gateways have paused programs. */
  gatewaysWithPaused: number;
  /** Tokens of the smallest paused program of the other gateways; Infinity if there is none. */
  smallestPausedTokens: number;
};
/** Counters since the start; the field names are used in the metrics. */
export type SchedulerCounts = {
  arrived: number;
  released: number;
  held: number;
  resumed: number;
  forced: number;
  rejected: number;
  paused: number;
  marked: number;
  ended: number;
  expired: number;
  moved: number;
  repacked: number;
};
/** The complete state of the scheduler; events modify it in place. */
export type SchedulerState = {
  options: SchedulerOptions;
  /** The program table, by program id. */
  programs: Map<string, Program>;
  /** Held turns by turn id, oldest first. */
  heldTurns: Map<string, HeldTurn>;
  /** The program id of each running turn, by turn id. */
  runningTurns: Map<string, string>;
  workers: Map<string, Worker>;
  peers: PeerLoad;
  counts: SchedulerCounts;
};

/** A turn to be admitted. */
export type TurnArrival = {
  turn: string;
  program: string;
  /** Estimated size of the context before the turn runs. */
  tokens: number;
  /** Time until the caller's deadline. */
  timeLeft: Microseconds;
  /** Expected service time; the turn is held for `timeLeft` minus this at most. */
  expectedService: Microseconds;
  /** How long the caller waits for a first event; the turn is held no longer than this (§4.3). */
  patience: Microseconds;
  /** Time until the caller expects the program to end; without a running turn it then counts as ended (§4.3). */
  programTimeLeft?: Microseconds;
  /** Context size and worker from the program's shared record, if another gateway served the program before (§4.4). */
  known?: { tokens: number; worker: string | null };
};
/** The outcome of a turn that has ended. */
export type TurnCompletion = {
  /** Size of the context after the turn; null if no usage was reported. */
  tokens: number | null;
  /** Whether it was the program's last turn. */
  final: boolean;
  /** The worker that served the turn; null if unknown or not served. */
  worker: string | null;
};
/** An event that the caller passes to the scheduler. */
export type SchedulerEvent =
  | ({ type: 'turn-arrived' } & TurnArrival)
  | { type: 'context-grew'; program: string; tokens: number }
  | ({ type: 'turn-ended'; turn: string } & TurnCompletion)
  | { type: 'turn-abandoned'; turn: string }
  | { type: 'forced-release-due' }
  | { type: 'program-moved'; program: string }
  | { type: 'tick' }
  | { type: 'workers-changed'; workers: Worker[] }
  | { type: 'peers-changed'; peers: PeerLoad }
  | { type: 'options-changed'; options: SchedulerOptions };

/**
 * Why a turn was released. `ordinary`: immediately or after the program's previous turn; `resumed`: because its program
 * was resumed; `forced`: because it had been held up to its limit.
 */
export type ReleaseReason = 'ordinary' | 'resumed' | 'forced';
/** Why a turn was rejected: the limit on turns or on programs, or another running turn of the same program. */
export type RejectionReason = 'turn-limit' | 'program-limit' | 'program-busy';
/** An effect that the caller has to execute. */
export type SchedulerEffect =
  | {
      type: 'turn-released';
      turn: string;
      program: string;
      worker: string | null;
      reason: ReleaseReason;
      waited: Microseconds;
    }
  | {
      type: 'turn-held';
      turn: string;
      program: string;
      reason: 'program-paused' | 'program-busy';
      forceReleaseAt: Microseconds;
    }
  | { type: 'turn-rejected'; turn: string; reason: RejectionReason }
  | { type: 'program-paused'; program: string; worker: string | null }
  | { type: 'program-marked'; program: string; worker: string | null }
  | { type: 'program-resumed'; program: string; worker: string }
  | { type: 'program-ended'; program: string; reason: 'final' | 'idle' | 'evicted' | 'moved' };
