/** Types of the workers listed by the service catalog, the load that gateways report, and the load balancer (§5.2). */
import type { Config } from '@thornsail/config-schema';
import type { Address, Microseconds } from '@thornsail/runtime';
import type { ExchangeReport } from './outlier-detection.js';

/** A model worker generates tokens; an application worker runs jobs. */
export type WorkerKind = 'model' | 'app';
/** A worker, in the format in which agents report it. */
export type WorkerEntry = {
  id: string;
  /** Network address of the worker. */
  at: Address;
  kind: WorkerKind;
  /** Whether the worker is draining: it finishes its running requests and gets no new ones. */
  leaving: boolean;
  /** The service that the worker belongs to; if absent, the service named after its kind. */
  service?: string;
  /** Maximum number of concurrent requests; if absent, the number configured for its kind. */
  slots?: number;
  /** Capacity of the KV cache in tokens, if the list of workers contains it. */
  cacheTokens?: number;
  zone?: string;
};
/** Turns of one gateway, in the format in which gateways report them: running by worker and class, waiting by class. */
export type Load = { running: Record<string, Record<string, number>>; waiting: Record<string, number> };
/** The requirements of a turn on its worker. */
export type SelectionRequest = {
  /** The worker to select if it may take the turn. */
  preferred?: string | null;
  /** Whether the preferred worker has the turn's context in its KV cache; any other would have to prefill all of it. */
  preferredHasContext?: boolean;
  /** Workers that have already failed this turn. */
  excluded?: ReadonlySet<string>;
  /** Select a worker regardless of shares, slots and reserves. */
  force?: boolean;
  /** How long turns of the class have been waiting at this gateway. */
  waitedFor?: Microseconds;
  /** The service to use instead of the class's own, for routes that split traffic between services. */
  service?: string;
};
/** A gateway's view of the slots of all workers. No method blocks; they throw only if an invariant is violated. */
export type LoadBalancer = {
  setWorkers: (workers: WorkerEntry[]) => void;
  setConfig: (config: Config) => void;
  /** Replaces the loads of the other gateways. */
  setPeerLoads: (peers: { id: string; load: Load }[]) => void;
  /** Selects a worker for a turn of a class, without acquiring a slot; null if no worker may take the turn now. */
  select: (className: string, request: SelectionRequest) => WorkerEntry | null;
  /** Acquires a slot of a worker for a turn of a class. */
  acquire: (worker: string, className: string) => void;
  /** Releases the slot of a turn of a class. */
  release: (worker: string, className: string) => void;
  /** Counts a turn of a class that starts waiting at this gateway. */
  enqueue: (className: string) => void;
  /** Removes a turn of a class that stops waiting from the count. */
  dequeue: (className: string) => void;
  /** A copy of this gateway's own load. */
  load: () => Load;
  worker: (id: string) => WorkerEntry | undefined;
  /** All workers, sorted by id. */
  workers: () => WorkerEntry[];
  /** Slots that a class is entitled to while all classes have demand; 0 if the class is not configured. */
  fairShare: (className: string) => number;
  /** Waiting turns of a class, on all gateways. */
  waiting: (className: string) => number;
  /** Running turns on a worker, including the turns reported by other gateways. */
  runningAt: (worker: string) => number;
  /** Records the outcome of an exchange with a worker; a worker that fails more than the others is ejected. */
  recordExchange: (worker: string, succeeded: boolean) => void;
  /** Replaces the other gateways' reports on their exchanges. */
  setPeerExchanges: (reports: ExchangeReport[]) => void;
  /** This gateway's counts for the workers that have recently failed a request of any gateway. */
  exchanges: () => ExchangeReport;
  /** Ids of the workers that are currently ejected because they fail more than the others. */
  ejected: () => string[];
  /** Excludes a worker from selection until the time `until`. */
  markUnhealthy: (worker: string, until: Microseconds) => void;
};
