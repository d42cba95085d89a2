/** Asynchronous mutexes within one process (§2.3). */

/** Runs `task` once all earlier tasks have settled; settles as the task does. */
export type Lock = <T>(task: () => Promise<T>) => Promise<T>;

const single = (): Lock => {
  let tail: Promise<unknown> = Promise.resolve();
  return (task) => {
    const run = tail.then(task, task);
    tail = run.catch(() => undefined);
    return run;
  };
};

const keyed = (): (<T>(key: string, task: () => Promise<T>) => Promise<T>) => {
  const inUse = new Map<string, { lock: Lock; users: number }>();
  return async (key, task) => {
    const entry = inUse.get(key) ?? { lock: single(), users: 0 };
    inUse.set(key, entry);
    entry.users += 1;
    try {
      return await entry.lock(task);
    } finally {
      entry.users -= 1;
      if (entry.users === 0) inUse.delete(key);
    }
  };
};

/** Creates locks. Each has one holder at a time; waiting tasks run in the order of their calls. */
export const lock = {
  /** Creates a single lock. */
  single,
  /** Creates a lock per key; unused keys take no memory. */
  keyed,
};
