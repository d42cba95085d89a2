/**
 * The in-memory state of the record files: which file holds the newest version of each key, and how many bytes of each
 * file are live.
 */
import type { LinePlace, RecordFileKind, StoredRecord } from './record-format.js';

/** A live record file: the keys of its records, the total size of the records, and the size of its live records. */
export type RecordFile = { kind: RecordFileKind; number: number; keys: string[]; bytes: number; liveBytes: number };
/** The newest version of a record; `value` is what stays in memory of it. */
export type RecordEntry<T> = {
  key: string;
  value: T;
  /** The batch in which it was written. */
  batch: number;
  file: RecordFile;
  /** Offset of its line in that file, in bytes. */
  offset: number;
  /** Size of its line, in bytes. */
  bytes: number;
  /** Number of live files that hold older versions. */
  olderVersions: number;
};
/** The in-memory index of the newest version of each record. Contains synced records only. */
export type RecordIndex<T> = {
  get: (key: string) => RecordEntry<T> | undefined;
  set: (key: string, entry: RecordEntry<T>) => void;
  delete: (key: string) => void;
  clear: () => void;
};
/** A removed key. Its record is live as long as another live file holds an older version. */
export type Tombstone = Omit<RecordEntry<never>, 'value'> & { value?: undefined };
/** The newest record of a key: a value or a tombstone. */
export type NewestRecord<T> = RecordEntry<T> | Tombstone;

/** Whether the newest record of a key is a tombstone. */
export const isTombstone = <T>(record: NewestRecord<T>): record is Tombstone => record.value === undefined;
/** Whether a record must be preserved by compaction. */
const isLive = <T>(record: NewestRecord<T>): boolean => !isTombstone(record) || record.olderVersions > 0;

/** The records and files of one folder. */
export type RecordTable<T> = {
  files: Record<RecordFileKind, RecordFile[]>;
  newest: (key: string) => NewestRecord<T> | undefined;
  tombstones: Map<string, Tombstone>;
  /** Adds a live file without records. */
  addFile: (kind: RecordFileKind, number: number) => RecordFile;
  /** Adds a record that was loaded from this file, or has just been synced to it. */
  add: (record: StoredRecord<T>, file: RecordFile, place: LinePlace) => void;
  /** Notes that compaction copied `record` into this file; a newer version may have replaced it in the meantime. */
  move: (record: NewestRecord<T>, file: RecordFile, place: LinePlace) => void;
  /** Notes that one live file fewer holds an older version of this record. */
  releaseOlder: (record: NewestRecord<T>) => void;
  /** The number of live files, their bytes, and the bytes of live records. */
  sizes: () => { files: number; bytes: number; live: number };
  clear: () => void;
};

const sizesOf = (files: RecordFile[]): { files: number; bytes: number; live: number } => {
  const sumOf = (size: 'bytes' | 'liveBytes'): number => files.reduce((total, file) => total + file[size], 0);
  return { files: files.length, bytes: sumOf('bytes'), live: sumOf('liveBytes') };
};
const retainOlder = <T>(record: NewestRecord<T>): void => {
  if (!isLive(record)) record.file.liveBytes += record.bytes;
  record.olderVersions += 1;
};
const releaseOlder = <T>(record: NewestRecord<T>): void => {
  record.olderVersions -= 1;
  if (!isLive(record)) record.file.liveBytes -= record.bytes;
};

/** Creates a table for an empty index. */
export const openRecordTable = <T>(index: RecordIndex<T>): RecordTable<T> => {
  const tombstones = new Map<string, Tombstone>();
  const files: RecordTable<T>['files'] = { batch: [], base: [] };
  const newest = (key: string): NewestRecord<T> | undefined => index.get(key) ?? tombstones.get(key);
  const setNewest = (entry: Tombstone, value: T | undefined): void => {
    if (value === undefined) {
      index.delete(entry.key);
      tombstones.set(entry.key, entry);
      if (isLive(entry)) entry.file.liveBytes += entry.bytes;
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
    add: (record, file, { offset, bytes }) => {
      const previous = newest(record.key);
      // Reuses the key string of the earlier version, to save memory.
      const key = previous?.key ?? record.key;
      file.keys.push(key);
      file.bytes += bytes;
      if (previous && previous.batch > record.batch) return retainOlder(previous);
      if (previous && isLive(previous)) previous.file.liveBytes -= previous.bytes;
      const olderVersions = previous ? previous.olderVersions + 1 : 0;
      setNewest({ key, batch: record.batch, file, offset, bytes, olderVersions }, record.value);
    },
    move: (record, file, { offset, bytes }) => {
      file.keys.push(record.key);
      file.bytes += bytes;
      // A newer version already counts this one in its `olderVersions`, whichever file holds it.
      if (newest(record.key) !== record) return;
      record.file = file;
      record.offset = offset;
      record.bytes = bytes;
      if (isLive(record)) file.liveBytes += bytes;
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
