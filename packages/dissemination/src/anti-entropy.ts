/**
 * Anti-entropy (§3.5): two nodes compare what they have, and send each other what is missing. It makes up for relays
 * that are dead and not yet known to be.
 */
import { type Address, type Microseconds, type Random } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { ItemStore } from './item-store.js';
import type { Relay, Update } from './types.js';
import * as wire from './wire.js';

/** What comparing works with. */
export type AntiEntropyOptions = {
  rpc: Rpc;
  store: ItemStore;
  isLeaf: boolean;
  /** A peer took part in an exchange just now. */
  onContact: () => void;
  /** A peer that compared says that it is a leaf of this node. */
  onLeaf: (leaf: Address) => void;
  /** Updates came by a comparison. */
  onPulled: (updates: Update[], from: Address) => void;
};
/** Compares with a peer; false if it did not take part. Never rejects. */
export type Compare = (peer: Address, timeout: Microseconds) => Promise<boolean>;

const answerPeers = ({ rpc, store, onContact, onLeaf }: AntiEntropyOptions): void => {
  rpc.on(wire.messageNames.checksum, wire.isChecksumRequest, (body, from) => {
    const { checksum, isLeaf } = wire.decodeChecksumRequest(body);
    if (isLeaf) onLeaf(from);
    onContact();
    return checksum === store.checksum();
  });
  rpc.on(wire.messageNames.digest, wire.isDigestRequest, (body, from) => {
    const { digest, isLeaf } = wire.decodeDigestRequest(body);
    if (isLeaf) onLeaf(from);
    onContact();
    return wire.encodeDigestReply({ updates: store.newerThan(digest), digest: store.digest() });
  });
};

/** Answers the comparisons of peers from now on, and gives the function that compares with one. */
export const openAntiEntropy = (options: AntiEntropyOptions): Compare => {
  const { rpc, store, isLeaf, onContact, onPulled } = options;
  answerPeers(options);
  const exchangeDigests = async (peer: Address, timeout: Microseconds): Promise<void> => {
    const body = wire.encodeDigestRequest({ digest: store.digest(), isLeaf });
    const reply = await rpc.request<unknown>(peer, wire.messageNames.digest, body, timeout);
    onContact();
    const { updates, digest } = wire.decodeDigestReply(reply);
    onPulled(updates, peer);
    const missing = store.newerThan(digest);
    if (missing.length) rpc.notify(peer, wire.messageNames.updates, wire.encodeUpdates(missing));
  };
  return async (peer, timeout) => {
    try {
      const body = wire.encodeChecksumRequest({ checksum: store.checksum(), isLeaf });
      const isSame = await rpc.request<boolean>(peer, wire.messageNames.checksum, body, timeout);
      if (isSame) onContact();
      else await exchangeDigests(peer, timeout);
      return true;
    } catch {
      return false;
    }
  };
};

/** With whom to compare next. */
export type PeerChoice = {
  self: string;
  relays: () => Relay[];
  /** Addresses outside the list of relays. */
  fallbacks: () => Address[];
  rand: Random;
};
/** One comparison in so many may be with an address outside the list of relays: the list may be out of date. */
const fallbackOneIn = 8;

/** A random peer to compare with; undefined if none is known. */
export const choosePeer = ({ self, relays, fallbacks, rand }: PeerChoice): Address | undefined => {
  const others = relays()
    .filter(({ id }) => id !== self)
    .map(({ address }) => address);
  const withFallbacks = others.length === 0 || rand.int(fallbackOneIn) === 0;
  const peers = withFallbacks ? [...others, ...fallbacks()] : others;
  return peers.length ? peers[rand.int(peers.length)] : undefined;
};
