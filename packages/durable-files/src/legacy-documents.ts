/** Records of the form before batches, one document each, are moved into base files at the first start (§6.1). */
import type { DurableStore } from './durable-store.js';
import { writeBaseFile, type RecordFolder } from './record-folder.js';
import { recordFormat } from './record-format.js';

type Piece<T> = { key: string; value: T; line: string }[];

/** Splits the records into pieces of at most `pieceBytes`, one record at least. */
const splitIntoPieces = <T>({ limits, codec }: RecordFolder<T>, records: ReadonlyMap<string, T>): Piece<T>[] => {
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

/** Writes the records into base files; none is in effect before the last one exists. Fails as `Disk.put` does. */
export const moveLegacyRecords = async <T>(folder: RecordFolder<T>, records: ReadonlyMap<string, T>): Promise<void> => {
  const { disk, table, next } = folder;
  const pieces = splitIntoPieces(folder, records);
  const first = next.base;
  for (const [i, piece] of pieces.entries()) {
    const baseFiles = i === pieces.length - 1 ? pieces.map((_, j) => first + j) : [];
    const lines = piece.map(({ line }) => line);
    await writeBaseFile(disk, next.base, { lastMergedBatch: 0, baseFiles }, lines);
    const file = table.addFile('base', next.base++);
    for (const { key, value, line } of piece) table.add({ key, batch: 0, value }, file, line.length);
  }
};

/** Removes the documents of the former form, whose records are in base files now; what stays does no harm. */
export const removeLegacyDocuments = async (durable: DurableStore, prefix: string): Promise<void> => {
  const names = durable.names().filter((name) => name.startsWith(prefix));
  if (names.length > 0) await durable.remove(names).catch(() => undefined);
};
