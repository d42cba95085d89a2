/**
 * Dissemination (§3.5): updates go down a tree of relays that all nodes compute alike, and anti-entropy with random
 * peers makes up for what the tree loses.
 */
import { time, duration, type Address } from '@thornsail/runtime';
import { choosePeer, openAntiEntropy, type Compare } from './anti-entropy.js';
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
/** A leaf that missed this many comparisons is no longer attached. */
const leafExpiryIntervals = 4;

/** Where a node passes updates on to: a relay to its neighbours in the tree and its leaves, a leaf to its relay. */
const openNeighbours = (
  { self, isLeaf, relays, parent }: DisseminationOptions,
  arity: number,
  leaves: () => Address[],
): (() => Address[]) => {
  const inTree = openNeighbourAddresses(relays, self, arity);
  const ofLeaf = (): Address[] => [parent()].filter((address) => address !== undefined);
  return () => {
    const attached = leaves();
    return [...new Set([...(isLeaf ? ofLeaf() : inTree()), ...attached])];
  };
};

const openStore = ({ runtime, admits, isValid, isVolatile }: DisseminationOptions): ItemStore =>
  openItemStore(runtime.clock, {
    admits,
    isValid: isValid ?? (() => true),
    isVolatile: isVolatile ?? (() => false),
  });

const openForwardingOf = (
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

/** A leaf compares with its relay, or with a random peer where that fails; a relay with a random peer. */
const compareRegularly = (
  options: DisseminationOptions,
  { digestInterval, attachInterval, exchangeTimeout }: DisseminationTiming,
  compare: Compare,
): (() => void) => {
  const { rpc, isLeaf } = options;
  const { clock, rand } = options.runtime;
  return time.every(clock, isLeaf ? attachInterval : digestInterval, async () => {
    const parent = isLeaf ? options.parent() : undefined;
    if (parent && (await compare(parent, exchangeTimeout))) return;
    const peer = choosePeer({ ...options, rand });
    if (peer && peer !== rpc.at) await compare(peer, exchangeTimeout);
  });
};

/** Opens nodes of dissemination. */
export const dissemination = {
  /** Takes part from now on. */
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
    const forward = openForwardingOf(options, timing, leaves, send);
    const take = (updates: Update[], from: Address | undefined): void => {
      const fresh = updates.filter(store.accept);
      if (fresh.length === 0) return;
      forward(fresh, from);
      for (const update of fresh) for (const listener of listeners) listener(update);
    };
    rpc.on(messageNames.updates, isUpdates, (body, from) => {
      const updates = decodeUpdates(body);
      onContact();
      counts.pushed += updates.length;
      take(updates, from);
    });
    const onPulled = (updates: Update[], from: Address): void => {
      counts.pulled += updates.length;
      take(updates, from);
    };
    const compare = openAntiEntropy({ rpc, store, isLeaf, onContact, onLeaf: leaves.attach, onPulled });
    const close = compareRegularly(options, timing, compare);

    return {
      put: (name, version, value) => take([{ name, version, value }], undefined),
      get: store.get,
      all: store.withPrefix,
      retain: store.retain,
      onUpdate: (listener) => void listeners.push(listener),
      hasLeaves: () => leaves.addresses().length > 0,
      lastContact: () => lastContact,
      refresh: (peer, timeout = timing.exchangeTimeout) => compare(peer, timeout),
      counts: () => ({ ...counts }),
      close,
    };
  },
};
