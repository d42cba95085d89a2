/** A disk in memory, for the stores of a warm-up: nothing that they write outlives it. */
import type { Disk } from '@thornsail/runtime';

/** Opens an empty disk. */
export const openMemoryDisk = (): Disk => {
  const files = new Map<string, string>();
  const done = Promise.resolve();
  return {
    writeDocument: (name, text) => {
      files.set(name, text);
      return done;
    },
    reserveFiles: (names) => {
      for (const name of names) if (!files.has(name)) files.set(name, '');
      return done;
    },
    writeReserved: (name, text) => {
      files.set(name, text());
      return done;
    },
    syncExisting: () => done,
    read: (name) => Promise.resolve(files.get(name)),
    list: () => Promise.resolve([...files.keys()].sort()),
    remove: (name) => {
      files.delete(name);
      return done;
    },
  };
};
