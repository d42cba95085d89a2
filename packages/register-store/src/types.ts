/**
 * Registers and their replicas (§6.2 to §6.4). All times are in microseconds; `...At` and `...Until` are wall times.
 */
import type { Address, Microseconds } from '@thornsail/runtime';
import type { Ballot } from './ballot.js';

/** One store of a group, by its identity; `at` is its address. */
export type Member = { id: string; at: Address };
/** The stores that hold all registers; `version` grows by one with each change of the group. */
export type Group = { version: number; members: Member[] };

/** The value of a register. */
export type StoredValue = {
  value: unknown;
  /** The wall time after which the value counts as absent (§6.4); 0 if it was removed. */
  expiresAt: Microseconds;
  /** The identities of the last changes, so that a retry of one of them is recognised (§6.2). */
  operations: string[];
};
/** The state of a register on one store. */
export type Replica = {
  /** The highest ballot promised: lower ones are rejected. */
  promised: Ballot;
  /** The highest ballot under which a value was accepted. */
  accepted: Ballot;
  /** The value accepted under `accepted`; null if there is none. */
  stored: StoredValue | null;
  /** The wall time of the last prepare, accept, opening or repair on this store. */
  touched: Microseconds;
  /**
   * An extension of the expiry that was written without a ballot. The latest one on a majority applies even if the
   * value has an earlier expiry, and it is kept until the replica is dropped (§6.4).
   */
  extendedUntil?: Microseconds;
};

/** What a store keeps in memory of a value that is on disk only: its expiry, and the size of its record in bytes. */
export type ValueOnDisk = { expiresAt: Microseconds; bytes: number };
/** A replica as a store keeps it in memory. */
export type ResidentReplica = Omit<Replica, 'stored'> & { stored: StoredValue | ValueOnDisk | null };

/** Whether the value of a replica is on disk only. */
export const isOnDisk = (stored: ResidentReplica['stored']): stored is ValueOnDisk =>
  stored !== null && 'bytes' in stored;

/** The range of the wall clocks of several stores: a wrong clock on one of them must not expire a value (§6.4). */
export type WallClocks = { min: Microseconds; max: Microseconds };

/** The size of a majority of `n`. */
export const majority = (n: number): number => Math.floor(n / 2) + 1;

/** The expiry of a value with its extension; 0 for a removed value, which no earlier extension brings back. */
export const effectiveExpiry = (expiresAt: Microseconds, extendedUntil: Microseconds): Microseconds =>
  expiresAt === 0 ? 0 : Math.max(expiresAt, extendedUntil);

/** The range of the wall clocks of several answers; there must be at least one. */
export const wallClocksOf = (walls: Microseconds[]): WallClocks => ({
  min: Math.min(...walls),
  max: Math.max(...walls),
});
