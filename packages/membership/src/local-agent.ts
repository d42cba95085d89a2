/** The agent on the machine of a gateway: the relay that the gateway attaches to while it is available (§3.5). */
import { duration, type Address, type Clock, type Microseconds } from '@thornsail/runtime';
import type { AgreedStateView } from './agreed-state.js';

/** The agent is considered unresponsive after this time without contact with any peer. */
const contactTimeout = duration.ms(800);
/** An unresponsive agent is not used for this time. */
const avoidanceTime = duration.s(1);

/** The availability of the local agent. */
export type LocalAgent = {
  /** The address of the agent; undefined if there is none, or while it is unresponsive or dead by the agreed state. */
  usable: () => Address | undefined;
  /** Must be called periodically with the time of the last contact with any peer. */
  check: (lastContact: Microseconds) => void;
};

/** Tracks the agent at `address`, which is undefined if this node has none. */
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
      if (address !== undefined && now - lastContact > contactTimeout) avoidedUntil = now + avoidanceTime;
    },
  };
};
