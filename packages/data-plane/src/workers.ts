/** The model workers, as the cluster's updates list them. */
import type { Dissemination } from '@thornsail/dissemination';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Microseconds } from '@thornsail/runtime';

/** What the platform's list looks like in an update: one item for each agent that reads it. */
export type WorkersNews = { list: WorkerEntry[] };

/** An agent's list counts for so long when workers are marked as leaving. */
const freshFor = duration.s(4);

/** The workers at `now`: the newest list, and leaving wherever any fresh list says so (§3.8). */
export const workersOf = (dissemination: Dissemination, now: Microseconds): WorkerEntry[] => {
  const lists = dissemination
    .withPrefix('workers/')
    .map((update) => ({
      name: update.name,
      at: update.item.receivedAt,
      list: (update.item.value as WorkersNews).list,
    }));
  if (lists.length === 0) return [];
  const fresh = lists.filter((entry) => now - entry.at < freshFor);
  const newest = [...lists].sort((a, b) => b.at - a.at)[0]!;
  const leaving = new Set(fresh.flatMap((entry) => entry.list.filter((each) => each.leaving).map((each) => each.id)));
  return newest.list.map((entry) => ({ ...entry, leaving: entry.leaving || leaving.has(entry.id) }));
};
