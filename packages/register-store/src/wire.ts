/**
 * The form that registers have between nodes and in files (§6.2, §6.3): that of the release before. This is the one
 * place that maps it: `mark` is the version of a group, `held` a stored value, `until` its expiry, `ops` its
 * operations, `copy` a replica.
 */
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';
import type { Ballot } from './ballot.js';
import type { Group, Replica, StoredValue } from './types.js';

/** The name of each request. */
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
/** What documents of a store are called, and what the names of former documents of registers begin with. */
export const documents = { identity: 'identity', group: 'group', filled: 'filled', legacyPrefix: 'reg:' } as const;

/** A group. */
export type WireGroup = { mark: number; members: { id: string; at: Address }[] };
/** The value of a register. */
export type WireValue = { value: unknown; until: Microseconds; ops: string[] };
/** A replica; this is also its record on disk. */
export type WireReplica = {
  promised: Ballot;
  accepted: Ballot;
  held: WireValue | null;
  touched: Microseconds;
  extended?: Microseconds;
};

/** A group for other nodes and the disk. */
export const encodeGroup = ({ version, members }: Group): WireGroup => ({ mark: version, members });
/** A group from other nodes or the disk. */
export const decodeGroup = ({ mark, members }: WireGroup): Group => ({ version: mark, members });

/** A value for other nodes and the disk. */
export const encodeValue = (stored: StoredValue | null): WireValue | null =>
  stored && { value: stored.value, until: stored.expiresAt, ops: stored.operations };
/** A value from other nodes or the disk. */
export const decodeValue = (held: WireValue | null): StoredValue | null =>
  held && { value: held.value, expiresAt: held.until, operations: held.ops };

/** A replica for other nodes and the disk. */
export const encodeReplica = ({ promised, accepted, stored, touched, extendedUntil }: Replica): WireReplica => ({
  promised,
  accepted,
  held: encodeValue(stored),
  touched,
  ...(extendedUntil === undefined ? {} : { extended: extendedUntil }),
});
/** A replica from the disk. */
export const decodeReplica = ({ promised, accepted, held, touched, extended }: WireReplica): Replica => ({
  promised,
  accepted,
  stored: decodeValue(held),
  touched,
  ...(extended === undefined ? {} : { extendedUntil: extended }),
});

/** The whole group for a store that may not know it, else its version (§6.2); `to` is the identity of the store. */
export type Target = { to?: string; group: WireGroup | number };
/** `has`: the proposer has the value of this ballot; `bare`: it wants none; `lean`: it takes a view of the replica. */
export type PrepareBody = Target & { key: string; ballot: Ballot; has?: Ballot; bare?: boolean; lean?: boolean };
/** `lean`: the proposer needs no replica in the reply. */
export type AcceptBody = Target & {
  key: string;
  ballot: Ballot;
  held: WireValue | null;
  next: Ballot | null;
  extended?: Microseconds;
  lean?: boolean;
};
/** `ballot` only has to be above the floor: what is accepted is the opening of the operation `op`. */
export type OpenBody = Target & { key: string; op: string; ballot: Ballot; held: WireValue; next: Ballot };
/** Of one key or of several. `bare`: the values are left out. */
export type ReadBody = Target & { key?: string; keys?: string[]; bare?: boolean };
/** A value that a majority has, under its ballot. */
export type RepairBody = Target & { key: string; ballot: Ballot; held: WireValue | null; extended?: Microseconds };
/** `until` is wall time. */
export type ExtendBody = Target & { keys: string[]; until: Microseconds };
/** Keys after one, of one range or of all. */
export type ListBody = Target & { after: string; limit: number; range?: number };
/** Asks for keys that may be dropped. */
export type DueBody = Target & { limit: number };
/** Keys with the ballots that are meant, and the earliest wall clock of the members. */
export type DropBody = Target & { keys: [string, Ballot][]; wall: Microseconds };
/** As `DropBody` for one key, of the release before. */
export type PurgeBody = Target & { key: string; ballot: Ballot; wall: Microseconds };

/** What a reply says of a replica. `held` is left out if it was not wanted; a value that is none is always said. */
export type WireView = {
  accepted: Ballot;
  until?: Microseconds;
  extended?: Microseconds;
  held?: WireValue | null;
};
/** Why a store did not do what it was asked. */
export type WireRefusal =
  | { ok: false; why: 'ballot'; promised: Ballot }
  | { ok: false; why: 'group'; group: WireGroup }
  /** `unknown`: this store does not know that version, and needs the whole group. */
  | { ok: false; why: 'identity' | 'unknown' }
  /** This store may lack what was opened before it joined (§6.5). */
  | { ok: false; why: 'filling' };
/** `lean`: this store knows the group now, and its version is enough. `floor`: see replica-storage.ts (§6.4). */
export type WireAnswer<T> = { ok: true; wall: Microseconds; lean?: boolean; floor?: number } & T;
/** The reply to a request of a proposer. */
export type WireReply<T> = WireAnswer<T> | WireRefusal;

/** A view, or the whole replica for the release before. */
export type PrepareReply = { copy: WireView };
/** The replica is left out for `lean` requests. */
export type AcceptReply = { copy?: WireReplica };
/** One replica for `key`, or one for each of `keys`. */
export type ReadReply = { copy?: WireView; copies?: WireView[] };
/** Whether there is a value, for each key. */
export type ExtendReply = { found: boolean[] };
/** What a list says of one replica. */
export type ListedReplica = {
  key: string;
  accepted: Ballot;
  until: Microseconds;
  touched: Microseconds;
  extended?: Microseconds;
};
/** A page of keys; `next` is the last key if there are more. */
export type ListReply =
  { ok: true; wall: Microseconds; next: string | null; keys: ListedReplica[] } | { ok: false; group: WireGroup | null };
/** A digest for each range; `due` is always empty. */
export type DigestReply =
  { ok: true; digests: number[]; due: boolean[]; wall: Microseconds } | { ok: false; group: WireGroup | null };
/** Keys that may be dropped by the store's own wall clock. */
export type DueReply = { ok: true; keys: [string, Ballot][]; wall: Microseconds } | { ok: false };

/** What a proposer knows of one replica; `stored` is undefined if the reply left the value out. */
export type ReplicaView = {
  accepted: Ballot;
  /** As the value says; 0 if there is none. */
  expiresAt: Microseconds;
  extendedUntil: Microseconds;
  stored: StoredValue | null | undefined;
};
/** A replica in a reply, with its value only if it is wanted. */
export const encodeView = ({ accepted, stored, extendedUntil }: Replica, withValue: boolean): WireView => ({
  accepted,
  ...(stored ? { until: stored.expiresAt } : {}),
  ...(extendedUntil ? { extended: extendedUntil } : {}),
  ...(!withValue && stored ? {} : { held: encodeValue(stored) }),
});
/** A replica from a reply. */
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
const target = { to: validate.optional(validate.string), group: validate.anyOf(validate.integer, isGroup) };
const keyed = { ...target, key: validate.string };
const isValue = validate.optional(
  validate.object({ until: validate.finiteNumber, ops: validate.arrayOf(validate.string) }),
);
const valued = { ballot: validate.ballot, held: isValue, extended: validate.optional(validate.finiteNumber) };
const isDropEntry = (entry: unknown): boolean =>
  Array.isArray(entry) && validate.string(entry[0]) && validate.ballot(entry[1]);
/** The shape of the body of each request. */
export const bodyShapes = {
  prepare: validate.object({ ...keyed, ballot: validate.ballot, has: validate.optional(validate.ballot) }),
  accept: validate.object({ ...keyed, ...valued, next: validate.optional(validate.ballot) }),
  open: validate.object({
    ...keyed,
    op: validate.string,
    ballot: validate.ballot,
    held: isValue,
    next: validate.ballot,
  }),
  filled: validate.object(target),
  read: validate.anyOf(validate.object(keyed), validate.object({ ...target, keys: validate.arrayOf(validate.string) })),
  repair: validate.object({ ...keyed, ...valued }),
  extend: validate.object({ ...target, keys: validate.arrayOf(validate.string), until: validate.finiteNumber }),
  purge: validate.object({ ...keyed, ballot: validate.ballot, wall: validate.finiteNumber }),
  drop: validate.object({ ...target, keys: validate.arrayOf(isDropEntry), wall: validate.finiteNumber }),
  due: validate.object({ ...target, limit: validate.integer }),
  digest: validate.object(target),
  list: validate.object({ ...target, after: validate.string, limit: validate.integer }),
};
