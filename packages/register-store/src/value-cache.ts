/** The cache of a proposer (§6.2): the newest value that it has seen of a register, and a ballot promised to it. */
import { LRUMapWithDelete } from 'mnemonist';
import type { Microseconds } from '@thornsail/runtime';
import type { Ballot } from './ballot.js';
import type { StoredValue, WallClocks } from './types.js';

/** The cached state of one register. */
export type CachedValue = {
  /** The version of the group from which it was read. */
  groupVersion: number;
  /** The ballot under which `stored` was accepted. */
  accepted: Ballot;
  stored: StoredValue | null;
  extendedUntil: Microseconds;
  /** A ballot that a majority has promised to this proposer: a change under it needs no prepare round. */
  promised?: Ballot;
  /** The wall clocks of the stores at `learnedAt`. */
  walls: WallClocks;
  /** When the state was received, by the local clock (not wall time). */
  learnedAt: Microseconds;
};
/** A cache bounded by the number of keys and by bytes; the oldest entries are evicted first. */
export type ValueCache = {
  get: (key: string) => CachedValue | undefined;
  set: (key: string, cached: CachedValue) => void;
  delete: (key: string) => void;
  /** The estimated size in memory, in bytes. */
  bytes: () => number;
};

const defaultLimit = { keys: 4096, bytes: 16 << 20 };
/** The estimated size of an entry without its value. */
const bytesWithoutValue = 400;
const sizeOf = ({ stored }: CachedValue): number =>
  bytesWithoutValue + (stored ? (JSON.stringify(stored.value) ?? '').length : 0);

type Entry = { key: string; cached: CachedValue; size: number; isRemoved: boolean };

/** Opens an empty cache. */
export const openValueCache = (limit = defaultLimit): ValueCache => {
  const entries = new LRUMapWithDelete<string, Entry>(limit.keys);
  /** Entries in insertion order; entries beyond the byte limit are evicted from the start. */
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
