/** Loads the record files of a folder at startup, and distinguishes a torn last batch from a damaged folder (§6.1). */
import type { BatchReservation } from './batch-reservation.js';
import { forEachConcurrent } from './for-each-concurrent.js';
import { removeRecordFile, type RecordFolder } from './record-folder.js';
import { recordFormat, type BaseHeader, type RecordFileKind } from './record-format.js';

/** Files read concurrently; low, because each is held in memory whole while it is read. */
const concurrentReads = 8;

const readLines = async <T>(
  { disk }: RecordFolder<T>,
  kind: RecordFileKind,
  number: number,
): Promise<string[] | undefined> => recordFormat.unseal(await disk.read(recordFormat.fileName(kind, number)));

/** Loads the live base files into the table; undefined if one is missing or damaged. */
const loadBases = async <T>(folder: RecordFolder<T>, files: string[]): Promise<BaseHeader | undefined> => {
  const { table, next, codec } = folder;
  const last = recordFormat.fileNumbers(files, 'base').pop();
  next.base = (last ?? 0) + 1;
  if (last === undefined) return { lastMergedBatch: 0, baseFiles: [] };
  const headerLine = (await readLines(folder, 'base', last))?.[0];
  if (headerLine === undefined) return undefined;
  const header = recordFormat.readHeaderLine(headerLine);
  let isValid = true;
  await forEachConcurrent(header.baseFiles, concurrentReads, async (number) => {
    const lines = await readLines(folder, 'base', number);
    if (!lines) isValid = false;
    const file = table.addFile('base', number);
    for (const line of lines?.slice(1) ?? []) table.add(recordFormat.readBaseLine(line, codec), file, line.length);
  });
  return isValid ? header : undefined;
};

/** Loads these batches into the table; returns, by batch number, whether its file is empty. */
const readBatches = async <T>(folder: RecordFolder<T>, batches: number[]): Promise<Map<number, { empty: boolean }>> => {
  const { disk, table, codec } = folder;
  const batchFiles = new Map<number, { empty: boolean }>();
  await forEachConcurrent(batches, concurrentReads, async (batch) => {
    const raw = await disk.read(recordFormat.fileName('batch', batch));
    const lines = recordFormat.unseal(raw);
    batchFiles.set(batch, { empty: raw === '' });
    if (!lines) return;
    const file = table.addFile('batch', batch);
    for (const line of lines) table.add(recordFormat.readBatchLine(line, batch, codec), file, line.length);
  });
  return batchFiles;
};

/**
 * Loads the batches after the last merged one. They must have no gap up to the last non-empty file; the empty files
 * after it are reservations. That last file may be torn: its batch was not acknowledged then. Returns false if any
 * other file is missing or damaged.
 */
const loadBatches = async <T>(
  folder: RecordFolder<T>,
  reservation: BatchReservation,
  files: string[],
  lastMerged: number,
): Promise<boolean> => {
  const { disk, limits, table, next } = folder;
  const batches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch > lastMerged);
  const batchFiles = await readBatches(folder, batches);
  const last = Math.max(lastMerged, ...batches.filter((batch) => !batchFiles.get(batch)!.empty));
  const valid = new Set(table.files.batch.map(({ number }) => number));
  for (let batch = lastMerged + 1; batch < last; batch++) if (!valid.has(batch)) return false;
  // Names are reserved from the next batch on, so names further ahead mean that earlier files were lost.
  if (batches.length > 0 && last === lastMerged && batches[0]! > lastMerged + limits.reservedFiles) return false;
  next.batch = last > lastMerged && !valid.has(last) ? last : last + 1;
  let lastReserved = last;
  while (batchFiles.has(lastReserved + 1)) lastReserved += 1;
  reservation.restore(lastReserved);
  // A killed process may not have synced the last batch. It is visible from now on, so it must be durable.
  if (valid.has(last)) await disk.syncExisting([recordFormat.fileName('batch', last)]);
  return true;
};

/** Removes files that are no longer live. Files that remain are harmless. */
const removeObsolete = async <T>(
  { disk, table }: RecordFolder<T>,
  files: string[],
  lastMerged: number,
): Promise<void> => {
  const bases = new Set(table.files.base.map(({ number }) => number));
  const oldBatches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch <= lastMerged);
  const oldBases = recordFormat.fileNumbers(files, 'base').filter((base) => !bases.has(base));
  await forEachConcurrent(oldBatches, concurrentReads, (batch) => removeRecordFile(disk, 'batch', batch));
  await forEachConcurrent(oldBases, concurrentReads, (base) => removeRecordFile(disk, 'base', base));
};

/** Loads the folder into its table; returns undefined if it is damaged. Fails with the disk's code `failed`. */
export const loadRecords = async <T>(
  folder: RecordFolder<T>,
  reservation: BatchReservation,
): Promise<BaseHeader | undefined> => {
  const { disk, table } = folder;
  const files = await disk.list();
  const header = await loadBases(folder, files);
  if (!header || !(await loadBatches(folder, reservation, files, header.lastMergedBatch))) return undefined;
  for (const kind of ['batch', 'base'] as const) table.files[kind].sort((a, b) => a.number - b.number);
  await removeObsolete(folder, files, header.lastMergedBatch);
  return header;
};
