/**
 * Anti-entropy (§3.5): two nodes compare their items and send each other the missing updates. It delivers updates past
 * relays that have failed and are not yet known to be dead.
 */
import { type Address, type Microseconds, type Random } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { ItemStore } from './item-store.js';
import type { Relay, Update } from './types.js';
import * as wire from './wire.js';

/** The dependencies of anti-entropy. */
export type AntiEntropyOptions = {
  rpc: Rpc;
  store: ItemStore;
  isLeaf: boolean;
  /** Called each time a peer has taken part in an exchange. */
  onContact: () => void;
  /** Called when a peer that compares with this node identifies itself as a leaf. */
  onLeaf: (leaf: Address) => void;
  /** Called with the updates that a comparison has returned. */
  onPulled: (updates: Update[], from: Address) => void;
};
/** Compares with a peer; resolves to false if the peer did not respond. `timeout` is per request. Never rejects. */
export type CompareWithPeer = (peer: Address, timeout: Microseconds) => Promise<boolean>;

const registerHandlers = ({ rpc, store, onContact, onLeaf }: AntiEntropyOptions): void => {
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

/** Registers the handlers of comparison requests, and returns the function that compares with a peer. */
export const openAntiEntropy = (options: AntiEntropyOptions): CompareWithPeer => {
  const { rpc, store, isLeaf, onContact, onPulled } = options;
  registerHandlers(options);
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

/** The inputs of the choice of a peer to compare with. */
export type PeerChoice = {
  /** The id of this node. */
  self: string;
  relays: () => Relay[];
  /** Addresses outside the list of relays. */
  fallbacks: () => Address[];
  rand: Random;
};
/** On average, one in this many choices includes addresses outside the relay list, which may be out of date. */
const choicesPerFallback = 8;

/** Returns a random peer to compare with; undefined if no other address is known. */
export const choosePeer = ({ self, relays, fallbacks, rand }: PeerChoice): Address | undefined => {
  const others = relays()
    .filter(({ id }) => id !== self)
    .map(({ address }) => address);
  const withFallbacks = others.length === 0 || rand.int(choicesPerFallback) === 0;
  const peers = withFallbacks ? [...others, ...fallbacks()] : others;
  return peers.length ? peers[rand.int(peers.length)] : undefined;
};
