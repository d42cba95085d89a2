/**
 * Rulings on failures (§3.2): a node is dead only when two watchers that are themselves alive agree about the same
 * incarnation of it.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { agreedState, type NodeEntry, type AgreedState } from './agreed-state.js';

/** A watcher hears nothing from this incarnation of the node `id`. */
export type Suspicion = { watcher: string; id: string; incarnation: number };
/** The suspicions that this leader has heard lately. */
export type Rulings = {
  hear: (list: Suspicion[]) => void;
  /** Those that are to be ruled dead, by what was heard within `suspectFor`. Each is given once. */
  due: (state: AgreedState) => { entry: NodeEntry; watchers: number }[];
};
type Heard = { incarnation: number; at: Microseconds };

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
    const isAlive = (state: AgreedState, id: string): boolean =>
      state.nodes[id] !== undefined && state.nodes[id].status !== 'dead';
    return {
      hear: (list) => {
        for (const suspicion of list) {
          const byWatcher = suspicions.get(suspicion.id) ?? new Map<string, Heard>();
          byWatcher.set(suspicion.watcher, { incarnation: suspicion.incarnation, at: options.clock.now() });
          suspicions.set(suspicion.id, byWatcher);
        }
      },
      due: (state) => {
        expire(options.clock.now());
        const out: { entry: NodeEntry; watchers: number }[] = [];
        for (const [id, byWatcher] of suspicions) {
          const entry = state.nodes[id];
          if (!entry || entry.status === 'dead') {
            suspicions.delete(id);
            continue;
          }
          const agree = [...byWatcher].filter(
            ([watcher, heard]) => heard.incarnation === entry.incarnation && isAlive(state, watcher),
          );
          if (agree.length < Math.min(2, agreedState.liveNodes(state).length - 1)) continue;
          suspicions.delete(id);
          out.push({ entry, watchers: agree.length });
        }
        return out;
      },
    };
  },
};
