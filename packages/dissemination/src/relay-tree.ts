/** The tree along which relays forward updates (§3.5). All nodes with the same relay list compute the same tree. */
import { ring } from '@thornsail/failure-detector';
import type { Address } from '@thornsail/runtime';
import type { Relay } from './types.js';

/** The relay tree, a complete tree in ring order: the children of index i start at index `arity` * i + 1. */
export const relayTree = {
  /** Returns the parent of a relay, if any, and its children; an empty list if `id` is not a relay. */
  neighbours: (relays: Relay[], id: string, arity: number): Relay[] => {
    const ordered = ring.sorted(relays);
    const index = ordered.findIndex((relay) => relay.id === id);
    if (index < 0) return [];
    const parent = index > 0 ? [ordered[Math.floor((index - 1) / arity)]!] : [];
    const firstChild = arity * index + 1;
    return [...parent, ...ordered.slice(firstChild, firstChild + arity)];
  },
};

/** Returns a function for the addresses of a relay's neighbours; cached until the relay list is another array. */
export const openNeighbourAddresses = (relays: () => Relay[], id: string, arity: number): (() => Address[]) => {
  let cached: { relays: Relay[]; addresses: Address[] } | undefined;
  return () => {
    const current = relays();
    if (cached?.relays !== current) {
      const addresses = relayTree.neighbours(current, id, arity).map(({ address }) => address);
      cached = { relays: current, addresses };
    }
    return cached.addresses;
  };
};
