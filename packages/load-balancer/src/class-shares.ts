/**
 * Weighted shares of the classes of a service (§5.2). A class may borrow what others leave idle; it gives way while
 * another one below its share waits. A reserve is never lent: a running turn is not cut, so an urgent class must not
 * have to wait for one to end.
 */
import { serviceOf } from '@thornsail/config-schema';
import {
  classesOfService,
  runningOf,
  serviceOfWorker,
  slotsOf,
  waitingOf,
  type BalancerState,
  type Occupancy,
} from './state.js';

const totalWeight = (state: BalancerState, service: string): number =>
  classesOfService(state, service).reduce((sum, [, { weight }]) => sum + weight, 0) || 1;
const totalSlots = (state: BalancerState, service: string): number =>
  [...state.workers.values()].reduce(
    (sum, worker) => sum + (serviceOfWorker(worker) === service && !worker.leaving ? slotsOf(state, worker) : 0),
    0,
  );

/** Slots that a class may use while every other class wants its own, 1 at least; 0 if it is not configured. */
export const fairShare = (state: BalancerState, className: string): number => {
  const settings = state.config?.classes[className];
  if (!settings) return 0;
  const service = serviceOf(settings);
  return Math.max(1, (totalSlots(state, service) * settings.weight) / totalWeight(state, service));
};

/** A class above its share gives way while another one below its own is waiting: what was borrowed goes back first. */
export const mustGiveWay = (state: BalancerState, className: string, service: string): boolean => {
  if (runningOf(state, className) < fairShare(state, className)) return false;
  return classesOfService(state, service).some(
    ([other]) =>
      other !== className && waitingOf(state, other) > 0 && runningOf(state, other) < fairShare(state, other),
  );
};

/** Slots of a class's reserve at a worker that it does not use itself. */
const unusedReserve = ({ slots, byClass }: Occupancy, className: string, reserve: number): number =>
  Math.ceil(reserve * slots) - (byClass.get(className) ?? 0);

/** Whether another class of the service has a reserve that this one has to leave free. */
export const mustLeaveReserve = (state: BalancerState, className: string, service: string): boolean =>
  classesOfService(state, service).some(([other, { reserve }]) => other !== className && reserve > 0);

/** Slots of a worker that a class may take: those free, less what other classes have reserved and do not use. */
export const freeSlots = (state: BalancerState, occupancy: Occupancy, className: string, service: string): number => {
  let free = occupancy.slots - occupancy.running;
  const ownReserve = state.config?.classes[className]?.reserve ?? 0;
  // Its own reserve is there for it even when forced turns have overfilled the worker.
  if (ownReserve > 0) free = Math.max(free, unusedReserve(occupancy, className, ownReserve));
  for (const [other, { reserve }] of classesOfService(state, service))
    if (other !== className && reserve > 0) free -= Math.max(0, unusedReserve(occupancy, other, reserve));
  return free;
};
