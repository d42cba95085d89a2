/** Refreshes the state of this node from peers after a freeze of this process (§3.7). */
import type { Address, Microseconds } from '@thornsail/runtime';

/** The maximum number of peers to compare with, in addition to the local agent. */
const maxPeers = 4;
/** The number of peers that must respond. One is not enough, since it may have been frozen too. */
const requiredPeers = 2;

/** The dependencies of a refresh. */
export type RefreshOptions = {
  /** The address of this node. */
  self: Address;
  localAgent: Address | undefined;
  /** Returns the candidate peers in order of preference. */
  peers: () => Address[];
  /** Compares with a peer; resolves to false if the peer did not respond. */
  compare: (peer: Address, timeout: Microseconds) => Promise<boolean>;
  /** Called after a refresh in which enough peers responded. */
  onRefreshed: () => void;
};

/** Returns a function that compares with several peers; true if enough responded. Concurrent calls share one result. */
export const openRefresh = (options: RefreshOptions): ((timeout: Microseconds) => Promise<boolean>) => {
  const { self, localAgent, compare } = options;
  let inFlight: Promise<boolean> | undefined;
  const refreshOnce = async (timeout: Microseconds): Promise<boolean> => {
    const others = options.peers().filter((peer) => peer !== self && peer !== localAgent);
    const peers = [...(localAgent === undefined ? [] : [localAgent]), ...others.slice(0, maxPeers)];
    const responded = await Promise.all(peers.map((peer) => compare(peer, timeout)));
    const required = Math.min(requiredPeers, peers.length);
    const isRefreshed = peers.length > 0 && responded.filter(Boolean).length >= required;
    if (isRefreshed) options.onRefreshed();
    return isRefreshed;
  };
  return (timeout) =>
    (inFlight ??= refreshOnce(timeout).finally(() => {
      inFlight = undefined;
    }));
};
