/** A disk that is not written again once a write has failed (§6.1). */
import type { Disk } from '@thornsail/runtime';
import { isDiskFull } from './errors.js';

/**
 * `onFailed` is told of the first write that failed for any reason but want of room; every later write fails with the
 * same error. What the disk holds is not known then, and a second attempt that seems to work would prove nothing.
 * `onSynced` is called after each write that succeeded.
 */
export const guardDisk = (folder: Disk, onSynced: () => void, onFailed: (error: Error) => void): Disk => {
  let failed: Error | undefined;
  const guarded = async (work: () => Promise<void>): Promise<void> => {
    if (failed) throw failed;
    try {
      await work();
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
    writeDocument: (name, text) => guarded(() => folder.writeDocument(name, text)),
    reserveFiles: (names) => guarded(() => folder.reserveFiles(names)),
    writeReserved: (name, text) => guarded(() => folder.writeReserved(name, text)),
  };
};
