/**
 * The on-disk format of record files (§6.1): a checksum line, then one record per line. A batch file (`b.<number>`)
 * holds the records written with one sync. A base file (`base.<number>`) holds a header line, then the live records
 * that compaction copied from older files.
 */
import { crc32 } from 'node:zlib';
import { checksummedFormat } from './checksummed.js';

/** The kind of a record file. */
export type RecordFileKind = 'batch' | 'base';
/** The header of the newest base file defines the live files: `baseFiles`, and all batches after `lastMergedBatch`. */
export type BaseHeader = { lastMergedBatch: number; baseFiles: number[] };
/** A record as stored: the number of the batch that it was written in, and no value if its key was removed. */
export type StoredRecord<T> = { key: string; batch: number; value?: T };

/** A base file header on disk: `upTo` is `lastMergedBatch`, `parts` is `baseFiles`. */
type HeaderDocument = { upTo: number; parts: number[] };
/** Converts values between their form in memory and their JSON form in files. */
export type ValueCodec<T> = { encode: (value: T) => unknown; decode: (stored: unknown) => T };
/** Decides what of a value `T` stays in memory, as `R`, while the whole value is in a file. */
export type Residency<T, R> = {
  /** `bytes` is the size of the value's record in its file. */
  toResident: (value: T, bytes: number) => R;
  /** Returns the whole value if all of it stays in memory; undefined if it has to be read from its file. */
  toWhole: (resident: R) => T | undefined;
};
/** Where the line of a record is in its file, in bytes. */
export type LinePlace = { offset: number; bytes: number };
const filePrefixes: Record<RecordFileKind, string> = { batch: 'b', base: 'base' };
const fileNumberPattern = /^\d{12}$/;
const format = checksummedFormat((content) => crc32(content));

const storedRecord = <T>(key: string, batch: number, value: T | undefined): StoredRecord<T> =>
  value === undefined ? { key, batch } : { key, batch, value };

/** Names, headers and lines of record files. */
export const recordFormat = {
  fileName: (kind: RecordFileKind, number: number): string =>
    `${filePrefixes[kind]}.${String(number).padStart(12, '0')}`,
  /** Returns the numbers of the files of one kind, in ascending order. */
  fileNumbers: (files: string[], kind: RecordFileKind): number[] => {
    const prefix = `${filePrefixes[kind]}.`;
    return files
      .filter((file) => file.startsWith(prefix) && fileNumberPattern.test(file.slice(prefix.length)))
      .map((file) => Number(file.slice(prefix.length)))
      .sort((a, b) => a - b);
  },
  seal: (lines: string[]): string => format.seal(lines.join('\n')),
  /** Returns the lines of a file; undefined if it is missing, torn or corrupted. */
  unseal: (raw: string | undefined): string[] | undefined =>
    raw === undefined ? undefined : format.unseal(raw)?.split('\n'),
  /** Returns the place of each line of a sealed file, whose text is `raw`. */
  linePlaces: (raw: string, lines: string[]): LinePlace[] => {
    let offset = raw.indexOf('\n') + 1;
    return lines.map((line) => {
      const place = { offset, bytes: Buffer.byteLength(line) };
      offset += place.bytes + 1;
      return place;
    });
  },
  headerLine: ({ lastMergedBatch, baseFiles }: BaseHeader): string =>
    JSON.stringify({ upTo: lastMergedBatch, parts: baseFiles } satisfies HeaderDocument),
  readHeaderLine: (line: string): BaseHeader => {
    const { upTo, parts } = JSON.parse(line) as HeaderDocument;
    return { lastMergedBatch: upTo, baseFiles: parts };
  },
  /** Formats a line of a batch file; no value if the key was removed. The batch number is that of the file. */
  batchLine: <T>(key: string, value: T | undefined, codec: ValueCodec<T>): string =>
    JSON.stringify(value === undefined ? [key] : [key, codec.encode(value)]),
  readBatchLine: <T>(line: string, batch: number, codec: ValueCodec<T>): StoredRecord<T> => {
    const [key, value] = JSON.parse(line) as [string, unknown?];
    return storedRecord(key, batch, value === undefined ? undefined : codec.decode(value));
  },
  baseLine: <T>({ key, batch, value }: StoredRecord<T>, codec: ValueCodec<T>): string =>
    JSON.stringify(value === undefined ? [key, batch] : [key, batch, codec.encode(value)]),
  /** Converts the line of a batch file with a value to that of a base file, without decoding the value. */
  baseLineFromBatchLine: (line: string, key: string, batch: number): string => {
    const start = `[${JSON.stringify(key)}`;
    return `${start},${batch}${line.slice(start.length)}`;
  },
  readBaseLine: <T>(line: string, codec: ValueCodec<T>): StoredRecord<T> => {
    const [key, batch, value] = JSON.parse(line) as [string, number, unknown?];
    return storedRecord(key, batch, value === undefined ? undefined : codec.decode(value));
  },
};
