// What proposers, stores and the sweep say to one another (§6.2, §6.3), and what a store holds.
import { place, type Place, type Us } from '@thornsail/runtime';
import { shape } from '@thornsail/rpc';

export type Ballot = [n: number, by: string];
/** Openings were accepted without a prepare, so only all members together decide them (§6.2). */
const openingMark = '!';
export const ballot = {
  zero: [0, ''] as Ballot,
  cmp: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
  max: (a: Ballot, b: Ballot): Ballot => (ballot.cmp(a, b) >= 0 ? a : b),
  /** Below every ballot that was prepared, and of one try alone: two of them are never the same. */
  opening: (op: string): Ballot => [0, openingMark + op],
  isOpening: (b: Ballot): boolean => b[0] === 0 && b[1].startsWith(openingMark),
  same: (a: Ballot, b: Ballot): boolean => a[0] === b[0] && a[1] === b[1],
};
/**
 * A value; `until` is wall time, after which it counts as absent (§6.4), 0 if it was removed; `ops` names its last
 * changes (§6.2).
 */
export type Held = { value: unknown; until: Us; ops: string[] };
/**
 * `extended` is an end of keeping that came without a ballot: the greatest of a majority counts, whatever the value
 * says, and it goes with the copy alone (§6.4).
 */
export type Copy = { promised: Ballot; accepted: Ballot; held: Held | null; touched: Us; extended?: Us };
export type Keep = { id: string; at: Place };
export type Group = { mark: number; members: Keep[] };

/** The whole group for a store that may not know it, else its mark (§6.2). */
export type Base = { to?: string; group: Group | number };
/** `has`: the asker holds the value of this ballot; `bare`: it wants no value. `lean`: it needs no copy at all. */
export type PrepareAsk = Base & { key: string; ballot: Ballot; has?: Ballot; bare?: boolean; lean?: boolean };
export type AcceptAsk = Base & {
  key: string;
  ballot: Ballot;
  held: Held | null;
  next: Ballot | null;
  extended?: Us;
  lean?: boolean;
};
/** `ballot` only has to be above the floor: what is accepted is the opening of `op`. */
export type OpenAsk = Base & { key: string; op: string; ballot: Ballot; held: Held; next: Ballot };
export type ReadAsk = Base & { key?: string; keys?: string[]; bare?: boolean };
export type MendAsk = Base & { key: string; ballot: Ballot; held: Held | null; extended?: Us };
export type ExtendAsk = Base & { keys: string[]; until: Us };
export type DropAsk = Base & { keys: [string, Ballot][]; wall: Us };

/** What a reply says of a copy. `held` is left out if it was not wanted; a value that is none is always said. */
export type Seen = { accepted: Ballot; until?: Us; extended?: Us; held?: Held | null };
export type Refusal =
  | { ok: false; why: 'ballot'; promised: Ballot }
  | { ok: false; why: 'group'; group: Group }
  /** `unknown`: this store does not know that mark, and needs the whole group. */
  | { ok: false; why: 'identity' | 'unknown' }
  /** This store may lack what was opened before it joined (§6.5). */
  | { ok: false; why: 'filling' };
/** `lean`: this store knows the group now, and its mark is enough. `floor`: see the store's own (§6.4). */
export type Reply<T> = ({ ok: true; wall: Us; lean?: boolean; floor?: number } & T) | Refusal;
export type PrepareReply = { copy: Seen };
export type AcceptReply = { copy?: Copy };
export type ReadReply = { copy?: Seen; copies?: Seen[] };
export type ExtendReply = { found: boolean[] };
export type ListResult =
  | {
      ok: true;
      keys: { key: string; accepted: Ballot; until: Us; touched: Us; extended?: Us }[];
      next: string | null;
      wall: Us;
    }
  | { ok: false; group: Group | null };
export type DigestResult =
  { ok: true; digests: number[]; due: boolean[]; wall: Us } | { ok: false; group: Group | null };
export type DueResult = { ok: true; keys: [string, Ballot][]; wall: Us } | { ok: false };

/** Until when a value is kept, with an extension of it; what was removed stays so, whatever extended it before. */
export const keptUntil = (until: Us, extended: Us): Us => (until === 0 ? 0 : Math.max(until, extended));
/** Until when the value itself says that it is kept. */
export const untilOf = (x: { until?: Us; held?: Held | null }): Us => x.until ?? x.held?.until ?? 0;

const isGroup = shape.has({
  mark: shape.whole,
  members: shape.list(shape.has({ id: shape.text, at: place.ok })),
});
const base = { to: shape.maybe(shape.text), group: shape.either(shape.whole, isGroup) };
const keyed = { ...base, key: shape.text };
const isHeld = shape.maybe(shape.has({ until: shape.num, ops: shape.list(shape.text) }));
const value = { ballot: shape.ballot, held: isHeld, extended: shape.maybe(shape.num) };
const isPair = (u: unknown): boolean => Array.isArray(u) && shape.text(u[0]) && shape.ballot(u[1]);
export const isAsk = {
  prepare: shape.has({ ...keyed, ballot: shape.ballot, has: shape.maybe(shape.ballot) }),
  accept: shape.has({ ...keyed, ...value, next: shape.maybe(shape.ballot) }),
  open: shape.has({ ...keyed, op: shape.text, ballot: shape.ballot, held: isHeld, next: shape.ballot }),
  filled: shape.has(base),
  read: shape.either(shape.has(keyed), shape.has({ ...base, keys: shape.list(shape.text) })),
  mend: shape.has({ ...keyed, ...value }),
  extend: shape.has({ ...base, keys: shape.list(shape.text), until: shape.num }),
  purge: shape.has({ ...keyed, ballot: shape.ballot, wall: shape.num }),
  drop: shape.has({ ...base, keys: shape.list(isPair), wall: shape.num }),
  due: shape.has({ ...base, limit: shape.whole }),
  digest: shape.has(base),
  list: shape.has({ ...base, after: shape.text, limit: shape.whole }),
};
