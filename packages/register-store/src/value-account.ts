/**
 * The memory that large values take in a store. They are refused beyond a limit, so that a few large values neither end
 * the store nor keep the many small ones out.
 */
import { registerErrors } from './errors.js';
import type { Replica } from './types.js';

/** A value of at least this approximate size counts as large, in characters. */
const largeValueSize = 512 << 10;
/** All large values together, in characters; writing one takes several times its size for a moment. */
const maxLargeValues = 24 << 20;

/** The large values of a store. */
export type LargeValues = {
  /** Records the replica of a key, in place of the earlier one; undefined removes it. */
  record: (key: string, replica: Replica | undefined) => void;
  clear: () => void;
  /** Runs the write of a replica; throws `no-memory` if the large values would be over their limit. */
  write: (key: string, replica: Replica, write: () => Promise<void>) => Promise<void>;
  /** Their size together, in characters. */
  size: () => number;
};

/** The approximate size of a value, in characters: the lengths of its texts. */
const sizeOf = (value: unknown): number => {
  if (typeof value === 'string') return value.length;
  if (typeof value !== 'object' || value === null) return 0;
  let size = 0;
  for (const part of Object.values(value)) size += sizeOf(part);
  return size;
};
const largeSizeOf = (replica: Replica | undefined): number => {
  const size = sizeOf(replica?.stored?.value);
  return size >= largeValueSize ? size : 0;
};

/** Opens the account of a store's large values. */
export const openLargeValues = (): LargeValues => {
  const sizes = new Map<string, number>();
  let recorded = 0;
  let inProgress = 0;
  const record: LargeValues['record'] = (key, replica) => {
    const size = largeSizeOf(replica);
    recorded += size - (sizes.get(key) ?? 0);
    if (size > 0) sizes.set(key, size);
    else sizes.delete(key);
  };
  return {
    record,
    clear: () => {
      sizes.clear();
      recorded = 0;
    },
    write: async (key, replica, write) => {
      const added = Math.max(0, largeSizeOf(replica) - (sizes.get(key) ?? 0));
      if (added > 0 && recorded + inProgress + added > maxLargeValues)
        throw registerErrors.create('no-memory', { step: 'store.write' });
      inProgress += added;
      try {
        await write();
      } finally {
        inProgress -= added;
      }
    },
    size: () => recorded,
  };
};
