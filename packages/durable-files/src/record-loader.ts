/** Reads the record files of a folder at a start, and tells a torn last batch from a damaged disk (§6.1). */
import type { BatchReservation } from './batch-reservation.js';
import { forEachConcurrent } from './for-each-concurrent.js';
import { removeRecordFile, type RecordFolder } from './record-folder.js';
import { recordFormat, type BaseHeader, type RecordFileKind } from './record-format.js';

/** A few at a time: whole files are in memory while they are read. */
const filesAtOnce = 8;

const readLines = async <T>(
  { disk }: RecordFolder<T>,
  kind: RecordFileKind,
  number: number,
): Promise<string[] | undefined> => recordFormat.unseal(await disk.read(recordFormat.fileName(kind, number)));

/** Reads the base files in effect; undefined if one is missing or damaged. */
const loadBases = async <T>(folder: RecordFolder<T>, files: string[]): Promise<BaseHeader | undefined> => {
  const { table, next, codec } = folder;
  const last = recordFormat.fileNumbers(files, 'base').pop();
  next.base = (last ?? 0) + 1;
  if (last === undefined) return { lastMergedBatch: 0, baseFiles: [] };
  const headerLine = (await readLines(folder, 'base', last))?.[0];
  if (headerLine === undefined) return undefined;
  const header = recordFormat.readHeaderLine(headerLine);
  let isValid = true;
  await forEachConcurrent(header.baseFiles, filesAtOnce, async (number) => {
    const lines = await readLines(folder, 'base', number);
    if (!lines) isValid = false;
    const file = table.addFile('base', number);
    for (const line of lines?.slice(1) ?? []) table.add(recordFormat.readBaseLine(line, codec), file, line.length);
  });
  return isValid ? header : undefined;
};

/** Reads the batches of these numbers; gives those files that exist, and whether each is empty. */
const readBatches = async <T>(folder: RecordFolder<T>, batches: number[]): Promise<Map<number, { empty: boolean }>> => {
  const { disk, table, codec } = folder;
  const found = new Map<number, { empty: boolean }>();
  await forEachConcurrent(batches, filesAtOnce, async (batch) => {
    const raw = await disk.read(recordFormat.fileName('batch', batch));
    const lines = recordFormat.unseal(raw);
    found.set(batch, { empty: raw === '' });
    if (!lines) return;
    const file = table.addFile('batch', batch);
    for (const line of lines) table.add(recordFormat.readBatchLine(line, batch, codec), file, line.length);
  });
  return found;
};

/**
 * Reads the batches after the last merged one, which have no gap up to the last file that isn't empty: those after it
 * were only reserved. That one may be torn: it was not acknowledged then. False if any other is missing or damaged.
 */
const loadBatches = async <T>(
  folder: RecordFolder<T>,
  reservation: BatchReservation,
  files: string[],
  lastMerged: number,
): Promise<boolean> => {
  const { disk, limits, table, next } = folder;
  const batches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch > lastMerged);
  const found = await readBatches(folder, batches);
  const last = Math.max(lastMerged, ...batches.filter((batch) => !found.get(batch)!.empty));
  const valid = new Set(table.files.batch.map(({ number }) => number));
  for (let batch = lastMerged + 1; batch < last; batch++) if (!valid.has(batch)) return false;
  // Names are reserved from the next batch on: others further up show that what came before them is lost.
  if (batches.length > 0 && last === lastMerged && batches[0]! > lastMerged + limits.reservedFiles) return false;
  next.batch = last > lastMerged && !valid.has(last) ? last : last + 1;
  let lastReserved = last;
  while (found.has(lastReserved + 1)) lastReserved += 1;
  reservation.found(lastReserved);
  // A killed process may have left the last one without its sync: seen from now on, it must be durable.
  if (valid.has(last)) await disk.syncExisting([recordFormat.fileName('batch', last)]);
  return true;
};

/** Removes files that are no longer in effect; one that stays does no harm. */
const removeObsolete = async <T>(
  { disk, table }: RecordFolder<T>,
  files: string[],
  lastMerged: number,
): Promise<void> => {
  const bases = new Set(table.files.base.map(({ number }) => number));
  const oldBatches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch <= lastMerged);
  const oldBases = recordFormat.fileNumbers(files, 'base').filter((base) => !bases.has(base));
  await forEachConcurrent(oldBatches, filesAtOnce, (batch) => removeRecordFile(disk, 'batch', batch));
  await forEachConcurrent(oldBases, filesAtOnce, (base) => removeRecordFile(disk, 'base', base));
};

/** Reads the folder into its table; undefined if it is damaged. Fails with the disk's code `failed`. */
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
