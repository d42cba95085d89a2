/** Refreshing what this node knows from peers that have not slept (§3.7). */
import type { Address, Microseconds } from '@thornsail/runtime';

/** So many peers are asked, beside the local agent. */
const mostPeers = 4;
/** One peer that answers is not enough, as it may have slept too. */
const enoughPeers = 2;

/** What a refresh works with. */
export type RefreshOptions = {
  self: Address;
  localAgent: Address | undefined;
  /** Whom to ask, in the order of preference. */
  peers: () => Address[];
  /** Compares with a peer; false if it did not take part. */
  compare: (peer: Address, timeout: Microseconds) => Promise<boolean>;
  /** Enough peers took part. */
  onRefreshed: () => void;
};

/** Compares with several peers; true if enough of them took part. Calls while one is under way share its outcome. */
export const openRefresh = (options: RefreshOptions): ((timeout: Microseconds) => Promise<boolean>) => {
  const { self, localAgent, compare } = options;
  let inFlight: Promise<boolean> | undefined;
  const refreshOnce = async (timeout: Microseconds): Promise<boolean> => {
    const others = options.peers().filter((peer) => peer !== self && peer !== localAgent);
    const asked = [...(localAgent === undefined ? [] : [localAgent]), ...others.slice(0, mostPeers)];
    const took = await Promise.all(asked.map((peer) => compare(peer, timeout)));
    const enough = Math.min(enoughPeers, asked.length);
    const isRefreshed = asked.length > 0 && took.filter(Boolean).length >= enough;
    if (isRefreshed) options.onRefreshed();
    return isRefreshed;
  };
  return (timeout) =>
    (inFlight ??= refreshOnce(timeout).finally(() => {
      inFlight = undefined;
    }));
};
