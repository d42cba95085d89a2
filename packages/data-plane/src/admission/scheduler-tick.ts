/** Keeps the scheduler up to date on workers, and ticks it (§4.2). */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { time, type Cancel, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { ProgramTurns } from './program-turns.js';
import { workerCapacity } from './worker-capacity.js';

/** The tick of one gateway's scheduler. */
export type SchedulerTick = {
  /** Hands the scheduler the workers, and asks new ones for their capacity. */
  setWorkers: (workers: WorkerEntry[]) => void;
  /** Time between two ticks; none before the first call. */
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
  const tick = async (): Promise<void> => {
    await capacity.measure(workers);
    if (closed) return;
    reportWorkers();
    turns.step({ type: 'tick' });
  };
  const measureNew = async (list: WorkerEntry[]): Promise<void> => {
    await capacity.measure(list);
    if (!closed) reportWorkers();
  };
  return {
    setWorkers: (list) => {
      const unmeasured = list.filter((worker) => !capacity.isKnown(worker.id));
      workers = list;
      reportWorkers();
      if (unmeasured.length > 0) void measureNew(unmeasured);
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

/** Ticks a scheduler; `zone` is the gateway's own. */
export const schedulerTick = { open: openTick };
