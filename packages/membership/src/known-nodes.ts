/** The addresses at which peers may be found (§3.2): from the settings, from hellos, and from the agreed state. */
import type { Address } from '@thornsail/runtime';
import type { KnownNode } from './wire.js';

/** More are not stored: addresses come from other nodes. */
const mostKnown = 256;

/** The known nodes, without this one. */
export type KnownNodes = {
  /** A role that is not known leaves the one known before. */
  add: (nodes: KnownNode[]) => void;
  all: () => KnownNode[];
  addresses: () => Address[];
  /** The addresses that are known to be coordinators'. */
  coordinators: () => Address[];
};

/** No known nodes yet. */
export const openKnownNodes = (self: Address): KnownNodes => {
  const roles = new Map<Address, KnownNode['role']>();
  return {
    add: (nodes) => {
      for (const { address, role } of nodes) {
        if (address === self || (roles.size >= mostKnown && !roles.has(address))) continue;
        roles.set(address, role ?? roles.get(address));
      }
    },
    all: () => [...roles].map(([address, role]) => ({ address, role })),
    addresses: () => [...roles.keys()],
    coordinators: () => [...roles].filter(([, role]) => role === 'coordinator').map(([address]) => address),
  };
};
