/** Registers and their replicas (§6.2 to §6.4). All times are in microseconds; `...At` and `...Until` are wall time. */
import type { Address, Microseconds } from '@thornsail/runtime';
import type { Ballot } from './ballot.js';

/** One store of a group. */
export type Member = { id: string; at: Address };
/** The stores that hold all registers; `version` grows by one with each change of the group. */
export type Group = { version: number; members: Member[] };

/** The value of a register. */
export type StoredValue = {
  value: unknown;
  /** After this it counts as absent (§6.4); 0 if it was removed. */
  expiresAt: Microseconds;
  /** The last changes that made it, by name (§6.2). */
  operations: string[];
};
/** What one store has of a register. */
export type Replica = {
  promised: Ballot;
  accepted: Ballot;
  /** The value accepted under that ballot; null if there is none. */
  stored: StoredValue | null;
  /** When the store last wrote it. */
  touched: Microseconds;
  /**
   * An extension of the expiry that came without a ballot: the latest of a majority counts, whatever the value says,
   * and it ends with the replica alone (§6.4).
   */
  extendedUntil?: Microseconds;
};

/** Readings of the wall clocks of several stores: a moved clock on one of them must not expire a value (§6.4). */
export type WallClocks = { min: Microseconds; max: Microseconds };

/** How many of `n` are a majority. */
export const majority = (n: number): number => Math.floor(n / 2) + 1;

/** When a value expires, with an extension of it; a removed one stays so, whatever extended it before. */
export const effectiveExpiry = (expiresAt: Microseconds, extendedUntil: Microseconds): Microseconds =>
  expiresAt === 0 ? 0 : Math.max(expiresAt, extendedUntil);

/** The wall clocks of several answers; one at least. */
export const wallClocksOf = (walls: Microseconds[]): WallClocks => ({
  min: Math.min(...walls),
  max: Math.max(...walls),
});
