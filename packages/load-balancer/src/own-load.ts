/** This gateway's own load, in the format in which it is reported: counts of zero have no entry. */
import { invariant } from '@thornsail/runtime';
import type { Load } from './types.js';

/** The load of a gateway without running or waiting turns. */
export const emptyLoad = (): Load => ({ running: {}, waiting: {} });

/** Counts a turn that starts on a worker. */
export const addRunning = (load: Load, worker: string, className: string): void => {
  const byClass = (load.running[worker] ??= {});
  byClass[className] = (byClass[className] ?? 0) + 1;
};

/** Removes a turn that has ended on a worker from the counts. Throws if none of its class was running there. */
export const removeRunning = (load: Load, worker: string, className: string): void => {
  const byClass = load.running[worker];
  const remaining = (byClass?.[className] ?? 0) - 1;
  invariant.hold(remaining >= 0, `released more slots of worker ${worker} than were acquired`);
  if (!byClass) return;
  if (remaining === 0) delete byClass[className];
  else byClass[className] = remaining;
  if (Object.keys(byClass).length === 0) delete load.running[worker];
};

/** Counts a turn that starts (1) or stops (-1) waiting. */
export const changeWaiting = (load: Load, className: string, change: 1 | -1): void => {
  const waiting = (load.waiting[className] ?? 0) + change;
  invariant.hold(waiting >= 0, `dequeued more turns of class ${className} than were enqueued`);
  if (waiting === 0) delete load.waiting[className];
  else load.waiting[className] = waiting;
};
