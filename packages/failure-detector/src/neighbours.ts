/** The watchers and the watched nodes of this node on the ring (§3.2). */
import type { Address } from '@thornsail/runtime';
import { ring } from './ring.js';

/** A member as the failure detector sees it. */
export type Peer = {
  id: string;
  address: Address;
  /** Increases each time the node joins again or refutes a suspicion. */
  incarnation: number;
};
/** The neighbours of this node on the ring. */
export type Neighbours = {
  /** The nodes that this node sends heartbeats to. */
  watchers: Peer[];
  /** The nodes from which this node expects heartbeats, in the order of the member list. */
  watched: Peer[];
};

/** Returns a function that computes the neighbours; cached until the member list is another array or the id changes. */
export const openNeighbours = (members: () => Peer[], count: number): ((selfId: string) => Neighbours) => {
  let cached: (Neighbours & { members: Peer[]; selfId: string }) | undefined;
  return (selfId) => {
    const current = members();
    if (cached?.members === current && cached.selfId === selfId) return cached;
    const watchedIds = new Set(ring.watched(current, selfId, count).map(({ id }) => id));
    cached = {
      members: current,
      selfId,
      watchers: ring.watchers(current, selfId, count),
      watched: current.filter(({ id }) => watchedIds.has(id)),
    };
    return cached;
  };
};
