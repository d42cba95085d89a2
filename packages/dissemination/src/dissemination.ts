/**
 * Dissemination (§3.5): updates are forwarded along a tree of relays, which each node computes from the same list, and
 * anti-entropy with random peers recovers updates that were lost in the tree.
 */
import { time, duration, type Address } from '@thornsail/runtime';
import { choosePeer, openAntiEntropy, type CompareWithPeer } from './anti-entropy.js';
import { openForwarding, type Forward, type ForwardingOptions } from './forwarding.js';
import { openItemStore, type ItemStore } from './item-store.js';
import { openLeaves, type Leaves } from './leaves.js';
import { openNeighbourAddresses } from './relay-tree.js';
import type { Dissemination, DisseminationOptions, DisseminationTiming, Update } from './types.js';
import { decodeUpdates, encodeUpdates, isUpdates, messageNames } from './wire.js';

const defaultTiming: DisseminationTiming = {
  arity: 3,
  digestInterval: duration.ms(700),
  attachInterval: duration.ms(400),
  exchangeTimeout: duration.ms(250),
  batchDelay: duration.ms(200),
};
/** A leaf without a comparison for this many attach intervals is detached. */
const leafExpiryIntervals = 4;

/** Returns where a node forwards updates: a relay to its tree neighbours and leaves, a leaf to its parent relay. */
const openNeighbours = (
  { self, isLeaf, relays, parent }: DisseminationOptions,
  arity: number,
  leaves: () => Address[],
): (() => Address[]) => {
  const treeNeighbours = openNeighbourAddresses(relays, self, arity);
  const parentOfLeaf = (): Address[] => [parent()].filter((address) => address !== undefined);
  return () => {
    const attached = leaves();
    return [...new Set([...(isLeaf ? parentOfLeaf() : treeNeighbours()), ...attached])];
  };
};

const openStore = ({ runtime, admits, isValid, isVolatile }: DisseminationOptions): ItemStore =>
  openItemStore(runtime.clock, {
    admits,
    isValid: isValid ?? (() => true),
    isVolatile: isVolatile ?? (() => false),
  });

const createForwarding = (
  options: DisseminationOptions,
  { arity, batchDelay }: DisseminationTiming,
  leaves: Leaves,
  send: ForwardingOptions['send'],
): Forward =>
  openForwarding({
    clock: options.runtime.clock,
    neighbours: openNeighbours(options, arity, leaves.addresses),
    relayCount: () => options.relays().length,
    isBatched: options.isBatched ?? (() => false),
    batchDelay,
    send,
  });

/** Compares periodically: a relay with a random peer, a leaf with its parent relay or, if that fails, a random peer. */
const startComparisons = (
  options: DisseminationOptions,
  { digestInterval, attachInterval, exchangeTimeout }: DisseminationTiming,
  compare: CompareWithPeer,
): (() => void) => {
  const { rpc, isLeaf } = options;
  const { clock, rand } = options.runtime;
  return time.every(clock, isLeaf ? attachInterval : digestInterval, async () => {
    const parent = isLeaf ? options.parent() : undefined;
    if (parent && (await compare(parent, exchangeTimeout))) return;
    const peer = choosePeer({ ...options, rand });
    if (peer && peer !== rpc.address) await compare(peer, exchangeTimeout);
  });
};

/** Factory of dissemination nodes. */
export const dissemination = {
  /** Starts to exchange updates with other nodes. */
  open: (options: DisseminationOptions): Dissemination => {
    const { rpc, isLeaf } = options;
    const { clock } = options.runtime;
    const timing = { ...defaultTiming, ...options.timing };
    const store = openStore(options);
    const leaves = openLeaves(clock, timing.attachInterval * leafExpiryIntervals);
    const counts = { pushed: 0, pulled: 0, relayed: 0 };
    const listeners: ((update: Update) => void)[] = [];
    let lastContact = clock.now();
    const onContact = (): void => void (lastContact = clock.now());

    const send = (peers: Address[], updates: Update[]): void => {
      counts.relayed += peers.length;
      rpc.notifyAll(peers, messageNames.updates, encodeUpdates(updates));
    };
    const forward = createForwarding(options, timing, leaves, send);
    const applyUpdates = (updates: Update[], from: Address | undefined): void => {
      const newUpdates = updates.filter(store.accept);
      if (newUpdates.length === 0) return;
      forward(newUpdates, from);
      for (const update of newUpdates) for (const listener of listeners) listener(update);
    };
    rpc.on(messageNames.updates, isUpdates, (body, from) => {
      const updates = decodeUpdates(body);
      onContact();
      counts.pushed += updates.length;
      applyUpdates(updates, from);
    });
    const onPulled = (updates: Update[], from: Address): void => {
      counts.pulled += updates.length;
      applyUpdates(updates, from);
    };
    const compare = openAntiEntropy({ rpc, store, isLeaf, onContact, onLeaf: leaves.attach, onPulled });
    const close = startComparisons(options, timing, compare);

    return {
      put: (name, version, value) => applyUpdates([{ name, version, value }], undefined),
      get: store.get,
      withPrefix: store.withPrefix,
      retain: store.retain,
      onUpdate: (listener) => void listeners.push(listener),
      leaves: leaves.addresses,
      lastContact: () => lastContact,
      refresh: (peer, timeout = timing.exchangeTimeout) => compare(peer, timeout),
      counts: () => ({ ...counts }),
      close,
    };
  },
};
