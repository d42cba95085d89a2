/** Compaction (§6.1): copies the live records of some record files into one base file, then removes these files. */
import { planCompaction } from './compaction-plan.js';
import { removeRecordFile, writeBaseFile, type RecordFolder } from './record-folder.js';
import { recordFormat, type LinePlace } from './record-format.js';
import type { RecordReader } from './record-reader.js';
import { isTombstone, type NewestRecord, type RecordFile, type RecordTable } from './record-table.js';

/** Copied records by key: the table's entry when the copy began, and its source file. */
type MovedRecords<R> = Map<string, { record: NewestRecord<R>; from: RecordFile }>;

/** For removed keys whose tombstone is in another file: counts the given files that hold an older version. */
const countOlderVersions = <R>({ tombstones }: RecordTable<R>, files: RecordFile[]): Map<string, number> => {
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
const selectLive = <R>(table: RecordTable<R>, files: RecordFile[]): MovedRecords<R> => {
  const older = countOlderVersions(table, files);
  const moved: MovedRecords<R> = new Map();
  for (const file of files)
    for (const key of file.keys) {
      const record = table.newest(key);
      if (record?.file !== file) continue;
      if (isTombstone(record) && record.olderVersions <= (older.get(key) ?? 0)) continue;
      moved.set(key, { record, from: file });
    }
  return moved;
};

/** Returns the lines of the copied records: from memory if all of the value is there, else from the record's file. */
const linesOf = async <T, R>(
  { codec, residency }: RecordFolder<T, R>,
  { readBaseLine }: RecordReader<T, R>,
  moved: MovedRecords<R>,
): Promise<string[]> => {
  const lines: string[] = [];
  for (const [key, { record }] of moved) {
    const { batch } = record;
    if (isTombstone(record)) {
      lines.push(recordFormat.baseLine<T>({ key, batch }, codec));
      continue;
    }
    const value = residency.toWhole(record.value);
    lines.push(value === undefined ? await readBaseLine(record) : recordFormat.baseLine({ key, batch, value }, codec));
  }
  return lines;
};

/** Updates the table after the base file has been written and replaces the compacted files. */
const applyCompaction = <R>(
  table: RecordTable<R>,
  compacted: RecordFile[],
  moved: MovedRecords<R>,
  baseNumber: number,
  places: LinePlace[],
): void => {
  const removed = new Set(compacted);
  for (const kind of ['batch', 'base'] as const)
    table.files[kind] = table.files[kind].filter((file) => !removed.has(file));
  const baseFile = table.addFile('base', baseNumber);
  for (const [i, { record }] of [...moved.values()].entries()) table.move(record, baseFile, places[i]!);
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
const compactFiles = async <T, R>(
  folder: RecordFolder<T, R>,
  reader: RecordReader<T, R>,
  compacted: RecordFile[],
): Promise<void> => {
  const { disk, table, next } = folder;
  const moved = selectLive(table, compacted);
  const lines = await linesOf(folder, reader, moved);
  const baseNumber = next.base++;
  const lastMergedBatch = Math.max(
    ...compacted.filter(({ kind }) => kind === 'batch').map(({ number }) => number),
    (table.files.batch[0]?.number ?? next.batch) - 1,
  );
  const otherBases = table.files.base.filter((file) => !compacted.includes(file)).map(({ number }) => number);
  const header = { lastMergedBatch, baseFiles: [...otherBases, baseNumber] };
  const places = await writeBaseFile(disk, baseNumber, header, lines);
  applyCompaction(table, compacted, moved, baseNumber, places);
  folder.counters.merges += 1;
  for (const { kind, number } of compacted) await removeRecordFile(disk, kind, number);
};

/** Opens the compaction of a folder. The returned function runs all compactions that are due, one run at a time. */
export const openCompaction = <T, R>(folder: RecordFolder<T, R>, reader: RecordReader<T, R>): (() => Promise<void>) => {
  const { limits, table } = folder;
  let running = false;
  /** Batches, written or failed, that have to pass until compaction is tried again after a failure. */
  let suspendedFor = 0;
  const plan = (): RecordFile[] | undefined =>
    planCompaction({ batches: table.files.batch, bases: table.files.base }, limits);
  return async () => {
    if (running) return;
    if (suspendedFor > 0) {
      suspendedFor -= 1;
      return;
    }
    running = true;
    try {
      for (let files = plan(); files; files = plan()) await compactFiles(folder, reader, files);
    } catch {
      // A full disk or a failed read is tried again; after a failed write the durable store accepts no more writes.
      suspendedFor = limits.batchFiles >> 2;
    }
    running = false;
  };
};
