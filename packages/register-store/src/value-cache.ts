/** What a proposer remembers of registers (§6.2): the newest value it saw, and a ballot that was promised to it. */
import { LRUMapWithDelete } from 'mnemonist';
import type { Microseconds } from '@thornsail/runtime';
import type { Ballot } from './ballot.js';
import type { StoredValue, WallClocks } from './types.js';

/** What a proposer knows of one register. */
export type CachedValue = {
  /** The version of the group that it was learned from. */
  groupVersion: number;
  /** The ballot under which `stored` was accepted. */
  accepted: Ballot;
  stored: StoredValue | null;
  extendedUntil: Microseconds;
  /** A majority has promised this ballot to this proposer: a change needs no prepare. */
  promised?: Ballot;
  /** The wall clocks of the stores at that time. */
  walls: WallClocks;
  /** When it was learned, by this node's own clock. */
  learnedAt: Microseconds;
};
/** A cache bounded by keys and by bytes; the oldest go first. */
export type ValueCache = {
  get: (key: string) => CachedValue | undefined;
  set: (key: string, cached: CachedValue) => void;
  delete: (key: string) => void;
  /** The estimated size in memory. */
  bytes: () => number;
};

const defaultLimit = { keys: 4096, bytes: 16 << 20 };
const bytesWithoutValue = 400;
const sizeOf = ({ stored }: CachedValue): number =>
  bytesWithoutValue + (stored ? (JSON.stringify(stored.value) ?? '').length : 0);

type Entry = { key: string; cached: CachedValue; size: number; isRemoved: boolean };

/** Opens an empty cache. */
export const openValueCache = (limit = defaultLimit): ValueCache => {
  const entries = new LRUMapWithDelete<string, Entry>(limit.keys);
  /** In the order in which they came: what is over the bytes goes from its start. */
  let oldestFirst: Entry[] = [];
  let bytes = 0;
  const release = (entry: Entry | undefined): void => {
    if (!entry || entry.isRemoved) return;
    entry.isRemoved = true;
    bytes -= entry.size;
  };
  const trim = (): void => {
    let removed = 0;
    for (; bytes > limit.bytes && removed < oldestFirst.length - 1; removed++) {
      const entry = oldestFirst[removed]!;
      if (!entry.isRemoved) entries.delete(entry.key);
      release(entry);
    }
    if (removed > 0) oldestFirst = oldestFirst.slice(removed);
    if (oldestFirst.length > 2 * limit.keys) oldestFirst = oldestFirst.filter((entry) => !entry.isRemoved);
  };
  return {
    get: (key) => entries.get(key)?.cached,
    set: (key, cached) => {
      release(entries.peek(key));
      const entry: Entry = { key, cached, size: sizeOf(cached), isRemoved: false };
      const replaced = entries.setpop(key, entry) as { evicted: boolean; value: Entry } | null;
      if (replaced?.evicted) release(replaced.value);
      bytes += entry.size;
      oldestFirst.push(entry);
      trim();
    },
    delete: (key) => {
      release(entries.peek(key));
      entries.delete(key);
    },
    bytes: () => bytes,
  };
};
