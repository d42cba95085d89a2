/** The values that were written or read last, of those that do not stay in memory: bounded in bytes (§6.1). */

/** Recent values by key. */
export type RecentValues<T> = {
  /** Returns the value that was written in this batch; undefined if it is not among the recent ones. */
  get: (key: string, batch: number) => T | undefined;
  /** Adds a value, whose record has `bytes`, and evicts the ones that were used least recently. */
  set: (key: string, batch: number, value: T, bytes: number) => void;
  clear: () => void;
};

type Entry<T> = { batch: number; value: T; bytes: number };

/** Opens an empty collection of at most `limit` bytes. */
export const openRecentValues = <T>(limit: number): RecentValues<T> => {
  /** The least recently used first. */
  const entries = new Map<string, Entry<T>>();
  let total = 0;
  const remove = (key: string): Entry<T> | undefined => {
    const entry = entries.get(key);
    if (!entry) return undefined;
    entries.delete(key);
    total -= entry.bytes;
    return entry;
  };
  const add = (key: string, entry: Entry<T>): void => {
    entries.set(key, entry);
    total += entry.bytes;
  };
  return {
    get: (key, batch) => {
      if (entries.get(key)?.batch !== batch) return undefined;
      const entry = remove(key)!;
      add(key, entry);
      return entry.value;
    },
    set: (key, batch, value, bytes) => {
      remove(key);
      if (bytes > limit) return;
      add(key, { batch, value, bytes });
      for (const oldest of entries.keys()) {
        if (total <= limit) break;
        remove(oldest);
      }
    },
    clear: () => {
      entries.clear();
      total = 0;
    },
  };
};
