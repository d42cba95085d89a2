/** KV-cache capacities of the model workers, from the list of workers or as reported by the workers (§4.2, §5.2). */
import type { Worker } from '@thornsail/admission-scheduler';
import { workerProtocol, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, fault, readText, type Runtime } from '@thornsail/runtime';

/** The known capacities, in tokens. */
export type WorkerCapacity = {
  /** Whether a worker has reported its capacity. */
  isKnown: (worker: string) => boolean;
  /**
   * Queries the workers whose capacity is not listed, each once at a time; resolves when those have answered or failed
   * that no earlier call asks. Never rejects: on failure the last known capacity is kept.
   */
  query: (workers: WorkerEntry[]) => Promise<void>;
  /** The model workers as the scheduler sees them. */
  schedulerWorkers: (workers: WorkerEntry[]) => Worker[];
};

/** Of a whole report, from the request on. */
const reportTimeout = duration.ms(800);
/** In characters; a report lists the models of its worker. */
const maxReportLength = 256 << 10;

/** Opens the capacities of workers. */
export const workerCapacity = {
  /** `zone` is this gateway's own; empty if it has none. */
  open: (runtime: Runtime, zone: string): WorkerCapacity => {
    const log = runtime.log('worker reports');
    const capacities = new Map<string, number>();
    /** The workers whose last report could not be read. */
    const failing = new Set<string>();
    const querying = new Set<string>();
    const queryWorker = async (worker: WorkerEntry): Promise<void> => {
      if (querying.has(worker.id)) return;
      querying.add(worker.id);
      try {
        const response = await runtime.net.request({
          at: worker.at,
          method: 'GET',
          path: workerProtocol.report.path,
          headersTimeout: reportTimeout,
          totalTimeout: reportTimeout,
          // Only a connection of its own is limited in what it receives beyond the content.
          newConnection: true,
        });
        const capacity = workerProtocol.report.capacity(await readText(response.body, maxReportLength));
        if (capacity !== undefined) capacities.set(worker.id, capacity);
        failing.delete(worker.id);
      } catch (error) {
        // The last known capacity is kept.
        if (!failing.has(worker.id)) log(`the report of worker ${worker.id} can't be read: ${fault.text(error)}.`);
        failing.add(worker.id);
      } finally {
        querying.delete(worker.id);
      }
    };
    return {
      isKnown: (worker) => capacities.has(worker),
      query: async (workers) => {
        const unlisted = workers.filter(({ kind, cacheTokens }) => kind === 'model' && cacheTokens === undefined);
        await Promise.all(unlisted.map(queryWorker));
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
