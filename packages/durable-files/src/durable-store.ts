/** Versioned documents on disk, one file per version, with a checksum that detects torn files (§6.1). */
import { hash, lock, type Disk } from '@thornsail/runtime';
import { checksummedFormat } from './checksummed.js';
import { documentFileName, erasingMarker, isDataFile, parseDocumentFileName } from './document-names.js';
import { forEachConcurrent } from './for-each-concurrent.js';
import { guardDisk } from './guarded-disk.js';

/** The documents of one data folder. Writes fail with the disk's codes `full` and `failed`. */
export type DurableStore = {
  /** Returns the newest version whose checksum is valid; undefined if there is none. */
  read: <T>(name: string) => Promise<{ version: number; value: T } | undefined>;
  /** Resolves once the version is synced. Older versions are removed only after that. */
  write: (name: string, version: number, value: unknown) => Promise<void>;
  /** Resolves once the folder is synced: a power loss after that can't bring any of these documents back. */
  remove: (names: string[]) => Promise<void>;
  /** The names of all documents in the folder. */
  names: () => string[];
  /** Removes all data files. A damaged folder is erased, and the machine gets a new identity (§6.1). */
  erase: () => Promise<void>;
  /** `syncs`: writes that were synced. `torn`: files that were torn, corrupted or missing. */
  counts: () => { syncs: number; torn: number };
  /** The folder, for data other than documents. Rejects every write after a failed one (guarded-disk.ts). */
  disk: Disk;
  /** Refuses further writes; resolves once nothing of this process can change the folder any more. */
  close: () => Promise<void>;
  /** Counts corruption that was found in files other than documents. */
  reportCorruption: () => void;
};

/** The versions on disk by document name, in ascending order. */
type Versions = Map<string, number[]>;
const format = checksummedFormat(hash.of);
const concurrentRemovals = 64;
const ascending = (a: number, b: number): number => a - b;

const listVersions = (files: string[]): Versions => {
  const versions: Versions = new Map();
  for (const file of files) {
    const document = parseDocumentFileName(file);
    if (!document) continue;
    const { name, version } = document;
    versions.set(name, [...(versions.get(name) ?? []), version].sort(ascending));
  }
  return versions;
};

type Counters = ReturnType<DurableStore['counts']>;

const reader =
  (disk: Disk, versions: Versions, counters: Counters): DurableStore['read'] =>
  async <T>(name: string) => {
    for (const version of [...(versions.get(name) ?? [])].reverse()) {
      const raw = await disk.read(documentFileName(name, version));
      const text = raw === undefined ? undefined : format.unseal(raw);
      if (text !== undefined) return { version, value: JSON.parse(text) as T };
      counters.torn += 1;
    }
    return undefined;
  };

const writer =
  (disk: Disk, versions: Versions): DurableStore['write'] =>
  async (name, version, value) => {
    await disk.writeDocument(documentFileName(name, version), format.seal(JSON.stringify(value)));
    const others = (versions.get(name) ?? []).filter((other) => other !== version);
    versions.set(name, [...others, version].sort(ascending));
    const newest = Math.max(version, ...others);
    for (const old of others.filter((other) => other < newest)) {
      // A failed removal is harmless: reads return the newest version.
      await disk.remove(documentFileName(name, old)).catch(() => undefined);
      versions.set(
        name,
        (versions.get(name) ?? []).filter((other) => other !== old),
      );
    }
  };

const eraser =
  (disk: Disk, versions: Versions, write: DurableStore['write']): DurableStore['erase'] =>
  async () => {
    const marker = documentFileName(erasingMarker, 1);
    await write(erasingMarker, 1, {});
    for (const file of await disk.list()) if (isDataFile(file) && file !== marker) await disk.remove(file);
    versions.clear();
    // The removals are synced before the marker is removed: otherwise a power loss could drop the marker and restore
    // other files.
    await disk.syncExisting([]);
    await disk.remove(marker);
    await disk.syncExisting([]);
  };

const open = async (folder: Disk, onFailed: (error: Error) => void = () => undefined): Promise<DurableStore> => {
  const files = await folder.list();
  // Names that a killed process created or removed may be visible but not yet durable: sync the folder before use.
  await folder.syncExisting([]);
  const versions = listVersions(files);
  const counters: Counters = { syncs: 0, torn: 0 };
  const disk = guardDisk(folder, () => (counters.syncs += 1), onFailed);
  const exclusive = lock.keyed();
  const writeUnlocked = writer(disk, versions);
  const write: DurableStore['write'] = (name, version, value) =>
    exclusive(name, () => writeUnlocked(name, version, value));
  const removeDocument = (name: string): Promise<void> =>
    exclusive(name, async () => {
      for (const version of versions.get(name) ?? []) await disk.remove(documentFileName(name, version));
      versions.delete(name);
    });
  return {
    read: reader(disk, versions, counters),
    write,
    remove: async (names) => {
      await forEachConcurrent(names, concurrentRemovals, removeDocument);
      await disk.syncExisting([]);
    },
    names: () => [...versions.keys()],
    erase: eraser(disk, versions, write),
    counts: () => ({ ...counters }),
    disk,
    close: disk.close,
    reportCorruption: () => void (counters.torn += 1),
  };
};

/** Documents in a data folder. */
export const durableStore = {
  /**
   * Opens a folder; `recoverFolder` (recovery.ts) reads its contents. `onFailed` is called with the error of the first
   * write that failed for a reason other than a full disk; no write is accepted after that (§6.1).
   */
  open,
};
