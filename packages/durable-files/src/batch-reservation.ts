/**
 * Preallocates the directory entries of batch files (§6.1). Many empty files are created with one sync of the folder,
 * so that writing a batch later needs only the sync of its own file.
 */
import type { Disk } from '@thornsail/runtime';
import { recordFormat } from './record-format.js';

/** Tracks which empty batch files have been created ahead of their use. Batches are numbered from 1. */
export type BatchReservation = {
  /** Resolves once the file name of this batch is durable. Fails as `Disk.reserveFiles` does. */
  ensureReserved: (batch: number) => Promise<void>;
  /**
   * Reserves more names in the background when few are left. A failure is ignored: `ensureReserved` tries again.
   */
  replenish: (nextBatch: number) => void;
  /** Sets the state found in the folder at startup: all names up to this batch are durable. */
  restore: (lastBatch: number) => void;
};

/** Opens the reservation of a folder: reserves `count` names at a time, and more once fewer than half are left. */
export const openBatchReservation = (disk: Pick<Disk, 'reserveFiles'>, count: number): BatchReservation => {
  let lastReserved = 0;
  let inFlight: Promise<void> | undefined;
  const reserve = async (nextBatch: number): Promise<void> => {
    const first = Math.max(lastReserved + 1, nextBatch);
    const last = nextBatch + count - 1;
    const batches = Array.from({ length: last - first + 1 }, (_, i) => first + i);
    await disk.reserveFiles(batches.map((batch) => recordFormat.fileName('batch', batch)));
    lastReserved = last;
  };
  const reserveOnce = (nextBatch: number): Promise<void> => {
    inFlight ??= reserve(nextBatch).finally(() => (inFlight = undefined));
    return inFlight;
  };
  return {
    ensureReserved: async (batch) => {
      while (lastReserved < batch) await reserveOnce(batch);
    },
    replenish: (nextBatch) => {
      if (lastReserved - nextBatch < count / 2) void reserveOnce(nextBatch).catch(() => undefined);
    },
    restore: (lastBatch) => {
      lastReserved = lastBatch;
    },
  };
};
