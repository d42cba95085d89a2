/** A disk that accepts no more writes once a write has failed (§6.1). */
import { fault, type Disk } from '@thornsail/runtime';
import { isDiskFull } from './errors.js';

/** A disk that can be closed. */
export type GuardedDisk = Disk & {
  /** Refuses further writes as a full disk does, skips removals, and resolves once those that run have ended. */
  close: () => Promise<void>;
};
const closedFault = (): Error => fault.make({ step: 'disk.write', code: 'full' }, 'the node is closing');

/**
 * Wraps a disk. `onFailed` is called with the error of the first write that failed for a reason other than a full disk;
 * every later write fails with the same error. The contents of the disk are unknown then, and a retry that appears to
 * succeed doesn't prove that the data is durable. `onSynced` is called after each successful write.
 */
export const guardDisk = (folder: Disk, onSynced: () => void, onFailed: (error: Error) => void): GuardedDisk => {
  let failed: Error | undefined;
  let closed = false;
  const running = new Set<Promise<unknown>>();
  const track = async <T>(work: Promise<T>): Promise<T> => {
    const settled = work.catch(() => undefined);
    running.add(settled);
    try {
      return await work;
    } finally {
      running.delete(settled);
    }
  };
  const guardWrite = async (write: () => Promise<void>): Promise<void> => {
    if (failed) throw failed;
    if (closed) throw closedFault();
    try {
      await write();
      onSynced();
    } catch (error) {
      if (isDiskFull(error) || failed) throw error;
      failed = error as Error;
      onFailed(failed);
      throw error;
    }
  };
  return {
    ...folder,
    writeDocument: (name, text) => track(guardWrite(() => folder.writeDocument(name, text))),
    reserveFiles: (names) => track(guardWrite(() => folder.reserveFiles(names))),
    writeReserved: (name, text) => track(guardWrite(() => folder.writeReserved(name, text))),
    remove: (name) => (closed ? Promise.resolve() : track(folder.remove(name))),
    close: async () => {
      closed = true;
      await Promise.all(running);
    },
  };
};
