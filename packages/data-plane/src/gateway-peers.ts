/** The live gateways and the paths of load reports between them (§3.5), cached for each version of the agreed state. */
import type { GatewayMembership } from './gateway-membership.js';
import { loadPaths, type GatewayPeer, type LoadPaths } from './load-paths.js';

/** The live gateways, including this one, and the addresses that this one sends load reports to. */
export type GatewayPeers = { live: GatewayPeer[]; paths: LoadPaths };

/** Reads the gateways from the agreed state. */
export const gatewayPeers = {
  /** Returns a function that gives the peers of the current state. */
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
      peers = { live, paths: loadPaths.compute(live, self) };
      return peers;
    };
  },
};
