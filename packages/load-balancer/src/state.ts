/** A gateway's view of the workers, their load and the other gateways, shared by the modules of this package. */
import { serviceOf, type Config } from '@thornsail/config-schema';
import type { Microseconds } from '@thornsail/runtime';
import { sumLoads, type LoadTotals } from './load-totals.js';
import { emptyLoad } from './own-load.js';
import type { Load, WorkerEntry } from './types.js';

/** The balancer's state; each report replaces the part that it covers. */
export type BalancerState = {
  config: Config | undefined;
  /** Workers by id, in the order in which they are listed. */
  workers: Map<string, WorkerEntry>;
  /** Index of each worker in the order of ids, the same on all gateways. */
  workerRanks: Map<string, number>;
  unhealthyUntil: Map<string, Microseconds>;
  own: Load;
  peers: LoadTotals;
  /** Sorted ids of all gateways, and of those with running or waiting turns; both include this gateway. */
  gateways: { all: string[]; active: string[] };
};
/** Slots and running turns of one worker, for all gateways together. */
export type Occupancy = { slots: number; running: number; byClass: Map<string, number> };

/** The initial state, without workers, configuration or other gateways. */
export const emptyState = (self: string): BalancerState => ({
  config: undefined,
  workers: new Map(),
  workerRanks: new Map(),
  unhealthyUntil: new Map(),
  own: emptyLoad(),
  peers: sumLoads([]),
  gateways: { all: [self], active: [self] },
});

/** The name of the service that a worker belongs to; workers without one belong to the service of their kind. */
export const serviceOfWorker = (worker: WorkerEntry): string => worker.service ?? worker.kind;
/** The service that handles a class; undefined if the class is not configured. */
export const serviceOfClass = (state: BalancerState, className: string): string | undefined => {
  const settings = state.config?.classes[className];
  return settings && serviceOf(settings);
};
/** The classes that a service handles, with their settings. */
export const classesOfService = (state: BalancerState, service: string): [string, Config['classes'][string]][] =>
  Object.entries(state.config?.classes ?? {}).filter(([, settings]) => serviceOf(settings) === service);

/** Slots of a worker: its own number if listed, otherwise the configured number for its kind. */
export const slotsOf = (state: BalancerState, worker: WorkerEntry | undefined): number =>
  worker?.slots ?? state.config?.slots[worker?.kind ?? 'model'] ?? 1;

/** Slots and running turns of a worker, including the turns reported by other gateways. */
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
/** Running turns of a class, on all workers and gateways. */
export const runningOf = (state: BalancerState, className: string): number =>
  Object.values(state.own.running).reduce(
    (sum, byClass) => sum + (byClass[className] ?? 0),
    state.peers.runningByClass.get(className) ?? 0,
  );
/** Waiting turns of a class, on all gateways. */
export const waitingOf = (state: BalancerState, className: string): number =>
  (state.own.waiting[className] ?? 0) + (state.peers.waitingByClass.get(className) ?? 0);
