/** Updates the scheduler's workers and their capacities, and triggers its periodic tick (§4.2). */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { time, type Cancel, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { ProgramTurns } from './program-turns.js';
import { workerCapacity } from './worker-capacity.js';

/** Periodic updates of one gateway's scheduler. */
export type SchedulerTick = {
  /** Passes the workers to the scheduler, and queries the capacity of new ones. */
  setWorkers: (workers: WorkerEntry[]) => void;
  /** Sets the time between two ticks; there are no ticks before the first call. */
  setInterval: (interval: Microseconds) => void;
  close: () => void;
};

const openTick = (runtime: Runtime, turns: ProgramTurns, zone: string): SchedulerTick => {
  const capacity = workerCapacity.open(runtime, zone);
  let workers: WorkerEntry[] = [];
  let interval: Microseconds = 0;
  let closed = false;
  let stop: Cancel = () => undefined;
  const reportWorkers = (): void =>
    turns.step({ type: 'workers-changed', workers: capacity.schedulerWorkers(workers) });
  const query = async (list: WorkerEntry[]): Promise<void> => {
    await capacity.query(list);
    if (!closed) reportWorkers();
  };
  /** The scheduler does not wait for reports: a worker may be slow to send its own. */
  const tick = (): void => {
    void query(workers);
    reportWorkers();
    turns.step({ type: 'tick' });
  };
  return {
    setWorkers: (list) => {
      const newWorkers = list.filter((worker) => !capacity.isKnown(worker.id));
      workers = list;
      reportWorkers();
      if (newWorkers.length > 0) void query(newWorkers);
    },
    setInterval: (next) => {
      if (next === interval) return;
      interval = next;
      stop();
      stop = time.every(runtime.clock, interval, tick);
    },
    close: () => {
      closed = true;
      stop();
    },
  };
};

/** Opens the updates of a scheduler; `zone` is the gateway's own zone. */
export const schedulerTick = { open: openTick };
