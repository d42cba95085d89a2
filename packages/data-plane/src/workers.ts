/** The workers, from the lists that the agents disseminate. */
import type { Dissemination } from '@thornsail/dissemination';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Microseconds } from '@thornsail/runtime';

/** A disseminated update: the platform's list of workers as one agent read it. Each agent publishes its own. */
export type WorkerListUpdate = { list: WorkerEntry[] };

/** Maximum age of a list that may mark workers as leaving. */
const maxLeavingAge = duration.s(4);

/** The workers of the newest list at `now`; a worker is leaving if any recent list marks it so (§3.8). */
export const workersOf = (dissemination: Dissemination, now: Microseconds): WorkerEntry[] => {
  const lists = dissemination.withPrefix('workers/').map((update) => ({
    name: update.name,
    at: update.item.receivedAt,
    list: (update.item.value as WorkerListUpdate).list,
  }));
  if (lists.length === 0) return [];
  const recent = lists.filter((entry) => now - entry.at < maxLeavingAge);
  const newest = [...lists].sort((a, b) => b.at - a.at)[0]!;
  const leaving = new Set(
    recent.flatMap((entry) => entry.list.filter((worker) => worker.leaving).map((worker) => worker.id)),
  );
  return newest.list.map((worker) => ({ ...worker, leaving: worker.leaving || leaving.has(worker.id) }));
};
