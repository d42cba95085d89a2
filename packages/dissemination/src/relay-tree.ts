/** The tree that updates go down (§3.5). All nodes with the same list of relays compute the same tree. */
import { ring } from '@thornsail/failure-detector';
import type { Address } from '@thornsail/runtime';
import type { Relay } from './types.js';

/** The tree of relays: the children of the relay at index i of the ring are at `arity` * i + 1 and the next. */
export const relayTree = {
  /** The parent of a relay, if it has one, and its children; none if `id` is not a relay. */
  neighbours: (relays: Relay[], id: string, arity: number): Relay[] => {
    const ordered = ring.sorted(relays);
    const index = ordered.findIndex((relay) => relay.id === id);
    if (index < 0) return [];
    const parent = index > 0 ? [ordered[Math.floor((index - 1) / arity)]!] : [];
    const firstChild = arity * index + 1;
    return [...parent, ...ordered.slice(firstChild, firstChild + arity)];
  },
};

/** The addresses of a relay's neighbours; computed anew only when the list of relays is another object. */
export const openNeighbourAddresses = (relays: () => Relay[], id: string, arity: number): (() => Address[]) => {
  let known: { relays: Relay[]; addresses: Address[] } | undefined;
  return () => {
    const current = relays();
    if (known?.relays !== current) {
      const addresses = relayTree.neighbours(current, id, arity).map(({ address }) => address);
      known = { relays: current, addresses };
    }
    return known.addresses;
  };
};
