/**
 * Group commit (§6.1): all changes that wait while a sync is under way go together into one file, a batch, with one
 * sync. Batches are numbered without a gap, in files made before (batch-reservation.ts).
 */
import type { BatchReservation } from './batch-reservation.js';
import { recordFormat, type StoredRecord } from './record-format.js';
import type { RecordFolder } from './record-folder.js';

/** A change that waits for its batch; a later one of the same key takes its place, and both wait for the same sync. */
type PendingChange<T> = {
  value: T | undefined;
  line: string;
  resolve: (() => void)[];
  reject: ((error: Error) => void)[];
};
type Pending<T> = Map<string, PendingChange<T>>;
/** Writes the changes of one folder. */
export type BatchWriter<T> = {
  /** Resolves once the batch with this value, or removal, is synced and indexed. Fails as `Disk.put` does. */
  write: (key: string, value: T | undefined) => Promise<void>;
  /** Forgets the changes that wait. */
  clear: () => void;
};

/** Takes as many changes as one batch may hold, one at least, in the order in which their keys came. */
const takeBatch = <T>(pending: Pending<T>, batchBytes: number): Pending<T> => {
  const taken: Pending<T> = new Map();
  let bytes = 0;
  for (const [key, change] of pending) {
    if (taken.size > 0 && bytes + change.line.length > batchBytes) break;
    bytes += change.line.length;
    taken.set(key, change);
    pending.delete(key);
  }
  return taken;
};

/** Shows a synced batch in the table, and tells those who wait for it. */
const acknowledge = <T>({ table, next, counters }: RecordFolder<T>, batch: Pending<T>): void => {
  const file = table.addFile('batch', next.batch);
  for (const [key, { value, line }] of batch) {
    const record: StoredRecord<T> = { key, batch: next.batch, ...(value === undefined ? {} : { value }) };
    table.add(record, file, line.length);
  }
  next.batch += 1;
  counters.batches += 1;
  counters.records += batch.size;
};

/** Opens the writer of a folder. `onBatch` is called after each batch, whether it was written or not. */
export const openBatchWriter = <T>(
  folder: RecordFolder<T>,
  reservation: BatchReservation,
  onBatch: () => void,
): BatchWriter<T> => {
  const { disk, limits, next, codec } = folder;
  let pending: Pending<T> = new Map();
  let committing = false;
  const take = (): Pending<T> => takeBatch(pending, limits.batchBytes);
  const commitOne = async (): Promise<void> => {
    const name = recordFormat.fileName('batch', next.batch);
    let batch: Pending<T> | undefined;
    try {
      await reservation.upTo(next.batch);
      await disk.writeReserved(name, () => recordFormat.seal([...(batch = take()).values()].map(({ line }) => line)));
    } catch (error) {
      for (const { reject } of (batch ?? take()).values()) for (const fail of reject) fail(error as Error);
      return;
    }
    acknowledge(folder, batch!);
    reservation.ahead(next.batch);
    for (const { resolve } of batch!.values()) for (const done of resolve) done();
  };
  const commit = async (): Promise<void> => {
    if (committing) return;
    committing = true;
    while (pending.size > 0) {
      await commitOne();
      onBatch();
    }
    committing = false;
  };
  return {
    write: (key, value) =>
      new Promise((resolve, reject) => {
        const former = pending.get(key);
        pending.set(key, {
          value,
          line: recordFormat.batchLine(key, value, codec),
          resolve: [...(former?.resolve ?? []), resolve],
          reject: [...(former?.reject ?? []), reject],
        });
        void commit();
      }),
    clear: () => {
      pending = new Map();
    },
  };
};
