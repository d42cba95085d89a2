/** Reads records whose values are not in memory from their files (§6.1). */
import { openMemoryBudget, withMemory } from '@thornsail/runtime';
import type { DurableStore } from './durable-store.js';
import { durableErrors } from './errors.js';
import type { RecordFolder } from './record-folder.js';
import { recordFormat } from './record-format.js';
import { isTombstone, type RecordEntry } from './record-table.js';

/** Reads the records of one folder. Reads fail with the disk's code `failed` and with `damaged-record`. */
export type RecordReader<T, R> = {
  /** Returns the newest value of a key; undefined if there is none. */
  read: (key: string) => Promise<T | undefined>;
  /** Returns the line of a record as a base file has it. Its file must not be removed meanwhile. */
  readBaseLine: (record: RecordEntry<R>) => Promise<string>;
};

/** Files that are open for reads at once; each takes a descriptor. */
const maxConcurrentReads = 32;

/** Opens the reader of a folder. */
export const openRecordReader = <T, R>(
  { disk, table, codec, residency, recent }: RecordFolder<T, R>,
  { reportCorruption }: Pick<DurableStore, 'reportCorruption'>,
): RecordReader<T, R> => {
  const openReads = openMemoryBudget(maxConcurrentReads, 0);
  /** Returns the line as a base file has it; undefined if it is not there. */
  const tryReadBaseLine = async ({ key, batch, file, offset, bytes }: RecordEntry<R>): Promise<string | undefined> => {
    const name = recordFormat.fileName(file.kind, file.number);
    const line = await withMemory(openReads, 1, () => disk.readPart(name, offset, bytes));
    if (line === undefined || file.kind === 'base') return line;
    return recordFormat.baseLineFromBatchLine(line, key, batch);
  };
  const damaged = (key: string): Error => {
    reportCorruption();
    return durableErrors.create('damaged-record', { step: 'records.read', peer: key });
  };
  const decode = (key: string, line: string): T => {
    try {
      const record = recordFormat.readBaseLine(line, codec);
      if (record.key === key && record.value !== undefined) return record.value;
    } catch {
      // Reported below, like the record of another key.
    }
    throw damaged(key);
  };
  return {
    read: async (key) => {
      for (;;) {
        const record = table.newest(key);
        if (!record || isTombstone(record)) return undefined;
        const { file, batch, bytes } = record;
        const inMemory = residency.toWhole(record.value) ?? recent.get(key, batch);
        if (inMemory !== undefined) return inMemory;
        const line = await tryReadBaseLine(record);
        if (line !== undefined) {
          const value = decode(key, line);
          recent.set(key, batch, value, bytes);
          return value;
        }
        // Compaction has removed the file meanwhile, unless the record is still there.
        if (table.newest(key) === record && record.file === file) throw damaged(key);
      }
    },
    readBaseLine: async (record) => {
      const line = await tryReadBaseLine(record);
      if (line === undefined) throw damaged(record.key);
      return line;
    },
  };
};
