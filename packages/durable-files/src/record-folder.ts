/** State and file operations shared by the modules that work on one folder of records. */
import type { Disk } from '@thornsail/runtime';
import type { Limits } from './limits.js';
import { recordFormat, type BaseHeader, type RecordFileKind, type ValueCodec } from './record-format.js';
import type { RecordTable } from './record-table.js';

/** The state of one folder of records. */
export type RecordFolder<T> = {
  disk: Disk;
  limits: Limits;
  codec: ValueCodec<T>;
  table: RecordTable<T>;
  /** The number of the next file of each kind. */
  next: Record<RecordFileKind, number>;
  counters: { batches: number; records: number; merges: number };
};

/**
 * Writes a base file. From then on its header defines which record files are live. Fails as `Disk.writeDocument` does.
 */
export const writeBaseFile = (disk: Disk, number: number, header: BaseHeader, lines: string[]): Promise<void> =>
  disk.writeDocument(
    recordFormat.fileName('base', number),
    recordFormat.seal([recordFormat.headerLine(header), ...lines]),
  );

/** Removes a record file that is no longer live. */
export const removeRecordFile = (disk: Disk, kind: RecordFileKind, number: number): Promise<void> =>
  // A failed removal is harmless: the header of the newest base file defines which files are live.
  disk.remove(recordFormat.fileName(kind, number)).catch(() => undefined);
