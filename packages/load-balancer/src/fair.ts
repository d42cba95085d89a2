// An edge's part of a worker's free slots (§5.2). What siblings run is known from news that is a quarter of a second
// old, so seven edges that each saw the same free slots could fill them seven times over. The free slots are dealt
// out instead, one after another over the edges; what an edge took lately, and the others cannot know of yet, counts
// against its part.
import type { Microseconds } from '@thornsail/runtime';

export type Fair = {
  took: (worker: string, cls: string) => void;
  left: (worker: string, cls: string) => void;
  /** How many of this edge's turns at a worker the others may not have heard of. */
  recent: (worker: string) => number;
  /** This edge's part of `free` slots that are dealt out over `edges`, beginning at another edge for each worker. */
  part: (free: number, edges: string[], place: number) => number;
};

export const fair = {
  /** `lag` is how old news of a sibling's turns may be. */
  open: (o: { me: string; now: () => Microseconds; lag: Microseconds }): Fair => {
    const starts = new Map<string, { cls: string; at: Microseconds }[]>();
    return {
      took: (worker, cls) => {
        const all = starts.get(worker) ?? [];
        all.push({ cls, at: o.now() });
        starts.set(worker, all);
      },
      left: (worker, cls) => {
        const all = starts.get(worker) ?? [];
        // Which one it was does not matter much: the oldest is taken off, so that too few are taken, not too many.
        const i = all.findIndex((x) => x.cls === cls);
        if (i >= 0) all.splice(i, 1);
        if (all.length === 0) starts.delete(worker);
      },
      recent: (worker) => (starts.get(worker) ?? []).filter((x) => o.now() - x.at < o.lag).length,
      part: (free, edges, place) => {
        const n = edges.length;
        const rank = (edges.indexOf(o.me) + place) % n;
        return Math.floor(free / n) + (rank < free % n ? 1 : 0);
      },
    };
  },
};
