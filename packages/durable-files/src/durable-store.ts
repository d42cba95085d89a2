/** Documents kept on disk, one file for each version, with a checksum by which a torn file is recognised (§6.1). */
import { hash, lock, type Disk } from '@thornsail/runtime';
import { checksummedFormat } from './checksummed.js';
import { documentFileName, erasingMarker, isDataFile, parseDocumentFileName } from './document-names.js';
import { forEachConcurrent } from './for-each-concurrent.js';
import { guardDisk } from './guarded-disk.js';

/** The documents of one data folder. Writes fail with the disk's codes `full` and `failed`. */
export type DurableStore = {
  /** The newest version of a document that reads back; undefined if there is none. */
  read: <T>(name: string) => Promise<{ version: number; value: T } | undefined>;
  /** Resolves once synced. Older versions are removed only afterwards. */
  write: (name: string, version: number, value: unknown) => Promise<void>;
  /** Resolves once the folder is synced: from then on none of these documents comes back. */
  remove: (names: string[]) => Promise<void>;
  /** The documents that there are. */
  names: () => string[];
  /** Removes everything: a damaged folder is an empty one, and its machine a new identity (§6.1). */
  erase: () => Promise<void>;
  /** Writes that were synced, and files that did not read back. */
  counts: () => { syncs: number; torn: number };
  /** The folder itself, for what is kept in it in other forms than documents; a failed disk is not written again. */
  disk: Disk;
  /** Counts damage that was found in files of other forms. */
  reportCorruption: () => void;
};

/** The documents of a folder with the versions on disk, in ascending order. */
type Versions = Map<string, number[]>;
const format = checksummedFormat(hash.of);
const removalsAtOnce = 64;
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
    const others = (versions.get(name) ?? []).filter((one) => one !== version);
    versions.set(name, [...others, version].sort(ascending));
    const newest = Math.max(version, ...others);
    for (const old of others.filter((one) => one < newest)) {
      // An old version that stays does no harm: the newest counts.
      await disk.remove(documentFileName(name, old)).catch(() => undefined);
      versions.set(
        name,
        (versions.get(name) ?? []).filter((one) => one !== old),
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
    // The marker goes last: its name must not be lost while others come back.
    await disk.syncExisting([]);
    await disk.remove(marker);
    await disk.syncExisting([]);
  };

const open = async (folder: Disk, onFailed: (error: Error) => void = () => undefined): Promise<DurableStore> => {
  const files = await folder.list();
  // Names that a killed process left may be seen by now, and yet be lost with the power: they are synced before use.
  await folder.syncExisting([]);
  const versions = listVersions(files);
  const counters: Counters = { syncs: 0, torn: 0 };
  const disk = guardDisk(folder, () => (counters.syncs += 1), onFailed);
  const exclusive = lock.keyed();
  const writeNow = writer(disk, versions);
  const write: DurableStore['write'] = (name, version, value) => exclusive(name, () => writeNow(name, version, value));
  const removeOne = (name: string): Promise<void> =>
    exclusive(name, async () => {
      for (const version of versions.get(name) ?? []) await disk.remove(documentFileName(name, version));
      versions.delete(name);
    });
  return {
    read: reader(disk, versions, counters),
    write,
    remove: async (names) => {
      await forEachConcurrent(names, removalsAtOnce, removeOne);
      await disk.syncExisting([]);
    },
    names: () => [...versions.keys()],
    erase: eraser(disk, versions, write),
    counts: () => ({ ...counters }),
    disk,
    reportCorruption: () => void (counters.torn += 1),
  };
};

/** Documents in a data folder. */
export const durableStore = {
  /**
   * Opens a folder; `recoverFolder` (recovery.ts) reads it. `onFailed` is told of the first write that failed for any
   * reason but want of room; from then on nothing is written (§6.1).
   */
  open,
};
