/** Tracks the leaves attached to this relay (§3.5). A leaf that stops comparing with the relay is detached. */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';

/** The leaves of one relay. */
export type Leaves = {
  /** Attaches a leaf that has just compared with this relay, or extends its attachment. */
  attach: (leaf: Address) => void;
  /** Returns the attached leaves. */
  addresses: () => Address[];
};

/** Creates an empty set of leaves; `expiry` is the time without a comparison after which a leaf is detached. */
export const openLeaves = (clock: Clock, expiry: Microseconds): Leaves => {
  const attachedAt = new Map<Address, Microseconds>();
  return {
    attach: (leaf) => void attachedAt.set(leaf, clock.now()),
    addresses: () => {
      const now = clock.now();
      for (const [leaf, attachTime] of attachedAt) if (now - attachTime > expiry) attachedAt.delete(leaf);
      return [...attachedAt.keys()];
    },
  };
};
