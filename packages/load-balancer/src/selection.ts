/** Selects the worker for a turn (§5.2): the preferred one if it may take the turn, otherwise the least loaded one. */
import type { Microseconds } from '@thornsail/runtime';
import { freeSlots, mustLeaveReserve, mustYield } from './class-shares.js';
import { reportDelay } from './report-delay.js';
import type { OutlierDetector } from './outlier-detection.js';
import type { SlotAllocator } from './slot-allocator.js';
import { occupancyOf, serviceOfClass, serviceOfWorker, type BalancerState, type Occupancy } from './state.js';
import type { SelectionRequest, WorkerEntry } from './types.js';

/** The data on which a selection is based. */
type SelectionContext = {
  state: BalancerState;
  allocator: SlotAllocator;
  detector: OutlierDetector;
  self: string;
  now: () => Microseconds;
  /**
   * Counter with a fraction that advances simultaneously on all gateways; its integer part determines which gateway
   * comes first when free slots are allocated.
   */
  rotation: () => number;
};
/** Selects a worker; null if none may take the turn now. */
export type Selector = (className: string, request: SelectionRequest) => WorkerEntry | null;

const isAvailable = (context: SelectionContext, worker: WorkerEntry, excluded?: ReadonlySet<string>): boolean =>
  !worker.leaving && !excluded?.has(worker.id) && (context.state.unhealthyUntil.get(worker.id) ?? 0) <= context.now();
/** The available workers without the ejected ones; all of them if every available worker is ejected. */
const withoutEjected = ({ detector }: SelectionContext, available: WorkerEntry[]): WorkerEntry[] => {
  const others = available.filter(({ id }) => !detector.isEjected(id));
  return others.length > 0 ? others : available;
};
/**
 * Whether the slow start of a worker leaves a slot for this gateway. A worker that was ejected gets its slots back
 * gradually, beginning with one, which is allocated to the gateways in rotation.
 */
const hasSlowStartSlot = (context: SelectionContext, { id }: WorkerEntry, { slots, running }: Occupancy): boolean => {
  const { state, detector, allocator, rotation } = context;
  const share = detector.usableShare(id);
  if (share >= 1 || detector.isEjected(id)) return true;
  const usable = Math.max(1, Math.floor(share * slots));
  const offset = (state.workerRanks.get(id) ?? 0) + Math.floor(rotation());
  return running < usable && allocator.recentlyAcquired(id) < allocator.shareOf(usable, state.gateways.all, offset);
};

/** Fraction of a rotation after which the slots acquired in the previous rotation have been reported. */
const reportedAfter = 0.6;

/** Whether this gateway's share of a worker's free slots has a slot left. */
const hasAllocatedSlot = (
  { state, allocator, rotation }: SelectionContext,
  worker: WorkerEntry,
  free: number,
  waitedFor: Microseconds,
  leavesReserve: boolean,
): boolean => {
  // Once idle gateways have had time to report that they need no slots, their shares go to the active ones.
  const gateways = waitedFor >= reportDelay ? state.gateways.active : state.gateways.all;
  const recent = allocator.recentlyAcquired(worker.id);
  const position = rotation();
  const offset = (state.workerRanks.get(worker.id) ?? 0) + Math.floor(position);
  const shareAt = (slotOffset: number): number => allocator.shareOf(free + recent, gateways, slotOffset);
  // A gateway whose share shrank with this rotation may have used the former one and not have reported it yet. Until
  // then the smaller of this gateway's two shares applies, so that slots reserved for other classes stay free.
  const isSettled = !leavesReserve || position - Math.floor(position) >= reportedAfter;
  const allocated = isSettled ? shareAt(offset) : Math.min(shareAt(offset), shareAt(offset - 1));
  return recent < Math.max(allocated, state.config?.limits.leastPart ?? 0);
};

/**
 * Returns a function that lists all workers. With `limits.leastPart` set, the list starts at a different worker on each
 * gateway and at the next one with each call; otherwise all gateways would fill the same worker first.
 */
const rotatingWorkers = ({ state, self }: SelectionContext): (() => WorkerEntry[]) => {
  let rounds = 0;
  return () => {
    const workers = [...state.workers.values()];
    if (!state.config?.limits.leastPart || workers.length === 0) return workers;
    const start = (rounds++ + state.gateways.all.indexOf(self)) % workers.length;
    return [...workers.slice(start), ...workers.slice(0, start)];
  };
};

/** Creates functions that select workers. */
export const selector = {
  open: (context: SelectionContext): Selector => {
    const { state } = context;
    const candidates = rotatingWorkers(context);
    return (className, request) => {
      const { preferred, preferredHasContext, excluded, force, waitedFor = 0 } = request;
      const ownService = serviceOfClass(state, className);
      if (ownService === undefined) return null;
      const service = request.service ?? ownService;
      if (!force && mustYield(state, className, ownService)) return null;
      const leavesReserve = mustLeaveReserve(state, className, ownService);
      // A short wait in the worker's own queue costs less than prefilling the whole context on another worker.
      const queueAllowance = state.config?.limits.leastPart ?? 0;
      let best: WorkerEntry | null = null;
      let lowestUtilization = Infinity;
      const available = candidates().filter(
        (worker) => serviceOfWorker(worker) === service && isAvailable(context, worker, excluded),
      );
      for (const worker of withoutEjected(context, available)) {
        const occupancy = occupancyOf(state, worker.id);
        if (!force && !hasSlowStartSlot(context, worker, occupancy)) continue;
        const free = freeSlots(state, occupancy, className, ownService);
        const isPreferred = worker.id === preferred && free >= 1;
        // The allocation among gateways does not apply here: on another worker the whole context would be prefilled.
        if (worker.id === preferred && preferredHasContext && free + queueAllowance >= 1) return worker;
        if (!force && (free < 1 || !hasAllocatedSlot(context, worker, free, waitedFor, leavesReserve))) continue;
        if (isPreferred) return worker;
        const utilization = occupancy.running / occupancy.slots;
        if (utilization < lowestUtilization) {
          best = worker;
          lowestUtilization = utilization;
        }
      }
      return best;
    };
  },
};
