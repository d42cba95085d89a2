/**
 * The wire and disk format of registers (§6.2, §6.3), which is that of the previous release. Only this module maps its
 * names: `mark` is the version of a group, `at` an address, `held` a stored value, `until` its expiry, `ops` its
 * operations, `extended` an extension of the expiry, `copy` a replica, `wall` a wall time.
 */
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';
import type { Ballot } from './ballot.js';
import type { Group, Replica, ResidentReplica, StoredValue } from './types.js';

/** The names of the requests. */
export const messages = {
  prepare: 'reg.prepare',
  accept: 'reg.accept',
  open: 'reg.open',
  read: 'reg.read',
  extend: 'reg.extend',
  repair: 'reg.mend',
  filled: 'reg.filled',
  digest: 'reg.digest',
  list: 'reg.list',
  due: 'reg.due',
  drop: 'reg.drop',
  purge: 'reg.purge',
} as const;
/** The names of the documents of a store, and the prefix of the documents in which earlier releases kept registers. */
export const documents = { identity: 'identity', group: 'group', filled: 'filled', legacyPrefix: 'reg:' } as const;

/** A group on the wire and on disk. */
export type WireGroup = { mark: number; members: { id: string; at: Address }[] };
/** The value of a register on the wire and on disk. */
export type WireValue = { value: unknown; until: Microseconds; ops: string[] };
/** A replica on the wire; also its record on disk. */
export type WireReplica = {
  promised: Ballot;
  accepted: Ballot;
  held: WireValue | null;
  touched: Microseconds;
  extended?: Microseconds;
};

/** Encodes a group for the wire and the disk. */
export const encodeGroup = ({ version, members }: Group): WireGroup => ({ mark: version, members });
/** Decodes a group from the wire or the disk. */
export const decodeGroup = ({ mark, members }: WireGroup): Group => ({ version: mark, members });

/** Encodes a value for the wire and the disk. */
export const encodeValue = (stored: StoredValue | null): WireValue | null =>
  stored && { value: stored.value, until: stored.expiresAt, ops: stored.operations };
/** Decodes a value from the wire or the disk. */
export const decodeValue = (held: WireValue | null): StoredValue | null =>
  held && { value: held.value, expiresAt: held.until, operations: held.ops };

/** Encodes a replica for the wire and the disk. */
export const encodeReplica = ({ promised, accepted, stored, touched, extendedUntil }: Replica): WireReplica => ({
  promised,
  accepted,
  held: encodeValue(stored),
  touched,
  ...(extendedUntil === undefined ? {} : { extended: extendedUntil }),
});
/** Decodes a replica from the disk. */
export const decodeReplica = ({ promised, accepted, held, touched, extended }: WireReplica): Replica => ({
  promised,
  accepted,
  stored: decodeValue(held),
  touched,
  ...(extended === undefined ? {} : { extendedUntil: extended }),
});

/**
 * `group` is the whole group for a store that may not know it, else its version (§6.2); `to` is the store's identity.
 */
export type Target = { to?: string; group: WireGroup | number };
/**
 * `has`: the proposer has the value of this ballot; `bare`: omit the value; `lean`: a view of the replica is enough.
 */
export type PrepareBody = Target & { key: string; ballot: Ballot; has?: Ballot; bare?: boolean; lean?: boolean };
/**
 * `next` is a ballot to promise along with the accept, for the proposer's next change; `lean`: the reply needs no
 * replica.
 */
export type AcceptBody = Target & {
  key: string;
  ballot: Ballot;
  held: WireValue | null;
  next: Ballot | null;
  extended?: Microseconds;
  lean?: boolean;
};
/** `ballot` is only compared with the floor; the value is accepted under the opening ballot of the operation `op`. */
export type OpenBody = Target & { key: string; op: string; ballot: Ballot; held: WireValue; next: Ballot };
/** Reads one key or several. `bare`: omit the values. */
export type ReadBody = Target & { key?: string; keys?: string[]; bare?: boolean };
/** Brings a value that a majority has, with its ballot. */
export type RepairBody = Target & { key: string; ballot: Ballot; held: WireValue | null; extended?: Microseconds };
/** Extends the expiry of keys to `until`, a wall time. */
export type ExtendBody = Target & { keys: string[]; until: Microseconds };
/** Lists the keys after `after`, of one range or of all. */
export type ListBody = Target & { after: string; limit: number; range?: number };
/** Lists up to `limit` keys that may be dropped. */
export type DueBody = Target & { limit: number };
/** Drops the keys whose replicas have these ballots; `wall` is the earliest wall clock of the members. */
export type DropBody = Target & { keys: [string, Ballot][]; wall: Microseconds };
/** As `DropBody` for one key; sent by the previous release. */
export type PurgeBody = Target & { key: string; ballot: Ballot; wall: Microseconds };

/**
 * A replica in a reply. `held` is omitted if the value was not requested; the absence of a value is always sent, as
 * null.
 */
export type WireView = {
  accepted: Ballot;
  until?: Microseconds;
  extended?: Microseconds;
  held?: WireValue | null;
};
/** The refusal of a request, and its reason. */
export type WireRefusal =
  | { ok: false; why: 'ballot'; promised: Ballot }
  | { ok: false; why: 'group'; group: WireGroup }
  /** `identity`: this is another store, or not a member. `unknown`: the version is unknown; send the whole group. */
  | { ok: false; why: 'identity' | 'unknown' }
  /** This store may lack openings from before it joined (§6.5). */
  | { ok: false; why: 'filling' };
/**
 * `wall`: the store's wall clock; `lean`: it knows the group, so the version is enough; `floor`: its floor (§6.4);
 * `full`: it has little space left for values, and is about to refuse new ones (§6.1).
 */
export type WireAnswer<T> = { ok: true; wall: Microseconds; lean?: boolean; floor?: number; full?: boolean } & T;
/** The reply to a request of a proposer. */
export type WireReply<T> = WireAnswer<T> | WireRefusal;

/** A view, or the whole replica for a proposer of the previous release. */
export type PrepareReply = { copy: WireView };
/** The replica is omitted in replies to `lean` requests. */
export type AcceptReply = { copy?: WireReplica };
/** One replica for `key`, or one for each of `keys`. */
export type ReadReply = { copy?: WireView; copies?: WireView[] };
/** For each key, whether it has a value. */
export type ExtendReply = { found: boolean[] };
/** One replica in a list; `bytes` is the size of a value that is on disk only. */
export type ListedReplica = {
  key: string;
  accepted: Ballot;
  bytes?: number;
  until: Microseconds;
  touched: Microseconds;
  extended?: Microseconds;
};
/** A page of keys; `next` is its last key if there are more keys, else null. */
export type ListReply =
  { ok: true; wall: Microseconds; next: string | null; keys: ListedReplica[] } | { ok: false; group: WireGroup | null };
/** The digest of each range; `due` is always empty. */
export type DigestReply =
  { ok: true; digests: number[]; due: boolean[]; wall: Microseconds } | { ok: false; group: WireGroup | null };
/** Keys that may be dropped by the wall clock of the store. */
export type DueReply = { ok: true; keys: [string, Ballot][]; wall: Microseconds } | { ok: false };

/** A replica as a proposer sees it; `stored` is undefined if the reply omitted the value. */
export type ReplicaView = {
  accepted: Ballot;
  /** The expiry stored with the value, without extensions; 0 if there is no value. */
  expiresAt: Microseconds;
  extendedUntil: Microseconds;
  stored: StoredValue | null | undefined;
};
/** Encodes a replica for a reply, without its value; the absence of a value is shown. */
export const encodeBareView = ({ accepted, stored, extendedUntil }: ResidentReplica): WireView => ({
  accepted,
  ...(stored ? { until: stored.expiresAt } : {}),
  ...(extendedUntil ? { extended: extendedUntil } : {}),
  ...(stored ? {} : { held: null }),
});
/** Encodes a replica for a reply, with its value. */
export const encodeView = (replica: Replica): WireView => ({
  ...encodeBareView(replica),
  held: encodeValue(replica.stored),
});
/** Decodes a replica from a reply. */
export const decodeView = ({ accepted, until, extended, held }: WireView): ReplicaView => ({
  accepted,
  expiresAt: until ?? held?.until ?? 0,
  extendedUntil: extended ?? 0,
  stored: held === undefined ? undefined : decodeValue(held),
});

const isGroup = validate.object({
  mark: validate.integer,
  members: validate.arrayOf(validate.object({ id: validate.string, at: address.ok })),
});
const targetFields = { to: validate.optional(validate.string), group: validate.anyOf(validate.integer, isGroup) };
const keyFields = { ...targetFields, key: validate.string };
const isValue = validate.optional(
  validate.object({ until: validate.finiteNumber, ops: validate.arrayOf(validate.string) }),
);
const valueFields = { ballot: validate.ballot, held: isValue, extended: validate.optional(validate.finiteNumber) };
const isDropEntry = (entry: unknown): boolean =>
  Array.isArray(entry) && validate.string(entry[0]) && validate.ballot(entry[1]);
/** Validates the body of each request. */
export const bodyShapes = {
  prepare: validate.object({ ...keyFields, ballot: validate.ballot, has: validate.optional(validate.ballot) }),
  accept: validate.object({ ...keyFields, ...valueFields, next: validate.optional(validate.ballot) }),
  open: validate.object({
    ...keyFields,
    op: validate.string,
    ballot: validate.ballot,
    held: isValue,
    next: validate.ballot,
  }),
  filled: validate.object(targetFields),
  read: validate.anyOf(
    validate.object(keyFields),
    validate.object({ ...targetFields, keys: validate.arrayOf(validate.string) }),
  ),
  repair: validate.object({ ...keyFields, ...valueFields }),
  extend: validate.object({ ...targetFields, keys: validate.arrayOf(validate.string), until: validate.finiteNumber }),
  purge: validate.object({ ...keyFields, ballot: validate.ballot, wall: validate.finiteNumber }),
  drop: validate.object({ ...targetFields, keys: validate.arrayOf(isDropEntry), wall: validate.finiteNumber }),
  due: validate.object({ ...targetFields, limit: validate.integer }),
  digest: validate.object(targetFields),
  list: validate.object({ ...targetFields, after: validate.string, limit: validate.integer }),
};
