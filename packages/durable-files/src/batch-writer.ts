/**
 * Group commit (§6.1): all changes that are queued while a sync is in progress are written together into one file, a
 * batch, with one sync. Batch numbers have no gaps; the files are created in advance (batch-reservation.ts).
 */
import type { BatchReservation } from './batch-reservation.js';
import { recordFormat, type LinePlace, type StoredRecord } from './record-format.js';
import type { RecordFolder } from './record-folder.js';

/**
 * A change queued for the next batch. A later change of the same key replaces its value; the callers of both are
 * acknowledged by the same sync.
 */
type PendingChange<T> = {
  /** Undefined if the key is removed. */
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
const applyBatch = <T, R>(folder: RecordFolder<T, R>, batch: PendingChanges<T>, places: LinePlace[]): void => {
  const { table, next, counters, residency, recent } = folder;
  const file = table.addFile('batch', next.batch);
  for (const [i, [key, { value }]] of [...batch].entries()) {
    const place = places[i]!;
    const record: StoredRecord<R> = { key, batch: next.batch };
    if (value !== undefined) {
      record.value = residency.toResident(value, place.bytes);
      if (residency.toWhole(record.value) === undefined) recent.set(key, next.batch, value, place.bytes);
    }
    table.add(record, file, place);
  }
  next.batch += 1;
  counters.batches += 1;
  counters.records += batch.size;
};

/** Opens the writer of a folder. `onBatch` is called after each batch, whether its write succeeded or failed. */
export const openBatchWriter = <T, R>(
  folder: RecordFolder<T, R>,
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
    let places: LinePlace[] = [];
    const sealBatch = (): string => {
      batch = take();
      const lines = [...batch.values()].map(({ line }) => line);
      const text = recordFormat.seal(lines);
      places = recordFormat.linePlaces(text, lines);
      return text;
    };
    try {
      await reservation.ensureReserved(next.batch);
      await disk.writeReserved(name, sealBatch);
    } catch (error) {
      for (const { reject } of (batch ?? take()).values())
        for (const rejectCaller of reject) rejectCaller(error as Error);
      return;
    }
    applyBatch(folder, batch!, places);
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
        const line = recordFormat.batchLine(key, value, codec);
        pending.set(key, {
          value,
          line,
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
