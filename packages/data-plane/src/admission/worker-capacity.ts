/** KV-cache capacities of the model workers: as listed, or as the workers report them (§4.2, §5.2). */
import type { Worker } from '@thornsail/admission-scheduler';
import { workerProtocol, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, readText, type Runtime } from '@thornsail/runtime';

/** Known capacities. */
export type WorkerCapacity = {
  /** Whether a worker has been heard. */
  isKnown: (worker: string) => boolean;
  /** Asks the workers whose capacity the list doesn't tell. Never fails: the last known capacity stands. */
  measure: (workers: WorkerEntry[]) => Promise<void>;
  /** The model workers as the scheduler sees them. */
  schedulerWorkers: (workers: WorkerEntry[]) => Worker[];
};

const reportLimit = duration.ms(800);

/** Keeps capacities by worker. */
export const workerCapacity = {
  /** `zone` is this gateway's own; empty if it has none. */
  open: (runtime: Runtime, zone: string): WorkerCapacity => {
    const capacities = new Map<string, number>();
    const measureOne = async (worker: WorkerEntry): Promise<void> => {
      try {
        const response = await runtime.net.request({
          at: worker.at,
          method: 'GET',
          path: workerProtocol.report.path,
          headersTimeout: reportLimit,
          bodyTimeout: reportLimit,
        });
        const capacity = workerProtocol.report.capacity(await readText(response.body));
        if (capacity !== undefined) capacities.set(worker.id, capacity);
      } catch {
        /* The last known capacity stands. */
      }
    };
    return {
      isKnown: (worker) => capacities.has(worker),
      measure: async (workers) => {
        const unlisted = workers.filter(({ kind, cacheTokens }) => kind === 'model' && cacheTokens === undefined);
        await Promise.all(unlisted.map(measureOne));
      },
      schedulerWorkers: (workers) =>
        workers
          .filter((worker) => worker.kind === 'model')
          .map((worker) => ({
            id: worker.id,
            capacity: worker.cacheTokens ?? capacities.get(worker.id) ?? 0,
            eligible: !worker.leaving,
            near: zone !== '' && worker.zone === zone,
          })),
    };
  },
};
