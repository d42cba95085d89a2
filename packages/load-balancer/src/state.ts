/** What a gateway knows of the workers, their load and the other gateways; the modules of this package read it. */
import { serviceOf, type Config } from '@thornsail/config-schema';
import type { Microseconds } from '@thornsail/runtime';
import { sumLoads, type LoadTotals } from './load-totals.js';
import { emptyLoad } from './own-load.js';
import type { Load, WorkerEntry } from './types.js';

/** The balancer's state; each report replaces a part of it. */
export type BalancerState = {
  config: Config | undefined;
  /** By id, in the order of the list. */
  workers: Map<string, WorkerEntry>;
  /** Place of each worker in the order of ids, the same at all gateways. */
  workerRanks: Map<string, number>;
  unhealthyUntil: Map<string, Microseconds>;
  own: Load;
  peers: LoadTotals;
  /** Ids of all gateways, and of those that run or want anything, this one included; in the order of ids. */
  gateways: { all: string[]; active: string[] };
};
/** Turns at one worker, of all gateways. */
export type Occupancy = { slots: number; running: number; byClass: Map<string, number> };

/** A state in which nothing is known. */
export const emptyState = (self: string): BalancerState => ({
  config: undefined,
  workers: new Map(),
  workerRanks: new Map(),
  unhealthyUntil: new Map(),
  own: emptyLoad(),
  peers: sumLoads([]),
  gateways: { all: [self], active: [self] },
});

/** The name under which classes find a worker. */
export const serviceOfWorker = (worker: WorkerEntry): string => worker.service ?? worker.kind;
/** The service that a class goes to; undefined for a class that is not configured. */
export const serviceOfClass = (state: BalancerState, className: string): string | undefined => {
  const settings = state.config?.classes[className];
  return settings && serviceOf(settings);
};
/** Classes that go to a service, with their settings. */
export const classesOfService = (state: BalancerState, service: string): [string, Config['classes'][string]][] =>
  Object.entries(state.config?.classes ?? {}).filter(([, settings]) => serviceOf(settings) === service);

/** Slots of a worker: its own, or the configured ones of its kind. */
export const slotsOf = (state: BalancerState, worker: WorkerEntry | undefined): number =>
  worker?.slots ?? state.config?.slots[worker?.kind ?? 'model'] ?? 1;

/** Turns at a worker, of this gateway and, as far as it has heard, of the others. */
export const occupancyOf = (state: BalancerState, worker: string): Occupancy => {
  const peers = state.peers.byWorker.get(worker);
  const byClass = new Map(peers?.byClass);
  let running = peers?.running ?? 0;
  for (const [className, n] of Object.entries(state.own.running[worker] ?? {})) {
    byClass.set(className, (byClass.get(className) ?? 0) + n);
    running += n;
  }
  return { slots: slotsOf(state, state.workers.get(worker)), running, byClass };
};
/** Running turns of a class, at all workers and gateways. */
export const runningOf = (state: BalancerState, className: string): number =>
  Object.values(state.own.running).reduce(
    (sum, byClass) => sum + (byClass[className] ?? 0),
    state.peers.runningByClass.get(className) ?? 0,
  );
/** Waiting turns of a class, at all gateways. */
export const waitingOf = (state: BalancerState, className: string): number =>
  (state.own.waiting[className] ?? 0) + (state.peers.waitingByClass.get(className) ?? 0);
