/**
 * Group commit (§6.1): all changes that are queued while a sync is in progress are written together into one file, a
 * batch, with one sync. Batch numbers have no gaps; the files are created in advance (batch-reservation.ts).
 */
import type { BatchReservation } from './batch-reservation.js';
import { recordFormat, type StoredRecord } from './record-format.js';
import type { RecordFolder } from './record-folder.js';

/**
 * A change queued for the next batch. A later change of the same key replaces its value; the callers of both are
 * acknowledged by the same sync.
 */
type PendingChange<T> = {
  value: T | undefined;
  /** The change as a line of the batch file. */
  line: string;
  resolve: (() => void)[];
  reject: ((error: Error) => void)[];
};
/** Queued changes by key, in the order in which their keys were first queued. */
type PendingChanges<T> = Map<string, PendingChange<T>>;
/** Writes the changes of one folder in batches. */
export type BatchWriter<T> = {
  /**
   * Resolves once the batch with this value is synced and indexed; `undefined` removes the key. Fails as
   * `Disk.reserveFiles` and `Disk.writeReserved` do.
   */
  write: (key: string, value: T | undefined) => Promise<void>;
  /** Discards the queued changes; their promises never settle. */
  clear: () => void;
};

/** Removes the changes of the next batch from the queue: at most `batchBytes` characters, but at least one change. */
const takeBatch = <T>(pending: PendingChanges<T>, batchBytes: number): PendingChanges<T> => {
  const taken: PendingChanges<T> = new Map();
  let bytes = 0;
  for (const [key, change] of pending) {
    if (taken.size > 0 && bytes + change.line.length > batchBytes) break;
    bytes += change.line.length;
    taken.set(key, change);
    pending.delete(key);
  }
  return taken;
};

/** Adds the records of a synced batch to the table. */
const applyBatch = <T>({ table, next, counters }: RecordFolder<T>, batch: PendingChanges<T>): void => {
  const file = table.addFile('batch', next.batch);
  for (const [key, { value, line }] of batch) {
    const record: StoredRecord<T> = { key, batch: next.batch, ...(value === undefined ? {} : { value }) };
    table.add(record, file, line.length);
  }
  next.batch += 1;
  counters.batches += 1;
  counters.records += batch.size;
};

/** Opens the writer of a folder. `onBatch` is called after each batch, whether its write succeeded or failed. */
export const openBatchWriter = <T>(
  folder: RecordFolder<T>,
  reservation: BatchReservation,
  onBatch: () => void,
): BatchWriter<T> => {
  const { disk, limits, next, codec } = folder;
  let pending: PendingChanges<T> = new Map();
  let committing = false;
  const take = (): PendingChanges<T> => takeBatch(pending, limits.batchBytes);
  const commitBatch = async (): Promise<void> => {
    const name = recordFormat.fileName('batch', next.batch);
    let batch: PendingChanges<T> | undefined;
    try {
      await reservation.ensureReserved(next.batch);
      await disk.writeReserved(name, () => recordFormat.seal([...(batch = take()).values()].map(({ line }) => line)));
    } catch (error) {
      for (const { reject } of (batch ?? take()).values())
        for (const rejectCaller of reject) rejectCaller(error as Error);
      return;
    }
    applyBatch(folder, batch!);
    reservation.replenish(next.batch);
    for (const { resolve } of batch!.values()) for (const resolveCaller of resolve) resolveCaller();
  };
  const commit = async (): Promise<void> => {
    if (committing) return;
    committing = true;
    while (pending.size > 0) {
      await commitBatch();
      onBatch();
    }
    committing = false;
  };
  return {
    write: (key, value) =>
      new Promise((resolve, reject) => {
        const previous = pending.get(key);
        pending.set(key, {
          value,
          line: recordFormat.batchLine(key, value, codec),
          resolve: [...(previous?.resolve ?? []), resolve],
          reject: [...(previous?.reject ?? []), reject],
        });
        void commit();
      }),
    clear: () => {
      pending = new Map();
    },
  };
};
