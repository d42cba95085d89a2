/** The neighbours of this node on the ring (§3.2). */
import type { Address } from '@thornsail/runtime';
import { ring } from './ring.js';

/** A member as the failure detector sees it. */
export type Peer = {
  id: string;
  address: Address;
  /** Rises each time that the node joins again, or refutes a suspicion. */
  incarnation: number;
};
/** Whom this node sends heartbeats to, and whose heartbeats it expects. */
export type Neighbours = {
  watchers: Peer[];
  /** In the order of the list of members. */
  watched: Peer[];
};

/** Computes the neighbours anew only when the list of members is another object, or this node has another id. */
export const openNeighbours = (members: () => Peer[], count: number): ((selfId: string) => Neighbours) => {
  let known: (Neighbours & { members: Peer[]; selfId: string }) | undefined;
  return (selfId) => {
    const current = members();
    if (known?.members === current && known.selfId === selfId) return known;
    const watchedIds = new Set(ring.watched(current, selfId, count).map(({ id }) => id));
    known = {
      members: current,
      selfId,
      watchers: ring.watchers(current, selfId, count),
      watched: current.filter(({ id }) => watchedIds.has(id)),
    };
    return known;
  };
};
