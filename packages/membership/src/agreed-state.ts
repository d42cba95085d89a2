/** The newest agreed state that this node has received, and lists derived from it (§3.2). */
import { agreedState, snapshotCodec, type NodeEntry, type AgreedState, type Snapshot } from '@thornsail/consensus';
import type { EncodedSnapshot } from '@thornsail/consensus';
import type { Peer } from '@thornsail/failure-detector';
import type { Address } from '@thornsail/runtime';

/** The item name of the agreed state in dissemination. */
export const stateItemName = 'order';

/** Decodes a snapshot. The same encoded object gives the same result object, since callers compare by identity. */
export const decodeSnapshot = (encoded: unknown): Snapshot<AgreedState> =>
  snapshotCodec.decode(encoded as EncodedSnapshot);

/** Views of the newest agreed state. The lists are the same arrays until the state changes. */
export type AgreedStateView = {
  snapshot: () => Snapshot<AgreedState> | undefined;
  state: () => AgreedState | undefined;
  /** The addresses of the coordinators; undefined until there is a state. */
  coordinators: () => Address[] | undefined;
  /** The entries of the nodes that are not dead. */
  live: () => NodeEntry[];
  /** The live nodes as peers of the failure detector. */
  peers: () => Peer[];
  /** The live nodes that forward updates: all but the gateways. */
  relays: () => Peer[];
};
type Views = { source: AgreedState | undefined; live: NodeEntry[]; peers: Peer[]; relays: Peer[] };

const viewsOf = (state: AgreedState | undefined): Views => {
  const live = state ? agreedState.liveNodes(state) : [];
  const peers = live.map(({ id, place, incarnation }) => ({ id, address: place, incarnation }));
  const relays = peers.filter((_, i) => live[i]!.role !== 'gateway');
  return { source: state, live, peers, relays };
};

/** Creates the views; `encodedSnapshot` returns the newest snapshot as disseminated, or undefined if there is none. */
export const openAgreedState = (encodedSnapshot: () => unknown): AgreedStateView => {
  const snapshot = (): Snapshot<AgreedState> | undefined => {
    const value = encodedSnapshot();
    return value === undefined ? undefined : decodeSnapshot(value);
  };
  const state = (): AgreedState | undefined => snapshot()?.state;
  let cachedViews = viewsOf(undefined);
  const views = (): Views => {
    const current = state();
    if (current !== cachedViews.source) cachedViews = viewsOf(current);
    return cachedViews;
  };
  return {
    snapshot,
    state,
    coordinators: () => snapshot()?.members.map(({ at }) => at),
    live: () => views().live,
    peers: () => views().peers,
    relays: () => views().relays,
  };
};
