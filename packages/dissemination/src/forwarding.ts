/**
 * Forwards updates to the neighbours of this node (§3.5): immediately, or in batches for items that many nodes update
 * often.
 */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';
import type { Update } from './types.js';

/** With fewer relays, updates are forwarded immediately, since a batch would only add delay. */
const minRelaysForBatching = 24;

/** The dependencies and settings of forwarding. */
export type ForwardingOptions = {
  clock: Clock;
  /** Returns the current neighbours, to which updates are forwarded. */
  neighbours: () => Address[];
  relayCount: () => number;
  isBatched: (name: string) => boolean;
  /** The time for which updates are collected into a batch. */
  batchDelay: Microseconds;
  /** Sends all the updates in one message to each of the peers. */
  send: (peers: Address[], updates: Update[]) => void;
};
/** Forwards updates to all neighbours except their sender; `from` is undefined for updates of this node. */
export type Forward = (updates: Update[], from: Address | undefined) => void;

/** The newest pending update of each item, by item name, and its sender. */
type Batch = Map<string, { update: Update; from: Address | undefined }>;

/** Creates the forwarding function of one node. */
export const openForwarding = (options: ForwardingOptions): Forward => {
  const { clock, neighbours, send } = options;
  const batch: Batch = new Map();
  const sendBatch = (): void => {
    const collected = [...batch.values()];
    batch.clear();
    for (const peer of neighbours()) {
      const updates = collected.filter(({ from }) => from !== peer).map(({ update }) => update);
      if (updates.length > 0) send([peer], updates);
    }
  };
  const addToBatch = (updates: Update[], from: Address | undefined): void => {
    if (updates.length === 0) return;
    if (batch.size === 0) clock.schedule(options.batchDelay, sendBatch);
    for (const update of updates) batch.set(update.name, { update, from });
  };
  return (updates, from) => {
    const isBatchedNow = ({ name }: Update): boolean =>
      options.isBatched(name) && options.relayCount() >= minRelaysForBatching;
    const immediate = updates.filter((update) => !isBatchedNow(update));
    const peers = (): Address[] => neighbours().filter((peer) => peer !== from);
    if (immediate.length > 0) send(peers(), immediate);
    addToBatch(updates.filter(isBatchedNow), from);
  };
};
