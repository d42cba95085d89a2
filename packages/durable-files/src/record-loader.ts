/** Loads the record files of a folder at startup, and distinguishes a torn last batch from a damaged folder (§6.1). */
import { openMemoryBudget, withMemory, type Disk, type MemoryBudget } from '@thornsail/runtime';
import type { BatchReservation } from './batch-reservation.js';
import { forEachConcurrent } from './for-each-concurrent.js';
import { removeRecordFile, type RecordFolder } from './record-folder.js';
import { recordFormat, type BaseHeader, type LinePlace, type StoredRecord } from './record-format.js';
import type { RecordFile } from './record-table.js';

/** Files read or removed concurrently. */
const concurrentFiles = 8;
/** Files that are held in memory while they are loaded, in bytes; a larger one is loaded alone. */
const loadMemory = 8 << 20;

/** The lines of a valid record file, with their places. */
type FileLines = { lines: string[]; places: LinePlace[] };

/** What was read of a file: `content` is undefined if the file is missing, torn or corrupted. */
type LoadedFile = { isEmpty: boolean; content: FileLines | undefined };

/** Reads a file once there is memory for it, and passes it to `use`, after which its memory is free again. */
const useFile = async <R>(disk: Disk, memory: MemoryBudget, name: string, use: (file: LoadedFile) => R): Promise<R> => {
  const size = (await disk.size(name)) ?? 0;
  return withMemory(memory, size, async () => {
    const raw = await disk.read(name);
    const lines = recordFormat.unseal(raw);
    const content = raw !== undefined && lines ? { lines, places: recordFormat.linePlaces(raw, lines) } : undefined;
    return use({ isEmpty: raw === '', content });
  });
};

/** Adds the records of a file to the table, from line `first` on. */
const addLines = <T, R>(
  { table, residency }: RecordFolder<T, R>,
  file: RecordFile,
  { lines, places }: FileLines,
  first: number,
  readLine: (line: string) => StoredRecord<T>,
): void => {
  for (let i = first; i < lines.length; i++) {
    const { key, batch, value } = readLine(lines[i]!);
    const place = places[i]!;
    const resident = value === undefined ? {} : { value: residency.toResident(value, place.bytes) };
    table.add({ key, batch, ...resident }, file, place);
  }
};

/** Loads the live base files into the table; undefined if one is missing or damaged. */
const loadBases = async <T, R>(
  folder: RecordFolder<T, R>,
  memory: MemoryBudget,
  files: string[],
): Promise<BaseHeader | undefined> => {
  const { disk, table, next, codec } = folder;
  const nameOf = (number: number): string => recordFormat.fileName('base', number);
  const last = recordFormat.fileNumbers(files, 'base').pop();
  next.base = (last ?? 0) + 1;
  if (last === undefined) return { lastMergedBatch: 0, baseFiles: [] };
  const headerLine = await useFile(disk, memory, nameOf(last), ({ content }) => content?.lines[0]);
  if (headerLine === undefined) return undefined;
  const header = recordFormat.readHeaderLine(headerLine);
  let isValid = true;
  await forEachConcurrent(header.baseFiles, concurrentFiles, async (number) => {
    await useFile(disk, memory, nameOf(number), ({ content }) => {
      if (!content) isValid = false;
      const file = table.addFile('base', number);
      if (content) addLines(folder, file, content, 1, (line) => recordFormat.readBaseLine(line, codec));
    });
  });
  return isValid ? header : undefined;
};

/** Loads these batches into the table; returns, by batch number, whether its file is empty. */
const readBatches = async <T, R>(
  folder: RecordFolder<T, R>,
  memory: MemoryBudget,
  batches: number[],
): Promise<Map<number, { empty: boolean }>> => {
  const { disk, table, codec } = folder;
  const batchFiles = new Map<number, { empty: boolean }>();
  await forEachConcurrent(batches, concurrentFiles, async (batch) => {
    await useFile(disk, memory, recordFormat.fileName('batch', batch), ({ isEmpty, content }) => {
      batchFiles.set(batch, { empty: isEmpty });
      if (!content) return;
      const file = table.addFile('batch', batch);
      addLines(folder, file, content, 0, (line) => recordFormat.readBatchLine(line, batch, codec));
    });
  });
  return batchFiles;
};

/**
 * Loads the batches after the last merged one. They must have no gap up to the last non-empty file; the empty files
 * after it are reservations. That last file may be torn: its batch was not acknowledged then. Returns false if any
 * other file is missing or damaged.
 */
const loadBatches = async <T, R>(
  folder: RecordFolder<T, R>,
  memory: MemoryBudget,
  reservation: BatchReservation,
  files: string[],
  lastMerged: number,
): Promise<boolean> => {
  const { disk, limits, table, next } = folder;
  const batches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch > lastMerged);
  const batchFiles = await readBatches(folder, memory, batches);
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
const removeObsolete = async <T, R>(
  { disk, table }: RecordFolder<T, R>,
  files: string[],
  lastMerged: number,
): Promise<void> => {
  const bases = new Set(table.files.base.map(({ number }) => number));
  const oldBatches = recordFormat.fileNumbers(files, 'batch').filter((batch) => batch <= lastMerged);
  const oldBases = recordFormat.fileNumbers(files, 'base').filter((base) => !bases.has(base));
  await forEachConcurrent(oldBatches, concurrentFiles, (batch) => removeRecordFile(disk, 'batch', batch));
  await forEachConcurrent(oldBases, concurrentFiles, (base) => removeRecordFile(disk, 'base', base));
};

/** Loads the folder into its table; returns undefined if it is damaged. Fails with the disk's code `failed`. */
export const loadRecords = async <T, R>(
  folder: RecordFolder<T, R>,
  reservation: BatchReservation,
): Promise<BaseHeader | undefined> => {
  const { disk, table } = folder;
  const files = await disk.list();
  const memory = openMemoryBudget(loadMemory, 0);
  const header = await loadBases(folder, memory, files);
  if (!header || !(await loadBatches(folder, memory, reservation, files, header.lastMergedBatch))) return undefined;
  for (const kind of ['batch', 'base'] as const) table.files[kind].sort((a, b) => a.number - b.number);
  await removeObsolete(folder, files, header.lastMergedBatch);
  return header;
};
