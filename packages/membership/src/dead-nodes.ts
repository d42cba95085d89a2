/** Tracks how long nodes have been known to be dead (§3.2), by the clock of this node since wall clocks may differ. */
import type { AgreedState } from '@thornsail/consensus';
import type { Clock, Microseconds } from '@thornsail/runtime';

/** Above this number, the entry that was recorded first is dropped. */
const maxDeadNodes = 1024;

/** Records when each dead node was first observed to be dead. */
export type DeadNodes = {
  /** Updates the records from a newer agreed state. */
  observe: (state: AgreedState) => void;
  /** Returns the time since the node was first observed to be dead; 0 for a node that is not dead. */
  deadFor: (id: string, state: AgreedState | undefined) => Microseconds;
};

/** Creates an empty record of dead nodes. */
export const openDeadNodes = (clock: Clock): DeadNodes => {
  const deadSince = new Map<string, Microseconds>();
  const recordDead = (id: string): void => {
    if (!deadSince.has(id)) deadSince.set(id, clock.now());
  };
  return {
    observe: (state) => {
      for (const { id, status } of Object.values(state.nodes)) {
        if (status === 'dead') recordDead(id);
        else deadSince.delete(id);
      }
      if (deadSince.size > maxDeadNodes) deadSince.delete(deadSince.keys().next().value as string);
    },
    deadFor: (id, state) => {
      // The agreed state lists a limited number of dead nodes, so a node that it no longer lists died long ago.
      if (state && !state.nodes[id]) recordDead(id);
      const since = deadSince.get(id);
      return since === undefined ? 0 : clock.now() - since;
    },
  };
};
