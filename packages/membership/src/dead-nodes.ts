/** For how long nodes have been known to be dead (§3.2). By the clock of this node: walls may differ. */
import type { AgreedState } from '@thornsail/consensus';
import type { Clock, Microseconds } from '@thornsail/runtime';

/** With more the one that was noted first is forgotten. */
const mostDead = 1024;

/** When each dead node was first seen to be dead. */
export type DeadNodes = {
  /** A newer agreed state has come. */
  observe: (state: AgreedState) => void;
  /** 0 for a node that is not dead. */
  deadFor: (id: string, state: AgreedState | undefined) => Microseconds;
};

/** No dead nodes yet. */
export const openDeadNodes = (clock: Clock): DeadNodes => {
  const deadSince = new Map<string, Microseconds>();
  const noteDead = (id: string): void => {
    if (!deadSince.has(id)) deadSince.set(id, clock.now());
  };
  return {
    observe: (state) => {
      for (const { id, status } of Object.values(state.nodes)) {
        if (status === 'dead') noteDead(id);
        else deadSince.delete(id);
      }
      if (deadSince.size > mostDead) deadSince.delete(deadSince.keys().next().value as string);
    },
    deadFor: (id, state) => {
      // A node that the agreed state no longer lists was dead long before.
      if (state && !state.nodes[id]) noteDead(id);
      const since = deadSince.get(id);
      return since === undefined ? 0 : clock.now() - since;
    },
  };
};
