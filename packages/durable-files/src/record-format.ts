/**
 * The files of records on disk (§6.1): a checksum line, then one record a line. A batch file (`b.<number>`) holds what
 * was written with one sync; a base file (`base.<number>`) holds what compaction left of older files, after a header.
 */
import { crc32 } from 'node:zlib';
import { checksummedFormat } from './checksummed.js';

/** What kind of file records are in. */
export type RecordFileKind = 'batch' | 'base';
/** The newest base file says what is in effect: these base files, and the batches after `lastMergedBatch`. */
export type BaseHeader = { lastMergedBatch: number; baseFiles: number[] };
/** A record as it is in a file: the number of the batch that it came in, and no value if its key was removed. */
export type StoredRecord<T> = { key: string; batch: number; value?: T };

/** A base header on disk. */
type HeaderDocument = { upTo: number; parts: number[] };
/** How values stand in files, where that differs from their form in memory. */
export type ValueCodec<T> = { encode: (value: T) => unknown; decode: (stored: unknown) => T };
const filePrefixes: Record<RecordFileKind, string> = { batch: 'b', base: 'base' };
const fileNumber = /^\d{12}$/;
const format = checksummedFormat((content) => crc32(content));

const storedRecord = <T>(key: string, batch: number, value: T | undefined): StoredRecord<T> =>
  value === undefined ? { key, batch } : { key, batch, value };

/** Names, headers and lines of record files. */
export const recordFormat = {
  fileName: (kind: RecordFileKind, number: number): string =>
    `${filePrefixes[kind]}.${String(number).padStart(12, '0')}`,
  /** The numbers of the files of one kind, in ascending order. */
  fileNumbers: (files: string[], kind: RecordFileKind): number[] => {
    const prefix = `${filePrefixes[kind]}.`;
    return files
      .filter((file) => file.startsWith(prefix) && fileNumber.test(file.slice(prefix.length)))
      .map((file) => Number(file.slice(prefix.length)))
      .sort((a, b) => a - b);
  },
  seal: (lines: string[]): string => format.seal(lines.join('\n')),
  /** The lines of a file; undefined if it is missing, torn or damaged. */
  unseal: (raw: string | undefined): string[] | undefined =>
    raw === undefined ? undefined : format.unseal(raw)?.split('\n'),
  headerLine: ({ lastMergedBatch, baseFiles }: BaseHeader): string =>
    JSON.stringify({ upTo: lastMergedBatch, parts: baseFiles } satisfies HeaderDocument),
  readHeaderLine: (line: string): BaseHeader => {
    const { upTo, parts } = JSON.parse(line) as HeaderDocument;
    return { lastMergedBatch: upTo, baseFiles: parts };
  },
  /** A line of a batch file, whose number is that of all its records; no value if the key was removed. */
  batchLine: <T>(key: string, value: T | undefined, codec: ValueCodec<T>): string =>
    JSON.stringify(value === undefined ? [key] : [key, codec.encode(value)]),
  readBatchLine: <T>(line: string, batch: number, codec: ValueCodec<T>): StoredRecord<T> => {
    const [key, value] = JSON.parse(line) as [string, unknown?];
    return storedRecord(key, batch, value === undefined ? undefined : codec.decode(value));
  },
  baseLine: <T>({ key, batch, value }: StoredRecord<T>, codec: ValueCodec<T>): string =>
    JSON.stringify(value === undefined ? [key, batch] : [key, batch, codec.encode(value)]),
  readBaseLine: <T>(line: string, codec: ValueCodec<T>): StoredRecord<T> => {
    const [key, batch, value] = JSON.parse(line) as [string, number, unknown?];
    return storedRecord(key, batch, value === undefined ? undefined : codec.decode(value));
  },
};
