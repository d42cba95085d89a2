/** Short locks within one process (§2.3). */

/** Runs `fn` once all earlier callers have ended; its outcome is the caller's. */
export type Lock = <T>(fn: () => Promise<T>) => Promise<T>;

const single = (): Lock => {
  let tail: Promise<unknown> = Promise.resolve();
  return (fn) => {
    const run = tail.then(fn, fn);
    tail = run.catch(() => undefined);
    return run;
  };
};

const keyed = (): (<T>(key: string, fn: () => Promise<T>) => Promise<T>) => {
  const inUse = new Map<string, { lock: Lock; users: number }>();
  return async (key, fn) => {
    const entry = inUse.get(key) ?? { lock: single(), users: 0 };
    inUse.set(key, entry);
    entry.users += 1;
    try {
      return await entry.lock(fn);
    } finally {
      entry.users -= 1;
      if (entry.users === 0) inUse.delete(key);
    }
  };
};

/** One holder at a time, first come first served. */
export const lock = {
  /** A single lock. */
  one: single,
  /** A lock for each key; keys that nobody uses take no memory. */
  keyed,
};
