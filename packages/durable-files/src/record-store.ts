/**
 * Records by key (§6.1): written to batch files by group commit (batch-writer.ts), and merged into base files by
 * incremental compaction (compaction.ts).
 */
import { openBatchReservation } from './batch-reservation.js';
import { openBatchWriter } from './batch-writer.js';
import { openCompaction } from './compaction.js';
import type { DurableStore } from './durable-store.js';
import { moveLegacyRecords, removeLegacyDocuments } from './legacy-documents.js';
import { checkedLimits, type Limits } from './limits.js';
import type { RecordFolder } from './record-folder.js';
import type { Residency, ValueCodec } from './record-format.js';
import { loadRecords } from './record-loader.js';
import { openRecentValues } from './recent-values.js';
import { openRecordReader } from './record-reader.js';
import { openRecordTable, type RecordIndex } from './record-table.js';

/** The records of one folder. Writes fail with the disk's codes `full` and `failed`. */
export type RecordStore<T> = {
  /** Resolves once the batch with this version is synced and the index shows it. */
  write: (key: string, value: T) => Promise<void>;
  /** Removes a key by writing a tombstone; resolves as `write` does. */
  remove: (key: string) => Promise<void>;
  /** Returns the newest synced value of a key. Fails with the disk's code `failed` and with `damaged-record`. */
  read: (key: string) => Promise<T | undefined>;
  /** Adds a record of the former storage format, one document per record. Call before `load`. */
  addLegacy: (key: string, stored: unknown) => void;
  /** Loads the folder; returns false if it is damaged (§6.1). */
  load: () => Promise<boolean>;
  /** Resets all state in memory, after the folder was erased. */
  clear: () => void;
  /** Batches and records written, compactions (`merges`), live files, their bytes, and the bytes of live records. */
  counts: () => { batches: number; records: number; merges: number; files: number; bytes: number; live: number };
};

/** Options of `recordStore.open`; the index receives the synced records, with what stays in memory of their values. */
type RecordStoreOptions<T, R> = {
  durable: DurableStore;
  index: RecordIndex<R>;
  /** Prefix of the names of documents in the former storage format. */
  prefix: string;
  limits?: Partial<Limits>;
  /** Conversion of values for storage; by default values are stored as they are. */
  codec?: ValueCodec<T>;
  /** Which values are read from their files when they are needed. */
  residency: Residency<T, R>;
  /** Bytes of values that stay in memory for a while after they were written or read, although others do not. */
  recentBytes?: number;
};
const defaultRecentBytes = 12 << 20;

const identityCodec = <T>(): ValueCodec<T> => ({ encode: (value) => value, decode: (stored) => stored as T });
const wholeInMemory = <T>(): Residency<T, T> => ({ toResident: (value) => value, toWhole: (resident) => resident });

const openPartlyResident = <T, R>(options: RecordStoreOptions<T, R>): RecordStore<T> => {
  const { durable, index, prefix, limits, codec, residency, recentBytes = defaultRecentBytes } = options;
  const { disk } = durable;
  const folder: RecordFolder<T, R> = {
    disk,
    limits: checkedLimits(limits),
    codec: codec ?? identityCodec<T>(),
    residency,
    table: openRecordTable(index),
    recent: openRecentValues(recentBytes),
    next: { batch: 1, base: 1 },
    counters: { batches: 0, records: 0, merges: 0 },
  };
  const { table, next, counters } = folder;
  const reservation = openBatchReservation(disk, folder.limits.reservedFiles);
  const reader = openRecordReader(folder, durable);
  const compact = openCompaction(folder, reader);
  const writer = openBatchWriter(folder, reservation, () => void compact());
  const legacy = new Map<string, T>();
  const load = async (): Promise<boolean> => {
    const header = await loadRecords(folder, reservation);
    if (!header) {
      durable.reportCorruption();
      return false;
    }
    if (header.baseFiles.length === 0 && legacy.size > 0) await moveLegacyRecords(folder, legacy);
    legacy.clear();
    void removeLegacyDocuments(durable, prefix);
    return true;
  };
  return {
    write: writer.write,
    remove: (key) => writer.write(key, undefined),
    read: reader.read,
    addLegacy: (key, stored) => void legacy.set(key, folder.codec.decode(stored)),
    load,
    clear: () => {
      table.clear();
      legacy.clear();
      writer.clear();
      folder.recent.clear();
      next.batch = 1;
      next.base = 1;
      reservation.restore(0);
    },
    counts: () => ({ ...counters, ...table.sizes() }),
  };
};

/** Records in a data folder. */
export const recordStore = {
  /** Opens the records of a folder, with all values in memory. Throws `invalid-limits`. */
  open: <T>(options: Omit<RecordStoreOptions<T, T>, 'residency' | 'recentBytes'>): RecordStore<T> =>
    openPartlyResident<T, T>({ ...options, residency: wholeInMemory<T>() }),
  /** Opens the records of a folder, with the values in memory that `residency` keeps there. Throws `invalid-limits`. */
  openPartlyResident,
};
