/** The ring that nodes are ordered on, by a hash of their ids. All nodes with the same members get the same ring. */
import { hash } from '@thornsail/runtime';

type Identified = { id: string };

/** Up to `count` members after `id`, in order and around the end; none if `id` is not a member. */
const nextAfter = <Node extends Identified>(ordered: Node[], id: string, count: number): Node[] => {
  const index = ordered.findIndex((node) => node.id === id);
  if (index < 0) return [];
  const length = Math.min(count, ordered.length - 1);
  return Array.from({ length }, (_, i) => ordered[(index + 1 + i) % ordered.length]!);
};

/** Questions about the ring that a list of nodes forms. */
export const ring = {
  /** The nodes in the order of the ring. Equal hashes are ordered by id. */
  sorted: <Node extends Identified>(nodes: Node[]): Node[] =>
    [...nodes].sort((a, b) => hash.of(a.id) - hash.of(b.id) || (a.id < b.id ? -1 : 1)),
  /** Who watches a node: the next few after it. */
  watchers: <Node extends Identified>(nodes: Node[], id: string, count: number): Node[] =>
    nextAfter(ring.sorted(nodes), id, count),
  /** Whom a node watches: the few before it. */
  watched: <Node extends Identified>(nodes: Node[], id: string, count: number): Node[] =>
    nextAfter(ring.sorted(nodes).reverse(), id, count),
};
