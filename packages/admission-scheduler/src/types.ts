/**
 * The scheduler's state, the events that change it and the effects that its caller carries out (§4). Times are in
 * microseconds of the caller's monotonic clock, sizes in tokens of context.
 */
import type { Microseconds } from '@thornsail/runtime';
import type { SchedulerOptions } from './options.js';

/** REASONING while a turn of the program is at a worker, ACTING between turns (the tool boundary of the source). */
export type ProgramPhase = 'reasoning' | 'acting';
/** ACTIVE programs are admitted and count towards utilization; turns of PAUSED ones are held. */
export type ProgramStatus = 'active' | 'paused';
/** An entry of the program table. */
export type Program = {
  id: string;
  phase: ProgramPhase;
  status: ProgramStatus;
  /** Prompt and completion tokens of its latest turn: the size of its context. */
  tokens: number;
  /** The worker that holds its context, as far as is known; null before its first placement. */
  assignedWorker: string | null;
  /** A REASONING program that is paused when its running turn ends. */
  markedForPause: boolean;
  /** The turn that is at a worker; at most one. */
  runningTurn: string | null;
  lastActiveAt: Microseconds;
  actingSince: Microseconds;
  /** When it is over according to its caller, if no turn is running then; Infinity if nothing was said. */
  expectedEndAt: Microseconds;
};
/** A turn that waits for its program to be resumed, or for the program's running turn to end. */
export type HeldTurn = { turn: string; program: string; heldSince: Microseconds; forceReleaseAt: Microseconds };
/** A model worker. */
export type Worker = {
  id: string;
  /** Tokens that its KV cache holds; 0 if that is unknown. */
  capacity: number;
  /** Whether it takes new programs: false while it drains. */
  eligible: boolean;
  /** In the zone of this gateway. */
  near?: boolean;
};
/** What the other gateways report (§4.4). */
export type PeerLoad = {
  /** Tokens of their active programs by worker. */
  tokensByWorker: Map<string, number>;
  /** How many of them have paused programs. */
  gatewaysWithPaused: number;
  /** Tokens of the smallest paused program of any of them; Infinity if they have none. */
  smallestPausedTokens: number;
};
/** Running totals since the start; the names are those of the metrics. */
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
/** Everything the scheduler knows; each event changes it in place. */
export type SchedulerState = {
  options: SchedulerOptions;
  /** The program table, by program id. */
  programs: Map<string, Program>;
  /** Held turns by turn id, oldest first. */
  heldTurns: Map<string, HeldTurn>;
  /** The program of each turn that is at a worker, by turn id. */
  runningTurns: Map<string, string>;
  workers: Map<string, Worker>;
  peers: PeerLoad;
  counts: SchedulerCounts;
};

/** A turn that asks to be admitted. */
export type TurnArrival = {
  turn: string;
  program: string;
  /** Its context as estimated before it runs. */
  tokens: number;
  /** Until the caller's deadline. */
  timeLeft: Microseconds;
  /** Expected service time; `timeLeft` less this bounds a hold. */
  expectedService: Microseconds;
  /** How long the caller waits for a first event at most; bounds a hold too (§4.3). */
  patience: Microseconds;
  /** Until the program should be over; with no running turn it counts as ended then (§4.3). */
  programTimeLeft?: Microseconds;
  /** What the program's record says, where another gateway served it before (§4.4). */
  known?: { tokens: number; worker: string | null };
};
/** What a finished turn reports. */
export type TurnCompletion = {
  /** The context after the turn; null if no usage was reported. */
  tokens: number | null;
  /** Whether it was the program's last turn. */
  final: boolean;
  /** The worker that served it; null if that is unknown or none did. */
  worker: string | null;
};
/** What has happened. */
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

/** Why a turn was released: at once or after its program's previous turn, by a resume, or at the limit of its hold. */
export type ReleaseReason = 'ordinary' | 'resumed' | 'forced';
/** Why a turn was rejected: a limit on tracked turns or programs, or another running turn of its program. */
export type RejectionReason = 'turn-limit' | 'program-limit' | 'program-busy';
/** What the caller is to carry out, in this order. */
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
