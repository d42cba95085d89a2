// Rulings on failures (§3.2): a node is dead only when two watchers that are themselves in the roster agree about the
// same incarnation of it.
import type { Clock, Microseconds } from '@thornsail/runtime';
import { order, type NodeEntry, type Ordered } from './order.js';

/** A watcher (`by`) hears nothing from the incarnation `inc` of the node `id`. */
export type Suspicion = { by: string; id: string; inc: number };
/** The suspicions that this leader has heard lately. */
export type Rulings = {
  hear: (list: Suspicion[]) => void;
  /** Those that are to be ruled dead, by what was heard within `suspectFor`. Each is given once. */
  due: (ordered: Ordered) => { entry: NodeEntry; watchers: number }[];
};
type Heard = { inc: number; at: Microseconds };

/** Collects suspicions; each counts for `suspectFor` microseconds. */
export const rulings = {
  open: (options: { clock: Clock; suspectFor: Microseconds }): Rulings => {
    const suspicions = new Map<string, Map<string, Heard>>();
    const expire = (now: Microseconds): void => {
      for (const [id, byWatcher] of suspicions) {
        for (const [watcher, heard] of byWatcher) if (now - heard.at > options.suspectFor) byWatcher.delete(watcher);
        if (byWatcher.size === 0) suspicions.delete(id);
      }
    };
    const isAlive = (ordered: Ordered, id: string): boolean =>
      ordered.roster[id] !== undefined && ordered.roster[id].standing !== 'dead';
    return {
      hear: (list) => {
        for (const suspicion of list) {
          const byWatcher = suspicions.get(suspicion.id) ?? new Map<string, Heard>();
          byWatcher.set(suspicion.by, { inc: suspicion.inc, at: options.clock.now() });
          suspicions.set(suspicion.id, byWatcher);
        }
      },
      due: (ordered) => {
        expire(options.clock.now());
        const out: { entry: NodeEntry; watchers: number }[] = [];
        for (const [id, byWatcher] of suspicions) {
          const entry = ordered.roster[id];
          if (!entry || entry.standing === 'dead') {
            suspicions.delete(id);
            continue;
          }
          const agree = [...byWatcher].filter(
            ([watcher, heard]) => heard.inc === entry.inc && isAlive(ordered, watcher),
          );
          if (agree.length < Math.min(2, order.live(ordered).length - 1)) continue;
          suspicions.delete(id);
          out.push({ entry, watchers: agree.length });
        }
        return out;
      },
    };
  },
};
