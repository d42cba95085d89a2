/**
 * What a store has in memory, by ranges of keys (§6.3): digests that are kept up with each change, and lists that look
 * at one range, or at what expires at one time, so that nothing walks through a whole day's registers at once.
 */
import { hash, duration, type Microseconds } from '@thornsail/runtime';
import type { RecordEntry, RecordIndex } from '@thornsail/durable-files';
import type { Ballot } from './ballot.js';
import type { Replica } from './types.js';

/** Keys fall into ranges by their hash; anti-entropy compares a digest of each before it lists any (§6.5). */
export const rangeCount = 64;
const rangeOf = (key: string): number => hash.of(key) % rangeCount;

/** The replicas of a store. */
export type ReplicaTable = RecordIndex<Replica> & {
  size: () => number;
  /** Equal for two stores whose replicas of this range have the same ballots and extensions. */
  digest: (range: number) => number;
  /** Up to `limit` keys, with their ballots, not needed since `before`; what expired first comes first. */
  due: (before: Microseconds, limit: number) => [string, Ballot][];
  /** The keys of a range after one, in order; one more than `limit` shows that there are more. */
  keys: (range: number, after: string, limit: number) => string[];
  /** The most replicas that one call has looked at. */
  longest: () => number;
};

/** Until when a replica may be needed (§6.4). */
export const neededUntil = ({ touched, stored, extendedUntil }: Replica): Microseconds =>
  Math.max(touched, stored?.expiresAt ?? 0, extendedUntil ?? 0);

/** Two sums of hashes, packed into 52 bits: after a change of group an equal digest is trusted (§6.5). */
type Digest = [number, number];
const digestOf = (key: string, { accepted, extendedUntil }: Replica): Digest => {
  const text = `${key} ${accepted.join(' ')}${extendedUntil ? ` ${extendedUntil}` : ''}`;
  return [hash.of(text), hash.of(`2 ${text}`)];
};
const addDigest = (sum: Digest, one: Digest, sign: 1 | -1): Digest => [
  (sum[0] + sign * one[0]) >>> 0,
  (sum[1] + sign * one[1]) >>> 0,
];

/** Keys by the time until which they are needed. */
type ExpiryIndex = {
  add: (key: string, at: Microseconds) => void;
  delete: (key: string, at: Microseconds) => void;
  clear: () => void;
  /** Sets of keys, the earliest first; the last may hold some that are needed at `at` or later. */
  before: (at: Microseconds) => Set<string>[];
};
const bucketSpan = duration.s(16);
const openExpiryIndex = (): ExpiryIndex => {
  const buckets = new Map<number, Set<string>>();
  const bucketOf = (at: Microseconds): number => Math.floor(at / bucketSpan);
  return {
    add: (key, at) => {
      const keys = buckets.get(bucketOf(at));
      if (keys) keys.add(key);
      else buckets.set(bucketOf(at), new Set([key]));
    },
    delete: (key, at) => {
      const keys = buckets.get(bucketOf(at));
      if (keys?.delete(key) && keys.size === 0) buckets.delete(bucketOf(at));
    },
    clear: () => buckets.clear(),
    before: (at) => {
      const due = [...buckets.keys()].filter((bucket) => bucket * bucketSpan < at).sort((a, b) => a - b);
      return due.map((bucket) => buckets.get(bucket)!);
    },
  };
};

type Range = { entries: Map<string, RecordEntry<Replica>>; digest: Digest };
const openRanges = (): Range[] =>
  Array.from({ length: rangeCount }, () => ({ entries: new Map(), digest: [0, 0] as Digest }));
const listDue = (ranges: Range[], expiries: ExpiryIndex, before: Microseconds, limit: number) => {
  const due: [string, Ballot][] = [];
  let looked = 0;
  for (const keys of expiries.before(before))
    for (const key of keys) {
      const { value } = ranges[rangeOf(key)]!.entries.get(key)!;
      looked += 1;
      if (neededUntil(value) < before) due.push([key, value.accepted]);
      if (due.length >= limit) return { due, looked };
    }
  return { due, looked };
};

/** Replicas in memory. */
export const replicaTable = {
  /** Opens an empty table. */
  open: (): ReplicaTable => {
    const ranges = openRanges();
    const expiries = openExpiryIndex();
    let longest = 0;
    const rangeFor = (key: string): Range => ranges[rangeOf(key)]!;
    /** Takes a replica out of the digest of its range and out of the expiries. */
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
      size: () => ranges.reduce((sum, { entries }) => sum + entries.size, 0),
      digest: (range) => ranges[range]!.digest[0] * 2 ** 20 + (ranges[range]!.digest[1] & 0xfffff),
      due: (before, limit) => {
        const { due, looked } = listDue(ranges, expiries, before, limit);
        longest = Math.max(longest, looked);
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
