/** The ring on which nodes are ordered by a hash of their ids. The same members give the same ring on all nodes. */
import { hash } from '@thornsail/runtime';

type Identified = { id: string };

/** Returns up to `count` nodes that follow `id` in the list, wrapping around at the end; none if `id` is not listed. */
const successors = <Node extends Identified>(ordered: Node[], id: string, count: number): Node[] => {
  const index = ordered.findIndex((node) => node.id === id);
  if (index < 0) return [];
  const length = Math.min(count, ordered.length - 1);
  return Array.from({ length }, (_, i) => ordered[(index + 1 + i) % ordered.length]!);
};

/** Functions on the ring that a list of nodes forms. */
export const ring = {
  /** Returns the nodes in ring order. Nodes with equal hashes are ordered by id. */
  sorted: <Node extends Identified>(nodes: Node[]): Node[] =>
    [...nodes].sort((a, b) => hash.of(a.id) - hash.of(b.id) || (a.id < b.id ? -1 : 1)),
  /** Returns the nodes that watch a node: the next `count` nodes after it. */
  watchers: <Node extends Identified>(nodes: Node[], id: string, count: number): Node[] =>
    successors(ring.sorted(nodes), id, count),
  /** Returns the nodes that a node watches: the `count` nodes before it. */
  watched: <Node extends Identified>(nodes: Node[], id: string, count: number): Node[] =>
    successors(ring.sorted(nodes).reverse(), id, count),
};
