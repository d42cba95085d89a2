/** What the modules of one folder of records share. */
import type { Disk } from '@thornsail/runtime';
import type { Limits } from './limits.js';
import { recordFormat, type BaseHeader, type RecordFileKind, type ValueCodec } from './record-format.js';
import type { RecordTable } from './record-table.js';

/** One folder of records. */
export type RecordFolder<T> = {
  disk: Disk;
  limits: Limits;
  codec: ValueCodec<T>;
  table: RecordTable<T>;
  /** The numbers of the next files. */
  next: Record<RecordFileKind, number>;
  counters: { batches: number; records: number; merges: number };
};

/** Writes a base file, whose header says what is in effect once it is there. Fails as `Disk.put` does. */
export const writeBaseFile = (disk: Disk, number: number, header: BaseHeader, lines: string[]): Promise<void> =>
  disk.writeDocument(
    recordFormat.fileName('base', number),
    recordFormat.seal([recordFormat.headerLine(header), ...lines]),
  );

/** Removes a file that is no longer in effect. */
export const removeRecordFile = (disk: Disk, kind: RecordFileKind, number: number): Promise<void> =>
  // One that stays does no harm: the newest base file says what is in effect.
  disk.remove(recordFormat.fileName(kind, number)).catch(() => undefined);
