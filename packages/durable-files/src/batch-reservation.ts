/**
 * Names of batch files, made before they are needed (§6.1): many with one sync of the folder, so that a batch needs the
 * sync of its own file alone.
 */
import type { Disk } from '@thornsail/runtime';
import { recordFormat } from './record-format.js';

/** The names of batch files that exist ahead of their use. Batches are numbered from 1. */
export type BatchReservation = {
  /** Resolves once the name of this batch is durable. Fails as `Disk.reserve` does. */
  upTo: (batch: number) => Promise<void>;
  /** Makes more names while there still are some; one that fails is tried again by `upTo`. */
  ahead: (nextBatch: number) => void;
  /** What a start found: all names up to this one are durable. */
  found: (lastBatch: number) => void;
};

/** Opens the reservation of a folder: `count` names are made at a time, and more when half of them are left. */
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
    upTo: async (batch) => {
      while (lastReserved < batch) await reserveOnce(batch);
    },
    ahead: (nextBatch) => {
      if (lastReserved - nextBatch < count / 2) void reserveOnce(nextBatch).catch(() => undefined);
    },
    found: (lastBatch) => {
      lastReserved = lastBatch;
    },
  };
};
