/** Interface of admission to the other modules of the data plane (§4.4, §5.2). */
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

/** The load that a gateway reports to the others; the field names are those of the message. */
export type GatewayLoad = {
  load: Load;
  /** Tokens of its active programs by worker. */
  tokens: Record<string, number>;
  /** Number of its paused programs. */
  paused: number;
  /** Tokens of the smallest of its paused programs. */
  smallest: number | null;
  /** Programs that it has recently taken over from other gateways. */
  took: string[];
  /** Version of the configuration that it uses. */
  uses: number;
  /** Outcomes of its exchanges with workers that recently failed requests; the previous release does not send it. */
  exchanges?: ExchangeReport;
};

/** The scheduler's decision on a turn; `abandoned` if its caller disconnected meanwhile. `waited`: time in hold. */
export type AdmissionResult =
  | { type: 'released'; worker: string | null; reason: ReleaseReason; waited: Microseconds }
  | { type: 'rejected'; reason: RejectionReason }
  | { type: 'abandoned' };
/** A pending decision of the scheduler: `released` resolves to it, `abandon` withdraws the turn. */
export type TurnRequest = { released: Promise<AdmissionResult>; abandon: () => void };

/**
 * The result of a request for a slot. `queue-full`: the queue is full, or the expected wait exceeds the limit.
 * `timed-out`: no slot became free in time. `no-worker`: the service has no worker that accepts requests.
 */
export type SlotResult =
  | { type: 'acquired'; worker: WorkerEntry }
  | { type: 'queue-full' }
  | { type: 'timed-out' }
  | { type: 'no-worker' }
  | { type: 'abandoned' };
/** Requirements of a turn for its slot. */
export type SlotOptions = {
  /** ID of the preferred worker. */
  preferred: string | null;
  /** The preferred worker has the turn's context (§5.2). */
  preferredHasContext?: boolean;
  /** IDs of workers that must not be selected. */
  excluded: ReadonlySet<string>;
  /** Take a slot even beyond the class's share and the worker's slots. */
  force: boolean;
  /** The longest wait. */
  limit: Microseconds;
  /** Overrides the service of the class. */
  service?: string;
};
/** A pending request for a slot: `slot` resolves to its result, `abandon` withdraws it. */
export type SlotRequest = { slot: Promise<SlotResult>; abandon: () => void };

/** Admission of one gateway. */
export type Admission = {
  /** Submits a turn to the scheduler; `onHold` is called if it does not decide at once. */
  admitTurn: (arrival: TurnArrival, onHold: () => void) => TurnRequest;
  /** Whether the scheduler has state of a program. */
  knowsProgram: (program: string) => boolean;
  /** Reports the new size of a program's context while its turn runs. */
  contextGrew: (program: string, tokens: number) => void;
  endTurn: (turn: string, completion: TurnCompletion) => void;
  /** Requests a slot at a worker for a turn of a class. */
  acquireSlot: (className: string, options: SlotOptions) => SlotRequest;
  /** Returns a slot; `took` is the service time, null if the turn is not representative. */
  releaseSlot: (worker: string, className: string, took: Microseconds | null) => void;
  /** Expected service time of a turn of a class. */
  expectedService: (className: string) => Microseconds;
  /** Estimated time to charge and to a first token of a class: the average plus four mean deviations (§4.3). */
  estimatedDelay: (className: string, forced?: boolean) => Microseconds;
  /** Adds a sample of the time that a charge took. */
  observeCharge: (took: Microseconds) => void;
  /** Adds a sample of the time from sending a turn to its first token. */
  observeFirstToken: (className: string, took: Microseconds, forced: boolean) => void;
  /** Records the outcome of an exchange with a worker (§5.2). */
  recordExchange: (worker: string, succeeded: boolean) => void;
  /** Excludes a worker from selection for a second. */
  markUnhealthy: (worker: string) => void;
  worker: (id: string) => WorkerEntry | undefined;
  setWorkers: (workers: WorkerEntry[]) => void;
  /** Whether any worker accepts requests. */
  hasWorkers: () => boolean;
  setPeerLoads: (peers: (GatewayLoad & { id: string })[]) => void;
  setConfig: (config: Config) => void;
  /** Number of turns running at a worker, of all gateways, according to the load reports received. */
  runningAt: (worker: string) => number;
  load: () => Omit<GatewayLoad, 'took' | 'uses'>;
  /** IDs of workers that are not selected because they fail more often than the others (outlier ejection). */
  ejected: () => string[];
  /** Number of turns that the scheduler holds. */
  heldTurns: () => number;
  /** Whether any turn waits for a slot at this gateway. */
  hasWaitingTurns: () => boolean;
  counts: () => SchedulerCounts & { slotWaits: number; slotRejects: number };
  state: () => SchedulerState;
  close: () => void;
};
