// What a store holds, by ranges of keys (§6.3): digests that are kept up with each change, and lists that look at one
// range, or at what ends at one time, so that nothing walks through a whole day's registers in one go.
import { hash, duration, type Microseconds } from '@thornsail/runtime';
import type { RecordEntry, RecordIndex } from '@thornsail/durable-files';
import type { Ballot, Copy } from './messages.js';

/** Keys fall into ranges by their hash; the sweep compares a digest of each before it lists any (§6.5). */
export const ranges = 64;
export const rangeOf = (key: string): number => hash.of(key) % ranges;

export type ReplicaTable = RecordIndex<Copy> & {
  size: () => number;
  digest: (range: number) => number;
  /** Up to `limit` keys, with their ballots, that nothing has needed since `before`; what ended first comes first. */
  due: (before: Microseconds, limit: number) => [string, Ballot][];
  /** The keys of a range after one, in order; one more than `limit` says that there are more. */
  keys: (range: number, after: string, limit: number) => string[];
  /** The most copies that one call has looked at. */
  longest: () => number;
};

/** Until when a copy may be needed (§6.4). */
export const neededUntil = (c: Copy): Microseconds => Math.max(c.touched, c.held?.until ?? 0, c.extended ?? 0);
/** Two hashes, packed into 52 bits: after a change of group an equal digest is trusted (§6.5). */
const mix = (key: string, c: Copy): [number, number] => {
  const text = `${key} ${c.accepted.join(' ')}${c.extended ? ` ${c.extended}` : ''}`;
  return [hash.of(text), hash.of(`2 ${text}`)];
};
type Digest = [number, number];
const add = (d: Digest, m: Digest, sign: 1 | -1): Digest => [(d[0] + sign * m[0]) >>> 0, (d[1] + sign * m[1]) >>> 0];

/** Keys by the time at which they end, so many microseconds together. */
const together = duration.s(16);
const endings = (): {
  add: (key: string, at: Microseconds) => void;
  drop: (key: string, at: Microseconds) => void;
  clear: () => void;
  before: (at: Microseconds) => Set<string>[];
} => {
  const all = new Map<number, Set<string>>();
  const of = (at: Microseconds): number => Math.floor(at / together);
  return {
    add: (key, at) => {
      const set = all.get(of(at));
      if (set) set.add(key);
      else all.set(of(at), new Set([key]));
    },
    drop: (key, at) => {
      const set = all.get(of(at));
      if (set?.delete(key) && set.size === 0) all.delete(of(at));
    },
    clear: () => all.clear(),
    before: (at) => {
      const some = [...all.keys()].filter((n) => n * together < at).sort((a, b) => a - b);
      return some.map((n) => all.get(n)!);
    },
  };
};

export const replicaTable = {
  open: (): ReplicaTable => {
    const all = Array.from({ length: ranges }, () => ({
      at: new Map<string, RecordEntry<Copy>>(),
      digest: [0, 0] as Digest,
    }));
    const ends = endings();
    let longest = 0;
    const of = (key: string): (typeof all)[number] => all[rangeOf(key)]!;
    const drop = (key: string): void => {
      const r = of(key);
      const was = r.at.get(key);
      if (!was) return;
      r.digest = add(r.digest, mix(key, was.value), -1);
      ends.drop(key, neededUntil(was.value));
      r.at.delete(key);
    };
    return {
      get: (key) => of(key).at.get(key),
      set: (key, slot) => {
        const r = of(key);
        const was = r.at.get(key);
        if (was) {
          r.digest = add(r.digest, mix(key, was.value), -1);
          ends.drop(key, neededUntil(was.value));
        }
        r.at.set(key, slot);
        r.digest = add(r.digest, mix(key, slot.value), 1);
        ends.add(key, neededUntil(slot.value));
      },
      delete: drop,
      clear: () => {
        for (const r of all) {
          r.at.clear();
          r.digest = [0, 0];
        }
        ends.clear();
      },
      size: () => all.reduce((a, r) => a + r.at.size, 0),
      digest: (range) => all[range]!.digest[0] * 2 ** 20 + (all[range]!.digest[1] & 0xfffff),
      due: (before, limit) => {
        const some: [string, Ballot][] = [];
        let looked = 0;
        for (const set of ends.before(before))
          for (const key of set) {
            const { value } = of(key).at.get(key)!;
            looked += 1;
            if (neededUntil(value) < before) some.push([key, value.accepted]);
            if (some.length >= limit) {
              longest = Math.max(longest, looked);
              return some;
            }
          }
        longest = Math.max(longest, looked);
        return some;
      },
      keys: (range, after, limit) => {
        const r = all[range]!;
        longest = Math.max(longest, r.at.size);
        return [...r.at.keys()]
          .filter((k) => k > after)
          .sort()
          .slice(0, limit + 1);
      },
      longest: () => longest,
    };
  },
};
