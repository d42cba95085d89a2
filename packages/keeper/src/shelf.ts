// What a keeper holds, by ranges of keys (§6.3): digests that are kept up with each change, and lists that look at one
// range at a time, so that nothing walks through a whole day's registers in one go.
import { hash, type Us } from '@thornsail/lens';
import type { Index, Slot } from '@thornsail/logbook';
import type { Copy } from './store.js';

/** Keys fall into ranges by their hash; the sweep compares a digest of each before it lists any (§6.5). */
export const ranges = 64;
export const rangeOf = (key: string): number => hash.of(key) % ranges;

export type Shelf = Index<Copy> & {
  size: () => number;
  digest: (range: number) => number;
  /** Whether a range holds something that nothing has needed since `before`. */
  due: (range: number, before: Us) => boolean;
  /** The keys of a range after one, in order; one more than `limit` says that there are more. */
  keys: (range: number, after: string, limit: number) => string[];
  /** The most copies that one call has looked at. */
  longest: () => number;
};

/** Until when a copy may be needed (§6.4). */
export const neededUntil = (c: Copy): Us => Math.max(c.touched, c.held?.until ?? 0);
/** Two hashes, packed into 52 bits: after a change of group an equal digest is trusted (§6.5). */
const mix = (key: string, c: Copy): [number, number] => {
  const text = `${key} ${c.accepted.join(' ')}`;
  return [hash.of(text), hash.of(`2 ${text}`)];
};
type Digest = [number, number];
const add = (d: Digest, m: Digest, sign: 1 | -1): Digest => [(d[0] + sign * m[0]) >>> 0, (d[1] + sign * m[1]) >>> 0];

export const shelf = {
  open: (): Shelf => {
    const all = Array.from({ length: ranges }, () => ({
      at: new Map<string, Slot<Copy>>(),
      digest: [0, 0] as Digest,
      earliest: Infinity,
    }));
    let longest = 0;
    const of = (key: string): (typeof all)[number] => all[rangeOf(key)]!;
    const drop = (key: string): void => {
      const r = of(key);
      const was = r.at.get(key);
      if (!was) return;
      r.digest = add(r.digest, mix(key, was.value), -1);
      r.at.delete(key);
    };
    return {
      get: (key) => of(key).at.get(key),
      set: (key, slot) => {
        drop(key);
        const r = of(key);
        r.at.set(key, slot);
        r.digest = add(r.digest, mix(key, slot.value), 1);
        r.earliest = Math.min(r.earliest, neededUntil(slot.value));
      },
      drop,
      clear: () => {
        for (const r of all) {
          r.at.clear();
          r.digest = [0, 0];
          r.earliest = Infinity;
        }
      },
      size: () => all.reduce((a, r) => a + r.at.size, 0),
      digest: (range) => all[range]!.digest[0] * 2 ** 20 + (all[range]!.digest[1] & 0xfffff),
      due: (range, before) => {
        const r = all[range]!;
        if (r.earliest >= before) return false;
        // The earliest known may be long replaced: looked at again, at most once for each change of it.
        longest = Math.max(longest, r.at.size);
        r.earliest = [...r.at.values()].reduce((a, s) => Math.min(a, neededUntil(s.value)), Infinity);
        return r.earliest < before;
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
