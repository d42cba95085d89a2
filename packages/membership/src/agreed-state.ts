/** The newest agreed state that this node has, and what follows from it (§3.2). */
import { agreedState, snapshotCodec, type NodeEntry, type AgreedState, type Snapshot } from '@thornsail/consensus';
import type { EncodedSnapshot } from '@thornsail/consensus';
import type { Peer } from '@thornsail/failure-detector';
import type { Address } from '@thornsail/runtime';

/** The name under which the agreed state is disseminated. */
export const stateItemName = 'order';

/** Gives the same object for the same encoded one: callers compare by identity. */
export const decodeSnapshot = (encoded: unknown): Snapshot<AgreedState> =>
  snapshotCodec.decode(encoded as EncodedSnapshot);

/** Views of the newest agreed state. Lists are other arrays only when the state is another one. */
export type AgreedStateView = {
  snapshot: () => Snapshot<AgreedState> | undefined;
  state: () => AgreedState | undefined;
  /** The coordinators' addresses; undefined as long as there is no state. */
  coordinators: () => Address[] | undefined;
  /** The entries of the nodes that are not dead. */
  live: () => NodeEntry[];
  /** The same as peers. */
  peers: () => Peer[];
  /** Those of them that pass updates on: all but the gateways. */
  relays: () => Peer[];
};
type Views = { of: AgreedState | undefined; live: NodeEntry[]; peers: Peer[]; relays: Peer[] };

const viewsOf = (state: AgreedState | undefined): Views => {
  const live = state ? agreedState.liveNodes(state) : [];
  const peers = live.map(({ id, place, incarnation }) => ({ id, address: place, incarnation }));
  const relays = peers.filter((_, i) => live[i]!.role !== 'gateway');
  return { of: state, live, peers, relays };
};

/** `encoded` gives the encoded form of the newest state, as it was disseminated. */
export const openAgreedState = (encoded: () => unknown): AgreedStateView => {
  const snapshot = (): Snapshot<AgreedState> | undefined => {
    const value = encoded();
    return value === undefined ? undefined : decodeSnapshot(value);
  };
  const state = (): AgreedState | undefined => snapshot()?.state;
  let known = viewsOf(undefined);
  const views = (): Views => {
    const current = state();
    if (current !== known.of) known = viewsOf(current);
    return known;
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
