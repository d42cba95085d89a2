/** The addresses at which peers may be found (§3.2): from settings, hello messages and the agreed state. */
import type { Address } from '@thornsail/runtime';
import type { KnownNode } from './wire.js';

/** Further addresses are not stored. The limit bounds memory, since addresses come from other nodes. */
const maxKnownNodes = 256;

/** The known nodes, excluding this node. */
export type KnownNodes = {
  /** Adds nodes. An undefined role does not replace a known one. */
  add: (nodes: KnownNode[]) => void;
  entries: () => KnownNode[];
  addresses: () => Address[];
  /** The addresses whose role is known to be coordinator. */
  coordinators: () => Address[];
};

/** Creates an empty set of known nodes; `self` is the address of this node. */
export const openKnownNodes = (self: Address): KnownNodes => {
  const roles = new Map<Address, KnownNode['role']>();
  return {
    add: (nodes) => {
      for (const { address, role } of nodes) {
        if (address === self || (roles.size >= maxKnownNodes && !roles.has(address))) continue;
        roles.set(address, role ?? roles.get(address));
      }
    },
    entries: () => [...roles].map(([address, role]) => ({ address, role })),
    addresses: () => [...roles.keys()],
    coordinators: () => [...roles].filter(([, role]) => role === 'coordinator').map(([address]) => address),
  };
};
