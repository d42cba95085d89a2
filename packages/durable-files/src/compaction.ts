/** Compaction (§6.1): copies the live records of some record files into one base file, then removes these files. */
import { planCompaction } from './compaction-plan.js';
import { isDiskFull } from './errors.js';
import { removeRecordFile, writeBaseFile, type RecordFolder } from './record-folder.js';
import { recordFormat } from './record-format.js';
import { isTombstone, type NewestRecord, type RecordFile, type RecordTable } from './record-table.js';

/** Copied records by key: the table's entry when the copy began, its line in the base file, and its source file. */
type MovedRecords<T> = Map<string, { record: NewestRecord<T>; line: string; from: RecordFile }>;

/** For removed keys whose tombstone is in another file: counts the given files that hold an older version. */
const countOlderVersions = <T>({ tombstones }: RecordTable<T>, files: RecordFile[]): Map<string, number> => {
  const older = new Map<string, number>();
  for (const file of files)
    for (const key of file.keys) {
      const tombstone = tombstones.get(key);
      if (tombstone && tombstone.file !== file) older.set(key, (older.get(key) ?? 0) + 1);
    }
  return older;
};

/**
 * Selects the records of these files that are the newest version of their key. Drops a tombstone if all older versions
 * of its key are in these files.
 */
const selectLive = <T>({ table, codec }: RecordFolder<T>, files: RecordFile[]): MovedRecords<T> => {
  const older = countOlderVersions(table, files);
  const moved: MovedRecords<T> = new Map();
  for (const file of files)
    for (const key of file.keys) {
      const record = table.newest(key);
      if (record?.file !== file) continue;
      if (isTombstone(record) && record.olderVersions <= (older.get(key) ?? 0)) continue;
      const { batch, value } = record;
      const line = recordFormat.baseLine<T>(value === undefined ? { key, batch } : { key, batch, value }, codec);
      moved.set(key, { record, line, from: file });
    }
  return moved;
};

/** Updates the table after the base file has been written and replaces the compacted files. */
const applyCompaction = <T>(
  table: RecordTable<T>,
  compacted: RecordFile[],
  moved: MovedRecords<T>,
  baseNumber: number,
): void => {
  const removed = new Set(compacted);
  for (const kind of ['batch', 'base'] as const)
    table.files[kind] = table.files[kind].filter((file) => !removed.has(file));
  const baseFile = table.addFile('base', baseNumber);
  for (const { record, line } of moved.values()) table.move(record, baseFile, line.length);
  for (const file of compacted)
    for (const key of file.keys) {
      if (moved.get(key)?.from === file) continue;
      const record = table.newest(key);
      if (record && record.file !== file) table.releaseOlder(record);
    }
  for (const file of compacted)
    for (const key of file.keys) if (table.tombstones.get(key)?.file === file) table.tombstones.delete(key);
};

/** Compacts some files into one base file. Takes effect atomically when the base file appears under its name. */
const compactFiles = async <T>(folder: RecordFolder<T>, compacted: RecordFile[]): Promise<void> => {
  const { disk, table, next } = folder;
  const moved = selectLive(folder, compacted);
  const baseNumber = next.base++;
  const lastMergedBatch = Math.max(
    ...compacted.filter(({ kind }) => kind === 'batch').map(({ number }) => number),
    (table.files.batch[0]?.number ?? next.batch) - 1,
  );
  const otherBases = table.files.base.filter((file) => !compacted.includes(file)).map(({ number }) => number);
  const lines = [...moved.values()].map(({ line }) => line);
  await writeBaseFile(disk, baseNumber, { lastMergedBatch, baseFiles: [...otherBases, baseNumber] }, lines);
  applyCompaction(table, compacted, moved, baseNumber);
  folder.counters.merges += 1;
  for (const { kind, number } of compacted) await removeRecordFile(disk, kind, number);
};

/** Opens the compaction of a folder. The returned function runs all compactions that are due, one run at a time. */
export const openCompaction = <T>(folder: RecordFolder<T>): (() => Promise<void>) => {
  const { limits, table, next } = folder;
  let running = false;
  /** After a full disk, compaction is suspended until this batch. */
  let resumeAtBatch = 0;
  const plan = (): RecordFile[] | undefined =>
    planCompaction({ batches: table.files.batch, bases: table.files.base }, limits);
  return async () => {
    if (running || next.batch < resumeAtBatch) return;
    running = true;
    try {
      for (let files = plan(); files; files = plan()) await compactFiles(folder, files);
    } catch (error) {
      // A full disk is retried some batches later; after any other error the durable store accepts no more writes.
      resumeAtBatch = isDiskFull(error) ? next.batch + (limits.batchFiles >> 2) : Infinity;
    }
    running = false;
  };
};
