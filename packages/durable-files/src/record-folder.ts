/** State and file operations shared by the modules that work on one folder of records. */
import type { Disk } from '@thornsail/runtime';
import type { Limits } from './limits.js';
import {
  recordFormat,
  type BaseHeader,
  type LinePlace,
  type RecordFileKind,
  type Residency,
  type ValueCodec,
} from './record-format.js';
import type { RecentValues } from './recent-values.js';
import type { RecordTable } from './record-table.js';

/** The state of one folder of records with values `T`, of which `R` stays in memory. */
export type RecordFolder<T, R> = {
  disk: Disk;
  limits: Limits;
  codec: ValueCodec<T>;
  residency: Residency<T, R>;
  table: RecordTable<R>;
  /** Values of which only `R` stays in memory. */
  recent: RecentValues<T>;
  /** The number of the next file of each kind. */
  next: Record<RecordFileKind, number>;
  counters: { batches: number; records: number; merges: number };
};

/**
 * Writes a base file. From then on its header defines which record files are live. Returns the places of the lines.
 * Fails as `Disk.writeDocument` does.
 */
export const writeBaseFile = async (
  disk: Disk,
  number: number,
  header: BaseHeader,
  lines: string[],
): Promise<LinePlace[]> => {
  const allLines = [recordFormat.headerLine(header), ...lines];
  const text = recordFormat.seal(allLines);
  await disk.writeDocument(recordFormat.fileName('base', number), text);
  return recordFormat.linePlaces(text, allLines).slice(1);
};

/** Removes a record file that is no longer live. */
export const removeRecordFile = (disk: Disk, kind: RecordFileKind, number: number): Promise<void> =>
  // A failed removal is harmless: the header of the newest base file defines which files are live.
  disk.remove(recordFormat.fileName(kind, number)).catch(() => undefined);
