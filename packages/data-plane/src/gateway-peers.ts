/** The live gateways and the paths of load between them (§3.5), computed once for each version of the agreed state. */
import type { GatewayMembership } from './gateway-membership.js';
import { loadPaths, type EdgePeer, type LoadPaths } from './load-paths.js';

/** Live gateways, this one included, and whom this one sends its load to. */
export type GatewayPeers = { live: EdgePeer[]; paths: LoadPaths };

/** Reads the gateways from the agreed state. */
export const gatewayPeers = {
  /** Gives the peers by the state at the time of each call. */
  open: (membership: GatewayMembership, self: string): (() => GatewayPeers) => {
    let computedFrom: ReturnType<GatewayMembership['state']>;
    let peers: GatewayPeers = { live: [], paths: { row: [], otherRows: [] } };
    return () => {
      const state = membership.state();
      if (state === computedFrom) return peers;
      const live = Object.values(state?.nodes ?? {}).filter(
        (node) => node.role === 'gateway' && node.status !== 'dead',
      );
      computedFrom = state;
      peers = { live, paths: loadPaths.of(live, self) };
      return peers;
    };
  },
};
