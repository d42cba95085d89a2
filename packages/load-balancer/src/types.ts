/** Workers as the service catalog lists them, the load that gateways report, and the balancer itself (§5.2). */
import type { Config } from '@thornsail/config-schema';
import type { Address, Microseconds } from '@thornsail/runtime';
import type { ExchangeReport } from './outlier-detection.js';

/** A model worker generates tokens; an application worker runs jobs. */
export type WorkerKind = 'model' | 'app';
/** One worker, in the form that agents report it in. */
export type WorkerEntry = {
  id: string;
  at: Address;
  kind: WorkerKind;
  /** It drains: it finishes what it has, and gets nothing new. */
  leaving: boolean;
  /** The service it belongs to; left out: that of all workers of its kind. */
  service?: string;
  /** Requests that it serves at once; left out: what the configuration says for its kind. */
  slots?: number;
  /** Capacity of its KV cache in tokens, where whoever lists it knows that already. */
  cacheTokens?: number;
  zone?: string;
};
/** Turns of one gateway, in the form that gateways report them in: running by worker and class, waiting by class. */
export type Load = { running: Record<string, Record<string, number>>; waiting: Record<string, number> };
/** What a turn asks of its worker. */
export type SelectionRequest = {
  /** The worker to take if it may take the turn. */
  preferred?: string | null;
  /** Whether the preferred worker has the turn's context in its KV cache: any other would have to prefill all of it. */
  preferredHasContext?: boolean;
  /** Workers that have failed for this turn. */
  excluded?: ReadonlySet<string>;
  /** Select a worker whatever the shares, slots and reserves say. */
  force?: boolean;
  /** For how long turns of the class have been waiting at this gateway. */
  waitedFor?: Microseconds;
  /** Another service than the class's own, for a route that is split. */
  service?: string;
};
/**
 * The slots of all workers as one gateway sees them. Nothing here waits or throws, except on a breached invariant.
 */
export type LoadBalancer = {
  setWorkers: (workers: WorkerEntry[]) => void;
  setConfig: (config: Config) => void;
  /** Replaces what is known of the other gateways. */
  setPeerLoads: (peers: { id: string; load: Load }[]) => void;
  /** A worker for a turn of a class; null if none may take it now. Nothing is acquired yet. */
  select: (className: string, request: SelectionRequest) => WorkerEntry | null;
  /** A turn of a class takes a slot. */
  acquire: (worker: string, className: string) => void;
  /** A turn of a class gives its slot back. */
  release: (worker: string, className: string) => void;
  /** A turn of a class begins to wait at this gateway. */
  enqueue: (className: string) => void;
  /** A turn of a class waits no longer. */
  dequeue: (className: string) => void;
  /** A copy of this gateway's own load. */
  load: () => Load;
  worker: (id: string) => WorkerEntry | undefined;
  /** All workers by id. */
  workers: () => WorkerEntry[];
  /** Slots that a class may use while every other class wants its own; 0 for a class that is not configured. */
  fairShare: (className: string) => number;
  /** Waiting turns of a class, at all gateways. */
  waiting: (className: string) => number;
  /** Running turns at a worker, of this gateway and, as far as it has heard, of the others. */
  runningAt: (worker: string) => number;
  /** Takes in what became of an exchange with a worker; one that fails more than the others do is passed by. */
  recordExchange: (worker: string, succeeded: boolean) => void;
  /** Replaces what the other gateways report of their exchanges. */
  setPeerExchanges: (reports: ExchangeReport[]) => void;
  /** This gateway's counts of the workers that have failed a request anywhere lately. */
  exchanges: () => ExchangeReport;
  /** Workers that are passed by now because they fail more than the others do. */
  ejected: () => string[];
  /** A worker is not selected before `until`. */
  markUnhealthy: (worker: string, until: Microseconds) => void;
};
