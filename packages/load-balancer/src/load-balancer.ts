/** The load balancer of one gateway (§5.2): tracks the load of the workers and selects workers by it. */
import type { Microseconds } from '@thornsail/runtime';
import { fairShare } from './class-shares.js';
import { sumLoads } from './load-totals.js';
import { outlierDetection, type OutlierDetector } from './outlier-detection.js';
import { addRunning, changeWaiting, removeRunning } from './own-load.js';
import { reportDelay } from './report-delay.js';
import { selector } from './selection.js';
import { slotAllocator } from './slot-allocator.js';
import { emptyState, occupancyOf, serviceOfWorker, waitingOf, type BalancerState } from './state.js';
import type { Load, LoadBalancer, WorkerEntry } from './types.js';

const workersByService = (workers: WorkerEntry[]): Map<string, string[]> => {
  const byService = new Map<string, string[]>();
  for (const worker of workers) {
    const service = serviceOfWorker(worker);
    byService.set(service, [...(byService.get(service) ?? []), worker.id]);
  }
  return byService;
};
const setWorkers = (state: BalancerState, detector: OutlierDetector, workers: WorkerEntry[]): void => {
  detector.setServices(workersByService(workers.filter(({ leaving }) => !leaving)));
  state.workers.clear();
  for (const worker of workers) state.workers.set(worker.id, worker);
  state.workerRanks = new Map([...state.workers.keys()].sort().map((id, i) => [id, i]));
};

const isActive = ({ running, waiting }: Load): boolean => Object.keys(running).length + Object.keys(waiting).length > 0;
const setPeerLoads = (state: BalancerState, self: string, peers: { id: string; load: Load }[]): void => {
  state.peers = sumLoads(peers.map(({ load }) => load));
  const active = peers.filter(({ load }) => isActive(load));
  state.gateways = {
    all: [self, ...peers.map(({ id }) => id)].sort(),
    active: [self, ...active.map(({ id }) => id)].sort(),
  };
};

/** Opens a load balancer. */
export const loadBalancer = {
  /**
   * @param options.now monotonic clock, in microseconds
   * @param options.self id of this gateway
   * @param options.rotation counter that advances simultaneously on all gateways, within the skew of their clocks; it
   *   rotates which gateway comes first when a worker's free slots are allocated
   */
  open: (options: { now: () => Microseconds; self?: string; rotation?: () => number }): LoadBalancer => {
    const { now, self = '', rotation = () => 0 } = options;
    const state = emptyState(self);
    const detector = outlierDetection.open(now);
    const allocator = slotAllocator.open({ self, now, reportDelay });
    return {
      setWorkers: (workers) => setWorkers(state, detector, workers),
      setConfig: (config) => {
        state.config = config;
      },
      setPeerLoads: (peers) => setPeerLoads(state, self, peers),
      select: selector.open({ state, allocator, detector, self, now, rotation }),
      acquire: (worker, className) => {
        addRunning(state.own, worker, className);
        allocator.acquired(worker, className);
      },
      release: (worker, className) => {
        allocator.released(worker, className);
        removeRunning(state.own, worker, className);
      },
      enqueue: (className) => changeWaiting(state.own, className, 1),
      dequeue: (className) => changeWaiting(state.own, className, -1),
      load: () => structuredClone(state.own),
      worker: (id) => state.workers.get(id),
      workers: () => [...state.workers.values()].sort((a, b) => (a.id < b.id ? -1 : 1)),
      fairShare: (className) => fairShare(state, className),
      waiting: (className) => waitingOf(state, className),
      runningAt: (worker) => occupancyOf(state, worker).running,
      recordExchange: detector.record,
      setPeerExchanges: detector.setPeerReports,
      exchanges: detector.report,
      ejected: () => [...state.workers.keys()].filter(detector.isEjected),
      markUnhealthy: (worker, until) => void state.unhealthyUntil.set(worker, until),
    };
  },
};
