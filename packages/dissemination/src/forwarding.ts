/**
 * Passing updates on to the neighbours of this node (§3.5): at once, or, for items that many nodes send often, in
 * batches.
 */
import type { Address, Clock, Microseconds } from '@thornsail/runtime';
import type { Update } from './types.js';

/** With fewer relays each update is passed on by itself, at once: a batch would only be late. */
const batchFromRelays = 24;

/** What passing on works with. */
export type ForwardingOptions = {
  clock: Clock;
  /** To whom updates are passed on now. */
  neighbours: () => Address[];
  relayCount: () => number;
  isBatched: (name: string) => boolean;
  /** For how long updates are collected. */
  batchDelay: Microseconds;
  /** Sends one message with all the updates to each of the peers. */
  send: (peers: Address[], updates: Update[]) => void;
};
/** Passes updates on to all neighbours but the one that they came from (undefined: from this node itself). */
export type Forward = (updates: Update[], from: Address | undefined) => void;

/** The newest update of each item that waits for the next batch, and where it came from. */
type Batch = Map<string, { update: Update; from: Address | undefined }>;

/** Passes updates on for one node. */
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
    const goesInBatch = ({ name }: Update): boolean =>
      options.isBatched(name) && options.relayCount() >= batchFromRelays;
    const urgent = updates.filter((update) => !goesInBatch(update));
    const peers = (): Address[] => neighbours().filter((peer) => peer !== from);
    if (urgent.length > 0) send(peers(), urgent);
    addToBatch(updates.filter(goesInBatch), from);
  };
};
