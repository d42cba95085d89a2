/**
 * Migrates records of the former storage format, one document per record, into base files at the first start (§6.1).
 */
import type { DurableStore } from './durable-store.js';
import { writeBaseFile, type RecordFolder } from './record-folder.js';
import { recordFormat } from './record-format.js';

/** The records of one base file. */
type Piece<T> = { key: string; value: T; line: string }[];

/** Splits the records into pieces of at most `pieceBytes` characters, with at least one record each. */
const splitIntoPieces = <T, R>({ limits, codec }: RecordFolder<T, R>, records: ReadonlyMap<string, T>): Piece<T>[] => {
  const pieces: Piece<T>[] = [];
  let bytes = Infinity;
  for (const [key, value] of records) {
    const line = recordFormat.baseLine({ key, batch: 0, value }, codec);
    if (bytes + line.length > limits.pieceBytes) {
      pieces.push([]);
      bytes = 0;
    }
    pieces[pieces.length - 1]!.push({ key, value, line });
    bytes += line.length;
  }
  return pieces;
};

/**
 * Writes the records into base files. Only the header of the last one lists them, so that none takes effect before all
 * are written. Fails as `Disk.writeDocument` does.
 */
export const moveLegacyRecords = async <T, R>(
  folder: RecordFolder<T, R>,
  records: ReadonlyMap<string, T>,
): Promise<void> => {
  const { disk, table, next, residency } = folder;
  const pieces = splitIntoPieces(folder, records);
  const firstNumber = next.base;
  for (const [i, piece] of pieces.entries()) {
    const baseFiles = i === pieces.length - 1 ? pieces.map((_, j) => firstNumber + j) : [];
    const lines = piece.map(({ line }) => line);
    const places = await writeBaseFile(disk, next.base, { lastMergedBatch: 0, baseFiles }, lines);
    const file = table.addFile('base', next.base++);
    for (const [j, { key, value }] of piece.entries()) {
      const resident = residency.toResident(value, places[j]!.bytes);
      table.add({ key, batch: 0, value: resident }, file, places[j]!);
    }
  }
};

/** Removes the documents whose records have been migrated to base files. Documents that remain are harmless. */
export const removeLegacyDocuments = async (durable: DurableStore, prefix: string): Promise<void> => {
  const names = durable.names().filter((name) => name.startsWith(prefix));
  if (names.length > 0) await durable.remove(names).catch(() => undefined);
};
