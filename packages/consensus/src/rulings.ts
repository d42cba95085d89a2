// Rulings on failures (§3.2): a node is dead only when two watchers that are themselves in the roster agree about the
// same incarnation of it.
import type { Clock, Us } from '@thornsail/runtime';
import { order, type NodeEntry, type Ordered } from './order.js';

export type Suspicion = { by: string; id: string; inc: number };
export type Rulings = {
  hear: (list: Suspicion[]) => void;
  /** Those that are to be ruled dead, by what was heard within `suspectFor`. Each is given once. */
  due: (s: Ordered) => { entry: NodeEntry; watchers: number }[];
};
type Heard = { inc: number; at: Us };

export const rulings = {
  open: (o: { clock: Clock; suspectFor: Us }): Rulings => {
    const suspicions = new Map<string, Map<string, Heard>>();
    const expire = (now: Us): void => {
      for (const [id, byWatcher] of suspicions) {
        for (const [watcher, heard] of byWatcher) if (now - heard.at > o.suspectFor) byWatcher.delete(watcher);
        if (byWatcher.size === 0) suspicions.delete(id);
      }
    };
    const isAlive = (s: Ordered, id: string): boolean => s.roster[id] !== undefined && s.roster[id].standing !== 'dead';
    return {
      hear: (list) => {
        for (const suspicion of list) {
          const byWatcher = suspicions.get(suspicion.id) ?? new Map<string, Heard>();
          byWatcher.set(suspicion.by, { inc: suspicion.inc, at: o.clock.now() });
          suspicions.set(suspicion.id, byWatcher);
        }
      },
      due: (s) => {
        expire(o.clock.now());
        const out: { entry: NodeEntry; watchers: number }[] = [];
        for (const [id, byWatcher] of suspicions) {
          const entry = s.roster[id];
          if (!entry || entry.standing === 'dead') {
            suspicions.delete(id);
            continue;
          }
          const agree = [...byWatcher].filter(([watcher, heard]) => heard.inc === entry.inc && isAlive(s, watcher));
          if (agree.length < Math.min(2, order.live(s).length - 1)) continue;
          suspicions.delete(id);
          out.push({ entry, watchers: agree.length });
        }
        return out;
      },
    };
  },
};
