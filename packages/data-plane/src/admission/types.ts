/** What the other parts of the data plane see of admission (§4.4, §5.2). Times are in microseconds. */
import type {
  RejectionReason,
  ReleaseReason,
  SchedulerCounts,
  SchedulerState,
  TurnArrival,
  TurnCompletion,
} from '@thornsail/admission-scheduler';
import type { Config } from '@thornsail/config-schema';
import type { ExchangeReport, Load, WorkerEntry } from '@thornsail/load-balancer';
import type { Microseconds } from '@thornsail/runtime';

/** What a gateway reports of itself to the others; the names are those of the message. */
export type EdgeLoad = {
  load: Load;
  /** Tokens of its active programs by worker. */
  tokens: Record<string, number>;
  /** How many of its programs are paused, and the tokens of the smallest of them. */
  paused: number;
  smallest: number | null;
  /** Programs that it has taken over from other gateways lately. */
  took: string[];
  /** The mark of the configuration in use here. */
  uses: number;
  /** What became of its exchanges with workers that have failed requests lately; a former release tells none. */
  exchanges?: ExchangeReport;
};

/** The scheduler's answer to a turn; `abandoned` if its caller has disconnected meanwhile. */
export type Released =
  | { type: 'released'; worker: string | null; reason: ReleaseReason; waited: Microseconds }
  | { type: 'rejected'; reason: RejectionReason }
  | { type: 'abandoned' };
/** A turn that waits for the scheduler's answer. */
export type TurnRequest = { released: Promise<Released>; abandon: () => void };

/**
 * The answer to a request for a slot. `queue-full`: the wait would be in vain, or too many wait already. `timed-out`:
 * no slot became free in time. `no-worker`: the service has no worker that takes requests.
 */
export type Slot =
  | { type: 'acquired'; worker: WorkerEntry }
  | { type: 'queue-full' }
  | { type: 'timed-out' }
  | { type: 'no-worker' }
  | { type: 'abandoned' };
/** What a turn asks of its slot. */
export type SlotOptions = {
  preferred: string | null;
  /** The preferred worker has the turn's context (§5.2). */
  preferredHasContext?: boolean;
  excluded: ReadonlySet<string>;
  /** Take a slot whatever the shares and slots say. */
  force: boolean;
  /** The longest wait. */
  limit: Microseconds;
  /** Another service than the class's own. */
  service?: string;
};
/** A turn that waits for a slot. */
export type SlotRequest = { slot: Promise<Slot>; abandon: () => void };

/** Admission of one gateway. */
export type Admission = {
  /** Asks the scheduler for a turn; `onHold` is called if it is not answered at once. */
  admitTurn: (arrival: TurnArrival, onHold: () => void) => TurnRequest;
  knowsProgram: (program: string) => boolean;
  contextGrew: (program: string, tokens: number) => void;
  endTurn: (turn: string, completion: TurnCompletion) => void;
  acquireSlot: (className: string, options: SlotOptions) => SlotRequest;
  /** Gives a slot back; `took` is the service time, null if the turn says nothing about it. */
  releaseSlot: (worker: string, className: string, took: Microseconds | null) => void;
  /** Expected service time of a turn of a class. */
  expectedService: (className: string) => Microseconds;
  /** What charging and a class's first token are likely to take: a mean and four times its spread (§4.3). */
  likelyDelay: (className: string, forced?: boolean) => Microseconds;
  observeCharge: (took: Microseconds) => void;
  observeFirstToken: (className: string, took: Microseconds, forced: boolean) => void;
  /** Takes in what became of an exchange with a worker (§5.2). */
  recordExchange: (worker: string, succeeded: boolean) => void;
  /** Passes a worker by for a second. */
  markUnhealthy: (worker: string) => void;
  worker: (id: string) => WorkerEntry | undefined;
  setWorkers: (workers: WorkerEntry[]) => void;
  /** Whether any worker takes requests. */
  hasWorkers: () => boolean;
  setPeerLoads: (peers: (EdgeLoad & { id: string })[]) => void;
  setConfig: (config: Config) => void;
  /** Turns that run at a worker, at all gateways as far as this one has heard. */
  runningAt: (worker: string) => number;
  load: () => Omit<EdgeLoad, 'took' | 'uses'>;
  /** Workers that are passed by because they fail more than the others do. */
  ejected: () => string[];
  /** Turns that the scheduler holds. */
  heldTurns: () => number;
  /** Whether any turn waits for a slot here. */
  hasWaitingTurns: () => boolean;
  counts: () => SchedulerCounts & { slotWaits: number; slotRejects: number };
  state: () => SchedulerState;
  close: () => void;
};
