/** Sums of several gateways' loads, computed once per load report instead of for each selection. */
import type { Load } from './types.js';

/** Running turns on one worker, in total and by class. */
export type WorkerTotals = { running: number; byClass: Map<string, number> };
/** Running and waiting turns of several gateways together. */
export type LoadTotals = {
  byWorker: Map<string, WorkerTotals>;
  /** Running turns by class, on all workers. */
  runningByClass: Map<string, number>;
  waitingByClass: Map<string, number>;
};

const increment = (counts: Map<string, number>, name: string, n: number): void =>
  void counts.set(name, (counts.get(name) ?? 0) + n);

const addRunning = (totals: LoadTotals, worker: string, byClass: Record<string, number>): void => {
  const atWorker = totals.byWorker.get(worker) ?? { running: 0, byClass: new Map<string, number>() };
  totals.byWorker.set(worker, atWorker);
  for (const [className, n] of Object.entries(byClass)) {
    atWorker.running += n;
    increment(atWorker.byClass, className, n);
    increment(totals.runningByClass, className, n);
  }
};

/** Adds up the loads of several gateways. */
export const sumLoads = (loads: Load[]): LoadTotals => {
  const totals: LoadTotals = { byWorker: new Map(), runningByClass: new Map(), waitingByClass: new Map() };
  for (const { running, waiting } of loads) {
    for (const [className, n] of Object.entries(waiting)) increment(totals.waitingByClass, className, n);
    for (const [worker, byClass] of Object.entries(running)) addRunning(totals, worker, byClass);
  }
  return totals;
};
