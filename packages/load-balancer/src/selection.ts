/** Which worker a turn goes to (§5.2): the preferred one if it may take the turn, else the one with the least load. */
import type { Microseconds } from '@thornsail/runtime';
import { freeSlots, mustGiveWay, mustLeaveReserve } from './class-shares.js';
import { reportDelay } from './report-delay.js';
import type { OutlierDetector } from './outlier-detection.js';
import type { SlotDealer } from './slot-dealer.js';
import { occupancyOf, serviceOfClass, serviceOfWorker, type BalancerState, type Occupancy } from './state.js';
import type { SelectionRequest, WorkerEntry } from './types.js';

/** What a selection is made from. */
type SelectionContext = {
  state: BalancerState;
  dealer: SlotDealer;
  detector: OutlierDetector;
  self: string;
  now: () => Microseconds;
  /** Counts up in step at all gateways, fractions included: its whole part says whose slots come first. */
  rotation: () => number;
};
/** Selects a worker; null if none may take the turn now. */
export type Selector = (className: string, request: SelectionRequest) => WorkerEntry | null;

const isAvailable = (context: SelectionContext, worker: WorkerEntry, excluded?: ReadonlySet<string>): boolean =>
  !worker.leaving && !excluded?.has(worker.id) && (context.state.unhealthyUntil.get(worker.id) ?? 0) <= context.now();
/** The workers that a turn may go to; those that were ejected only where no other one is left. */
const withoutEjected = ({ detector }: SelectionContext, available: WorkerEntry[]): WorkerEntry[] => {
  const others = available.filter(({ id }) => !detector.isEjected(id));
  return others.length > 0 ? others : available;
};
/**
 * A worker that was ejected gets its slots back little by little, beginning with one, at the gateway whose turn it is.
 */
const hasSlowStartSlot = (context: SelectionContext, { id }: WorkerEntry, { slots, running }: Occupancy): boolean => {
  const { state, detector, dealer, rotation } = context;
  const share = detector.usableShare(id);
  if (share >= 1 || detector.isEjected(id)) return true;
  const usable = Math.max(1, Math.floor(share * slots));
  const offset = (state.workerRanks.get(id) ?? 0) + Math.floor(rotation());
  return running < usable && dealer.recentlyAcquired(id) < dealer.partOf(usable, state.gateways.all, offset);
};

/** Part of a rotation after which what was acquired in the one before has been reported. */
const settledAfter = 0.6;

/** Whether this gateway's part of a worker's free slots has one left. */
const hasDealtSlot = (
  { state, dealer, rotation }: SelectionContext,
  worker: WorkerEntry,
  free: number,
  waitedFor: Microseconds,
  leavesReserve: boolean,
): boolean => {
  // Once the others have had the time to report that they want none, their parts are dealt again.
  const gateways = waitedFor >= reportDelay ? state.gateways.active : state.gateways.all;
  const recent = dealer.recentlyAcquired(worker.id);
  const turn = rotation();
  const offset = (state.workerRanks.get(worker.id) ?? 0) + Math.floor(turn);
  const part = (at: number): number => dealer.partOf(free + recent, gateways, at);
  // Who held a part until now may have used it, and its report is on its way: what is a reserve's stays free meanwhile.
  const isSettled = !leavesReserve || turn - Math.floor(turn) >= settledAfter;
  const dealt = isSettled ? part(offset) : Math.min(part(offset), part(offset - 1));
  return recent < Math.max(dealt, state.config?.limits.leastPart ?? 0);
};

/** Gives all workers; where gateways have a least part, from another one on each time, or all would fill the same. */
const workersInTurn = ({ state, self }: SelectionContext): (() => WorkerEntry[]) => {
  let rounds = 0;
  return () => {
    const workers = [...state.workers.values()];
    if (!state.config?.limits.leastPart || workers.length === 0) return workers;
    const start = (rounds++ + state.gateways.all.indexOf(self)) % workers.length;
    return [...workers.slice(start), ...workers.slice(0, start)];
  };
};

/** Selects workers. */
export const selector = {
  open: (context: SelectionContext): Selector => {
    const { state } = context;
    const candidates = workersInTurn(context);
    return (className, request) => {
      const { preferred, preferredHasContext, excluded, force, waitedFor = 0 } = request;
      const ownService = serviceOfClass(state, className);
      if (ownService === undefined) return null;
      const service = request.service ?? ownService;
      if (!force && mustGiveWay(state, className, ownService)) return null;
      const leavesReserve = mustLeaveReserve(state, className, ownService);
      // A short wait in a worker's own queue costs less than a prefill of the whole context elsewhere.
      const queued = state.config?.limits.leastPart ?? 0;
      let best: WorkerEntry | null = null;
      let leastUsed = Infinity;
      const available = candidates().filter(
        (worker) => serviceOfWorker(worker) === service && isAvailable(context, worker, excluded),
      );
      for (const worker of withoutEjected(context, available)) {
        const occupancy = occupancyOf(state, worker.id);
        if (!force && !hasSlowStartSlot(context, worker, occupancy)) continue;
        const free = freeSlots(state, occupancy, className, ownService);
        const isPreferred = worker.id === preferred && free >= 1;
        // Free slots are dealt among turns that may go anywhere: this one would cost a prefill of its whole context.
        if (worker.id === preferred && preferredHasContext && free + queued >= 1) return worker;
        if (!force && (free < 1 || !hasDealtSlot(context, worker, free, waitedFor, leavesReserve))) continue;
        if (isPreferred) return worker;
        const used = occupancy.running / occupancy.slots;
        if (used < leastUsed) {
          best = worker;
          leastUsed = used;
        }
      }
      return best;
    };
  },
};
