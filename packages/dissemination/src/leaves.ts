/** The leaves attached to this relay (§3.5). One that has not compared for some time is no longer attached. */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';

/** The leaves of one relay. */
export type Leaves = {
  /** A leaf has just compared with this relay. */
  attach: (leaf: Address) => void;
  /** The leaves of now. */
  addresses: () => Address[];
};

/** No leaves yet; `expiry` is the time after which a silent leaf is no longer attached. */
export const openLeaves = (clock: Clock, expiry: Microseconds): Leaves => {
  const attachedAt = new Map<Address, Microseconds>();
  return {
    attach: (leaf) => void attachedAt.set(leaf, clock.now()),
    addresses: () => {
      const now = clock.now();
      for (const [leaf, at] of attachedAt) if (now - at > expiry) attachedAt.delete(leaf);
      return [...attachedAt.keys()];
    },
  };
};
