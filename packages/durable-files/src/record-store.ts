/**
 * Records by key (§6.1): group commit into batch files (batch-writer.ts), which compaction brings into base files
 * (compaction.ts) little by little.
 */
import { openBatchReservation } from './batch-reservation.js';
import { openBatchWriter } from './batch-writer.js';
import { openCompaction } from './compaction.js';
import type { DurableStore } from './durable-store.js';
import { moveLegacyRecords, removeLegacyDocuments } from './legacy-documents.js';
import { checkedLimits, type Limits } from './limits.js';
import type { RecordFolder } from './record-folder.js';
import type { ValueCodec } from './record-format.js';
import { loadRecords } from './record-loader.js';
import { openRecordTable, type RecordIndex } from './record-table.js';

/** The records of one folder. Writes fail with the disk's codes `full` and `failed`. */
export type RecordStore<T> = {
  /** Resolves once the batch with this version is synced and the index shows it. */
  write: (key: string, value: T) => Promise<void>;
  /** As `write`: a removal is a record, too. */
  remove: (key: string) => Promise<void>;
  /** A record of the form before batches, one document each; to be given before `load`. */
  addLegacy: (key: string, stored: unknown) => void;
  /** Reads the folder; false if it is damaged (§6.1). */
  load: () => Promise<boolean>;
  /** Forgets everything, after the folder was erased. */
  clear: () => void;
  /** Batches and records written, compactions, files in effect, their bytes, and the bytes that are still needed. */
  counts: () => { batches: number; records: number; merges: number; files: number; bytes: number; live: number };
};

type RecordStoreOptions<T> = {
  durable: DurableStore;
  index: RecordIndex<T>;
  /** What the names of documents of the former form begin with. */
  prefix: string;
  limits?: Partial<Limits>;
  /** As they are, unless it is given. */
  codec?: ValueCodec<T>;
};

const plainCodec = <T>(): ValueCodec<T> => ({ encode: (value) => value, decode: (stored) => stored as T });

const open = <T>({ durable, index, prefix, limits, codec }: RecordStoreOptions<T>): RecordStore<T> => {
  const { disk } = durable;
  const folder: RecordFolder<T> = {
    disk,
    limits: checkedLimits(limits),
    codec: codec ?? plainCodec<T>(),
    table: openRecordTable(index),
    next: { batch: 1, base: 1 },
    counters: { batches: 0, records: 0, merges: 0 },
  };
  const { table, next, counters } = folder;
  const reservation = openBatchReservation(disk, folder.limits.reservedFiles);
  const compact = openCompaction(folder);
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
    addLegacy: (key, stored) => void legacy.set(key, folder.codec.decode(stored)),
    load,
    clear: () => {
      table.clear();
      legacy.clear();
      writer.clear();
      next.batch = 1;
      next.base = 1;
      reservation.found(0);
    },
    counts: () => ({ ...counters, ...table.sizes() }),
  };
};

/** Records in a data folder. */
export const recordStore = {
  /** Opens the records of a folder. `prefix` names the documents of the former form. Throws `invalid-limits`. */
  open,
};
