/** This gateway's own load, in the form that it is reported in: what is zero has no entry. */
import { invariant } from '@thornsail/runtime';
import type { Load } from './types.js';

/** The load of a gateway that runs nothing. */
export const emptyLoad = (): Load => ({ running: {}, waiting: {} });

/** Counts a turn that begins at a worker. */
export const addRunning = (load: Load, worker: string, className: string): void => {
  const byClass = (load.running[worker] ??= {});
  byClass[className] = (byClass[className] ?? 0) + 1;
};

/** Counts a turn that ends at a worker. */
export const removeRunning = (load: Load, worker: string, className: string): void => {
  const byClass = load.running[worker];
  const left = (byClass?.[className] ?? 0) - 1;
  invariant.hold(left >= 0, `more turns left ${worker} than it took`);
  if (!byClass) return;
  if (left === 0) delete byClass[className];
  else byClass[className] = left;
  if (Object.keys(byClass).length === 0) delete load.running[worker];
};

/** Counts a turn that begins to wait (1) or ends waiting (-1). */
export const changeWaiting = (load: Load, className: string, by: 1 | -1): void => {
  const waiting = (load.waiting[className] ?? 0) + by;
  invariant.hold(waiting >= 0, `more turns of ${className} left the buffer than entered it`);
  if (waiting === 0) delete load.waiting[className];
  else load.waiting[className] = waiting;
};
