/** A disk in memory for the stores of a warm-up. */
import type { Disk } from '@thornsail/runtime';

/** Opens an empty disk, whose content is lost with the object. */
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
    readPart: (name, offset, length) => {
      const part = Buffer.from(files.get(name) ?? '').subarray(offset, offset + length);
      return Promise.resolve(part.length === length ? part.toString() : undefined);
    },
    size: (name) => Promise.resolve(files.has(name) ? Buffer.byteLength(files.get(name)!) : undefined),
    list: () => Promise.resolve([...files.keys()].sort()),
    remove: (name) => {
      files.delete(name);
      return done;
    },
  };
};
