/**
 * Weighted fair sharing of a service's slots among its classes (§5.2). A class may borrow slots that other classes
 * leave idle, and yields while another class below its share has waiting turns. A reserve is never lent: running turns
 * are not interrupted, and an urgent class must not have to wait for one to end.
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

/** Slots that a class is entitled to while all classes have demand, at least 1; 0 if the class is not configured. */
export const fairShare = (state: BalancerState, className: string): number => {
  const settings = state.config?.classes[className];
  if (!settings) return 0;
  const service = serviceOf(settings);
  return Math.max(1, (totalSlots(state, service) * settings.weight) / totalWeight(state, service));
};

/**
 * Whether a class at or above its share must take no further slot because another class below its share has waiting
 * turns: borrowed slots are returned first.
 */
export const mustYield = (state: BalancerState, className: string, service: string): boolean => {
  if (runningOf(state, className) < fairShare(state, className)) return false;
  return classesOfService(state, service).some(
    ([other]) =>
      other !== className && waitingOf(state, other) > 0 && runningOf(state, other) < fairShare(state, other),
  );
};

/** Slots of a class's reserve on a worker that the class is not using. */
const unusedReserve = ({ slots, byClass }: Occupancy, className: string, reserve: number): number =>
  Math.ceil(reserve * slots) - (byClass.get(className) ?? 0);

/** Whether another class of the service has a reserve, which this class must leave free. */
export const mustLeaveReserve = (state: BalancerState, className: string, service: string): boolean =>
  classesOfService(state, service).some(([other, { reserve }]) => other !== className && reserve > 0);

/** Slots of a worker that a class may take: the free slots minus the unused reserves of other classes. */
export const freeSlots = (state: BalancerState, occupancy: Occupancy, className: string, service: string): number => {
  let free = occupancy.slots - occupancy.running;
  const ownReserve = state.config?.classes[className]?.reserve ?? 0;
  // The class can use its own reserve even if forced turns have overcommitted the worker.
  if (ownReserve > 0) free = Math.max(free, unusedReserve(occupancy, className, ownReserve));
  for (const [other, { reserve }] of classesOfService(state, service))
    if (other !== className && reserve > 0) free -= Math.max(0, unusedReserve(occupancy, other, reserve));
  return free;
};
