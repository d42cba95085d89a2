/**
 * Confirmation of failures (§3.2). A node is declared dead only if two watchers that are themselves alive suspect the
 * same incarnation of it; in a smaller fleet all other live nodes have to.
 */
import type { Clock, Microseconds } from '@thornsail/runtime';
import { agreedState, type NodeEntry, type AgreedState } from './agreed-state.js';

/** A report that the node `watcher` gets no response from this incarnation of the node `id`. */
export type Suspicion = { watcher: string; id: string; incarnation: number };
/** The recent suspicions that this leader has received. */
export type SuspicionTracker = {
  record: (reported: Suspicion[]) => void;
  /**
   * Returns the nodes to declare dead, with the number of watchers that suspect them, and removes their suspicions:
   * each is returned once.
   */
  takeConfirmed: (state: AgreedState) => { entry: NodeEntry; watchers: number }[];
};
type Report = { incarnation: number; receivedAt: Microseconds };

/** Collects suspicions; each expires `suspectFor` microseconds after it was received. */
export const suspicionTracker = {
  open: (options: { clock: Clock; suspectFor: Microseconds }): SuspicionTracker => {
    const suspicions = new Map<string, Map<string, Report>>();
    const expire = (now: Microseconds): void => {
      for (const [id, byWatcher] of suspicions) {
        for (const [watcher, report] of byWatcher)
          if (now - report.receivedAt > options.suspectFor) byWatcher.delete(watcher);
        if (byWatcher.size === 0) suspicions.delete(id);
      }
    };
    const isAlive = (state: AgreedState, id: string): boolean =>
      state.nodes[id] !== undefined && state.nodes[id].status !== 'dead';
    return {
      record: (reported) => {
        for (const suspicion of reported) {
          const byWatcher = suspicions.get(suspicion.id) ?? new Map<string, Report>();
          byWatcher.set(suspicion.watcher, { incarnation: suspicion.incarnation, receivedAt: options.clock.now() });
          suspicions.set(suspicion.id, byWatcher);
        }
      },
      takeConfirmed: (state) => {
        expire(options.clock.now());
        const confirmed: { entry: NodeEntry; watchers: number }[] = [];
        for (const [id, byWatcher] of suspicions) {
          const entry = state.nodes[id];
          if (!entry || entry.status === 'dead') {
            suspicions.delete(id);
            continue;
          }
          const agreeing = [...byWatcher].filter(
            ([watcher, report]) => report.incarnation === entry.incarnation && isAlive(state, watcher),
          );
          if (agreeing.length < Math.min(2, agreedState.liveNodes(state).length - 1)) continue;
          suspicions.delete(id);
          confirmed.push({ entry, watchers: agreeing.length });
        }
        return confirmed;
      },
    };
  },
};
