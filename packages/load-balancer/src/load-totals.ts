/** Sums of several gateways' loads: added up once for each report of them, not for each turn that is placed. */
import type { Load } from './types.js';

/** Running turns at one worker. */
export type WorkerTotals = { running: number; byClass: Map<string, number> };
/** What several gateways run and want together. */
export type LoadTotals = {
  byWorker: Map<string, WorkerTotals>;
  /** Running turns by class, at all workers. */
  runningByClass: Map<string, number>;
  waitingByClass: Map<string, number>;
};

const addTo = (counts: Map<string, number>, name: string, n: number): void =>
  void counts.set(name, (counts.get(name) ?? 0) + n);

const addRunning = (totals: LoadTotals, worker: string, byClass: Record<string, number>): void => {
  const atWorker = totals.byWorker.get(worker) ?? { running: 0, byClass: new Map<string, number>() };
  totals.byWorker.set(worker, atWorker);
  for (const [className, n] of Object.entries(byClass)) {
    atWorker.running += n;
    addTo(atWorker.byClass, className, n);
    addTo(totals.runningByClass, className, n);
  }
};

/** Adds loads up. */
export const sumLoads = (loads: Load[]): LoadTotals => {
  const totals: LoadTotals = { byWorker: new Map(), runningByClass: new Map(), waitingByClass: new Map() };
  for (const { running, waiting } of loads) {
    for (const [className, n] of Object.entries(waiting)) addTo(totals.waitingByClass, className, n);
    for (const [worker, byClass] of Object.entries(running)) addRunning(totals, worker, byClass);
  }
  return totals;
};
