/** A disk that accepts no more writes once a write has failed (§6.1). */
import type { Disk } from '@thornsail/runtime';
import { isDiskFull } from './errors.js';

/**
 * Wraps a disk. `onFailed` is called with the error of the first write that failed for a reason other than a full disk;
 * every later write fails with the same error. The contents of the disk are unknown then, and a retry that appears to
 * succeed doesn't prove that the data is durable. `onSynced` is called after each successful write.
 */
export const guardDisk = (folder: Disk, onSynced: () => void, onFailed: (error: Error) => void): Disk => {
  let failed: Error | undefined;
  const guardWrite = async (write: () => Promise<void>): Promise<void> => {
    if (failed) throw failed;
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
    writeDocument: (name, text) => guardWrite(() => folder.writeDocument(name, text)),
    reserveFiles: (names) => guardWrite(() => folder.reserveFiles(names)),
    writeReserved: (name, text) => guardWrite(() => folder.writeReserved(name, text)),
  };
};
