/**
 * The bytes of the values that a store holds on disk, and of those that are in memory while they are written or read.
 * Beyond a limit values are refused, or wait, so that large ones neither end the store nor keep the small ones out.
 */
import { openMemoryBudget, withMemory } from '@thornsail/runtime';
import { registerErrors } from './errors.js';
import type { Replica } from './types.js';

/** Limits in bytes. A single value is written or read whatever its size. */
export type ValueLimits = {
  /** All values on disk together. */
  stored: number;
  /** The values that are being written, together; each takes several times its size in memory. */
  writing: number;
  /** The values that are being read, together. */
  reading: number;
};
/** The bytes of the values of a store. */
export type ValueAccount = {
  /** Records that a value on disk has replaced an earlier one; 0 for none. */
  replace: (earlierBytes: number, bytes: number) => void;
  clear: () => void;
  /**
   * Runs the write of a value in place of one of `earlierBytes`. Throws `no-memory` if too much is being written, and
   * `no-space` if the values on disk would be over their limit.
   */
  write: (replica: Replica, earlierBytes: number, write: () => Promise<void>) => Promise<void>;
  /** Reads values of this size together, once there is memory for them. */
  read: <T>(bytes: number, read: () => Promise<T>) => Promise<T>;
  /** The values on disk together, in bytes. */
  stored: () => number;
  /** Whether little of the limit on disk is left, so that proposers should start nothing that ends with a new value. */
  isNearlyFull: () => boolean;
};

/** A record that is smaller, in bytes, stays in memory, and is not limited. */
export const minValueOnDisk = 1 << 10;

/** The limits used where none are given. */
export const defaultValueLimits: ValueLimits = { stored: 256 << 20, writing: 8 << 20, reading: 8 << 20 };

/** Share of the limit on disk beyond which a store tells that it is nearly full. */
const nearlyFullShare = 0.9;

/** The approximate size of a value, in characters: the lengths of its texts. */
const sizeOf = (value: unknown): number => {
  if (typeof value === 'string') return value.length;
  if (typeof value !== 'object' || value === null) return 0;
  let size = 0;
  for (const part of Object.values(value)) size += sizeOf(part);
  return size;
};

/** Opens the account of a store without values. */
export const openValueAccount = (limits: ValueLimits): ValueAccount => {
  const readMemory = openMemoryBudget(limits.reading, 0);
  let stored = 0;
  let writing = 0;
  /** By how much the writes in progress may raise `stored`. */
  let growth = 0;
  return {
    replace: (earlierBytes, bytes) => {
      stored += bytes - earlierBytes;
    },
    clear: () => {
      stored = 0;
    },
    write: async (replica, earlierBytes, write) => {
      const size = sizeOf(replica.stored?.value);
      if (size < minValueOnDisk) return write();
      if (writing > 0 && writing + size > limits.writing)
        throw registerErrors.create('no-memory', { step: 'store.write' });
      const added = Math.max(0, size - earlierBytes);
      if (added > 0 && stored + growth + added > limits.stored)
        throw registerErrors.create('no-space', { step: 'store.write' });
      writing += size;
      growth += added;
      try {
        await write();
      } finally {
        writing -= size;
        growth -= added;
      }
    },
    read: (bytes, read) => withMemory(readMemory, bytes, read),
    stored: () => stored,
    isNearlyFull: () => stored + growth > limits.stored * nearlyFullShare,
  };
};
