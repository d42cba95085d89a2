// What proposers, stores and the sweep say to one another (§6.2, §6.3), and what a store holds.
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';

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
export type Held = { value: unknown; until: Microseconds; ops: string[] };
/**
 * `extended` is an end of keeping that came without a ballot: the greatest of a majority counts, whatever the value
 * says, and it goes with the copy alone (§6.4).
 */
export type Copy = {
  promised: Ballot;
  accepted: Ballot;
  held: Held | null;
  touched: Microseconds;
  extended?: Microseconds;
};
export type Keep = { id: string; at: Address };
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
  extended?: Microseconds;
  lean?: boolean;
};
/** `ballot` only has to be above the floor: what is accepted is the opening of `op`. */
export type OpenAsk = Base & { key: string; op: string; ballot: Ballot; held: Held; next: Ballot };
export type ReadAsk = Base & { key?: string; keys?: string[]; bare?: boolean };
export type MendAsk = Base & { key: string; ballot: Ballot; held: Held | null; extended?: Microseconds };
export type ExtendAsk = Base & { keys: string[]; until: Microseconds };
export type DropAsk = Base & { keys: [string, Ballot][]; wall: Microseconds };

/** What a reply says of a copy. `held` is left out if it was not wanted; a value that is none is always said. */
export type Seen = { accepted: Ballot; until?: Microseconds; extended?: Microseconds; held?: Held | null };
export type Refusal =
  | { ok: false; why: 'ballot'; promised: Ballot }
  | { ok: false; why: 'group'; group: Group }
  /** `unknown`: this store does not know that mark, and needs the whole group. */
  | { ok: false; why: 'identity' | 'unknown' }
  /** This store may lack what was opened before it joined (§6.5). */
  | { ok: false; why: 'filling' };
/** `lean`: this store knows the group now, and its mark is enough. `floor`: see the store's own (§6.4). */
export type Reply<T> = ({ ok: true; wall: Microseconds; lean?: boolean; floor?: number } & T) | Refusal;
export type PrepareReply = { copy: Seen };
export type AcceptReply = { copy?: Copy };
export type ReadReply = { copy?: Seen; copies?: Seen[] };
export type ExtendReply = { found: boolean[] };
export type ListResult =
  | {
      ok: true;
      keys: { key: string; accepted: Ballot; until: Microseconds; touched: Microseconds; extended?: Microseconds }[];
      next: string | null;
      wall: Microseconds;
    }
  | { ok: false; group: Group | null };
export type DigestResult =
  { ok: true; digests: number[]; due: boolean[]; wall: Microseconds } | { ok: false; group: Group | null };
export type DueResult = { ok: true; keys: [string, Ballot][]; wall: Microseconds } | { ok: false };

/** Until when a value is kept, with an extension of it; what was removed stays so, whatever extended it before. */
export const keptUntil = (until: Microseconds, extended: Microseconds): Microseconds =>
  until === 0 ? 0 : Math.max(until, extended);
/** Until when the value itself says that it is kept. */
export const untilOf = (x: { until?: Microseconds; held?: Held | null }): Microseconds => x.until ?? x.held?.until ?? 0;

const isGroup = validate.object({
  mark: validate.integer,
  members: validate.arrayOf(validate.object({ id: validate.string, at: address.ok })),
});
const base = { to: validate.optional(validate.string), group: validate.anyOf(validate.integer, isGroup) };
const keyed = { ...base, key: validate.string };
const isHeld = validate.optional(
  validate.object({ until: validate.finiteNumber, ops: validate.arrayOf(validate.string) }),
);
const value = { ballot: validate.ballot, held: isHeld, extended: validate.optional(validate.finiteNumber) };
const isPair = (u: unknown): boolean => Array.isArray(u) && validate.string(u[0]) && validate.ballot(u[1]);
export const isAsk = {
  prepare: validate.object({ ...keyed, ballot: validate.ballot, has: validate.optional(validate.ballot) }),
  accept: validate.object({ ...keyed, ...value, next: validate.optional(validate.ballot) }),
  open: validate.object({
    ...keyed,
    op: validate.string,
    ballot: validate.ballot,
    held: isHeld,
    next: validate.ballot,
  }),
  filled: validate.object(base),
  read: validate.anyOf(validate.object(keyed), validate.object({ ...base, keys: validate.arrayOf(validate.string) })),
  mend: validate.object({ ...keyed, ...value }),
  extend: validate.object({ ...base, keys: validate.arrayOf(validate.string), until: validate.finiteNumber }),
  purge: validate.object({ ...keyed, ballot: validate.ballot, wall: validate.finiteNumber }),
  drop: validate.object({ ...base, keys: validate.arrayOf(isPair), wall: validate.finiteNumber }),
  due: validate.object({ ...base, limit: validate.integer }),
  digest: validate.object(base),
  list: validate.object({ ...base, after: validate.string, limit: validate.integer }),
};
