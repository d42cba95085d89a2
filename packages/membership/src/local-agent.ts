/** The agent on the machine of a gateway: the relay that the gateway attaches to while it is of use (§3.5). */
import { duration, type Address, type Clock, type Microseconds } from '@thornsail/runtime';
import type { AgreedStateView } from './agreed-state.js';

/** With nothing from any peer for this long, the agent is taken for silent. */
const silentAfter = duration.ms(800);
/** For how long a silent agent is avoided. */
const avoidedFor = duration.s(1);

/** The agent beside this node, if it has one. */
export type LocalAgent = {
  /** The agent's address while it is of use: not silent, and not dead by the agreed state. */
  usable: () => Address | undefined;
  /** Called regularly with the time of the last contact with any peer. */
  check: (lastContact: Microseconds) => void;
};

/** The agent at `address`; undefined if this node has none. */
export const openLocalAgent = (
  address: Address | undefined,
  clock: Clock,
  agreed: Pick<AgreedStateView, 'state' | 'live'>,
): LocalAgent => {
  let avoidedUntil = 0;
  const isDead = (): boolean => agreed.state() !== undefined && !agreed.live().some(({ place }) => place === address);
  return {
    usable: () => (address === undefined || avoidedUntil > clock.now() || isDead() ? undefined : address),
    check: (lastContact) => {
      const now = clock.now();
      if (address !== undefined && now - lastContact > silentAfter) avoidedUntil = now + avoidedFor;
    },
  };
};
