/**
 * The replicas of a store in memory, by ranges of keys (§6.3). Digests are updated with each change, and listing scans
 * one range or one span of expiry times, so that no call scans a whole day's registers at once.
 */
import { hash, duration, type Microseconds } from '@thornsail/runtime';
import type { RecordEntry, RecordIndex } from '@thornsail/durable-files';
import type { Ballot } from './ballot.js';
import type { ResidentReplica } from './types.js';

/** The number of ranges into which keys are hashed; anti-entropy lists a range only if its digests differ (§6.5). */
export const rangeCount = 64;
const rangeOf = (key: string): number => hash.of(key) % rangeCount;

/** The replicas of a store. */
export type ReplicaTable = RecordIndex<ResidentReplica> & {
  size: () => number;
  /** A hash of the range, equal on two stores whose replicas have the same ballots and extensions. */
  digest: (range: number) => number;
  /** Up to `limit` keys, with their ballots, that have not been needed since `before`; the earliest expiry first. */
  due: (before: Microseconds, limit: number) => [string, Ballot][];
  /** The keys of a range after `after`, in order: up to `limit + 1`, so that the caller sees whether there are more. */
  keys: (range: number, after: string, limit: number) => string[];
  /** The highest number of replicas that one call has scanned. */
  longest: () => number;
};

/** The wall time until which a replica may be needed (§6.4). */
export const neededUntil = ({ touched, stored, extendedUntil }: ResidentReplica): Microseconds =>
  Math.max(touched, stored?.expiresAt ?? 0, extendedUntil ?? 0);

/**
 * Two sums of hashes, packed into 52 bits: after a change of group, equal digests are trusted without a listing (§6.5).
 */
type Digest = [number, number];
const digestOf = (key: string, { accepted, extendedUntil }: ResidentReplica): Digest => {
  const text = `${key} ${accepted.join(' ')}${extendedUntil ? ` ${extendedUntil}` : ''}`;
  return [hash.of(text), hash.of(`2 ${text}`)];
};
const addDigest = (total: Digest, digest: Digest, sign: 1 | -1): Digest => [
  (total[0] + sign * digest[0]) >>> 0,
  (total[1] + sign * digest[1]) >>> 0,
];

/** Keys by the wall time until which they are needed. */
type ExpiryIndex = {
  add: (key: string, expiresAt: Microseconds) => void;
  delete: (key: string, expiresAt: Microseconds) => void;
  clear: () => void;
  /** Sets of keys, the earliest first. The last set may contain keys that are needed at `time` or later. */
  before: (time: Microseconds) => Set<string>[];
};
/** The span of expiry times whose keys share one set. */
const bucketSpan = duration.s(16);
const openExpiryIndex = (): ExpiryIndex => {
  const buckets = new Map<number, Set<string>>();
  const bucketOf = (time: Microseconds): number => Math.floor(time / bucketSpan);
  return {
    add: (key, expiresAt) => {
      const keys = buckets.get(bucketOf(expiresAt));
      if (keys) keys.add(key);
      else buckets.set(bucketOf(expiresAt), new Set([key]));
    },
    delete: (key, expiresAt) => {
      const keys = buckets.get(bucketOf(expiresAt));
      if (keys?.delete(key) && keys.size === 0) buckets.delete(bucketOf(expiresAt));
    },
    clear: () => buckets.clear(),
    before: (time) => {
      const due = [...buckets.keys()].filter((bucket) => bucket * bucketSpan < time).sort((a, b) => a - b);
      return due.map((bucket) => buckets.get(bucket)!);
    },
  };
};

type Range = { entries: Map<string, RecordEntry<ResidentReplica>>; digest: Digest };
const openRanges = (): Range[] =>
  Array.from({ length: rangeCount }, () => ({ entries: new Map(), digest: [0, 0] as Digest }));
const listDue = (ranges: Range[], expiries: ExpiryIndex, before: Microseconds, limit: number) => {
  const due: [string, Ballot][] = [];
  let scanned = 0;
  for (const keys of expiries.before(before))
    for (const key of keys) {
      const { value } = ranges[rangeOf(key)]!.entries.get(key)!;
      scanned += 1;
      if (neededUntil(value) < before) due.push([key, value.accepted]);
      if (due.length >= limit) return { due, scanned };
    }
  return { due, scanned };
};

/** Opens replica tables. */
export const replicaTable = {
  /** Opens an empty table. */
  open: (): ReplicaTable => {
    const ranges = openRanges();
    const expiries = openExpiryIndex();
    let longest = 0;
    const rangeFor = (key: string): Range => ranges[rangeOf(key)]!;
    /** Removes a replica from the digest of its range and from the expiry index; false if there is none. */
    const unindex = (range: Range, key: string): boolean => {
      const entry = range.entries.get(key);
      if (!entry) return false;
      range.digest = addDigest(range.digest, digestOf(key, entry.value), -1);
      expiries.delete(key, neededUntil(entry.value));
      return true;
    };
    return {
      get: (key) => rangeFor(key).entries.get(key),
      set: (key, entry) => {
        const range = rangeFor(key);
        unindex(range, key);
        range.entries.set(key, entry);
        range.digest = addDigest(range.digest, digestOf(key, entry.value), 1);
        expiries.add(key, neededUntil(entry.value));
      },
      delete: (key) => {
        const range = rangeFor(key);
        if (unindex(range, key)) range.entries.delete(key);
      },
      clear: () => {
        for (const range of ranges) {
          range.entries.clear();
          range.digest = [0, 0];
        }
        expiries.clear();
      },
      size: () => ranges.reduce((total, { entries }) => total + entries.size, 0),
      digest: (range) => ranges[range]!.digest[0] * 2 ** 20 + (ranges[range]!.digest[1] & 0xfffff),
      due: (before, limit) => {
        const { due, scanned } = listDue(ranges, expiries, before, limit);
        longest = Math.max(longest, scanned);
        return due;
      },
      keys: (range, after, limit) => {
        const { entries } = ranges[range]!;
        longest = Math.max(longest, entries.size);
        return [...entries.keys()]
          .filter((key) => key > after)
          .sort()
          .slice(0, limit + 1);
      },
      longest: () => longest,
    };
  },
};
