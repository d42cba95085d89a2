/**
 * What a process knows of its record files: where the newest version of each key is, and how many bytes of each file
 * are still needed.
 */
import type { RecordFileKind, StoredRecord } from './record-format.js';

/** A file in effect: the keys of its records, their bytes, and the bytes of the records that are still needed. */
export type RecordFile = { kind: RecordFileKind; number: number; keys: string[]; bytes: number; liveBytes: number };
/** The newest version of a record. */
export type RecordEntry<T> = {
  key: string;
  value: T;
  /** The batch it came in. */
  batch: number;
  file: RecordFile;
  /** Its bytes in that file. */
  bytes: number;
  /** How many files in effect hold older versions. */
  olderVersions: number;
};
/** Where the newest versions are kept in memory: only what is synced gets there. */
export type RecordIndex<T> = {
  get: (key: string) => RecordEntry<T> | undefined;
  set: (key: string, entry: RecordEntry<T>) => void;
  delete: (key: string) => void;
  clear: () => void;
};
/** A removed key. Its record is needed as long as another file in effect holds an older version. */
export type Tombstone = Omit<RecordEntry<never>, 'value'> & { value?: undefined };
/** The newest record of a key, whether a value or a removal. */
export type NewestRecord<T> = RecordEntry<T> | Tombstone;

/** Whether the newest record of a key is a removal. */
export const isTombstone = <T>(record: NewestRecord<T>): record is Tombstone => record.value === undefined;
const isNeeded = <T>(record: NewestRecord<T>): boolean => !isTombstone(record) || record.olderVersions > 0;

/** The records and files of one folder. */
export type RecordTable<T> = {
  files: Record<RecordFileKind, RecordFile[]>;
  newest: (key: string) => NewestRecord<T> | undefined;
  tombstones: Map<string, Tombstone>;
  /** Adds an empty file that is in effect from now on. */
  addFile: (kind: RecordFileKind, number: number) => RecordFile;
  /** A record that was found, or has just been synced, in this file. */
  add: (record: StoredRecord<T>, file: RecordFile, bytes: number) => void;
  /** A record that compaction has copied into this file; `record` may have been superseded meanwhile. */
  move: (record: NewestRecord<T>, file: RecordFile, bytes: number) => void;
  /** One file less holds an older version of this record. */
  releaseOlder: (record: NewestRecord<T>) => void;
  sizes: () => { files: number; bytes: number; live: number };
  clear: () => void;
};

const sizesOf = (files: RecordFile[]): { files: number; bytes: number; live: number } => {
  const sum = (of: 'bytes' | 'liveBytes'): number => files.reduce((total, file) => total + file[of], 0);
  return { files: files.length, bytes: sum('bytes'), live: sum('liveBytes') };
};
const retainOlder = <T>(record: NewestRecord<T>): void => {
  if (!isNeeded(record)) record.file.liveBytes += record.bytes;
  record.olderVersions += 1;
};
const releaseOlder = <T>(record: NewestRecord<T>): void => {
  record.olderVersions -= 1;
  if (!isNeeded(record)) record.file.liveBytes -= record.bytes;
};

/** Opens an empty table over an index. */
export const openRecordTable = <T>(index: RecordIndex<T>): RecordTable<T> => {
  const tombstones = new Map<string, Tombstone>();
  const files: RecordTable<T>['files'] = { batch: [], base: [] };
  const newest = (key: string): NewestRecord<T> | undefined => index.get(key) ?? tombstones.get(key);
  const setNewest = (entry: Tombstone, value: T | undefined): void => {
    if (value === undefined) {
      index.delete(entry.key);
      tombstones.set(entry.key, entry);
      if (isNeeded(entry)) entry.file.liveBytes += entry.bytes;
    } else {
      tombstones.delete(entry.key);
      index.set(entry.key, { ...entry, value });
      entry.file.liveBytes += entry.bytes;
    }
  };
  return {
    files,
    newest,
    tombstones,
    addFile: (kind, number) => {
      const file: RecordFile = { kind, number, keys: [], bytes: 0, liveBytes: 0 };
      files[kind].push(file);
      return file;
    },
    add: (record, file, bytes) => {
      const former = newest(record.key);
      // One string for a key, however often it comes.
      const key = former?.key ?? record.key;
      file.keys.push(key);
      file.bytes += bytes;
      if (former && former.batch > record.batch) return retainOlder(former);
      if (former && isNeeded(former)) former.file.liveBytes -= former.bytes;
      const olderVersions = former ? former.olderVersions + 1 : 0;
      setNewest({ key, batch: record.batch, file, bytes, olderVersions }, record.value);
    },
    move: (record, file, bytes) => {
      file.keys.push(record.key);
      file.bytes += bytes;
      // A newer version that came meanwhile counts this one among its older ones, wherever it is.
      if (newest(record.key) !== record) return;
      record.file = file;
      record.bytes = bytes;
      if (isNeeded(record)) file.liveBytes += bytes;
    },
    releaseOlder,
    sizes: () => sizesOf([...files.batch, ...files.base]),
    clear: () => {
      index.clear();
      tombstones.clear();
      files.batch = [];
      files.base = [];
    },
  };
};
