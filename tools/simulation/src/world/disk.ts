// The simulated disk (§9.2): file calls, unsynced directory entries and contents, and the state after a power loss.
import {
  openDataFolder,
  duration,
  type Disk,
  type FileCalls,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import { promiseOf } from './promise-of.js';

/** A file's text; undefined if there is no file of that name. */
type Content = string | undefined;
/** The state of a disk that performs one sync at a time, of one file or of the folder. */
export type DiskState = {
  /** Multiplies the duration of a sync. */
  syncTimeFactor: number;
  /** No call completes before this time. */
  hangsUntil: Microseconds;
  /** Whether writes fail with ENOSPC. */
  full: boolean;
  /** Probability, 0 to 1, that a call of this kind fails with EIO. */
  fail: { write: number; sync: number; rename: number; read: number };
  /** Names created, renamed or removed since the last folder sync, with the contents that a power loss may restore. */
  unsyncedNames: Map<string, Content[]>;
  /** The same name changes by sequence number, in order. */
  nameChanges: Map<number, string>;
  /** Sequence number of the last name change. */
  changeCount: number;
  /** Files written since their last sync, with the content at that sync. */
  unsyncedBytes: Map<string, Content>;
  /** Time at which all requested syncs are complete. */
  busyUntil: Microseconds;
};
/** The process that the disk belongs to; `incarnation` is the number of its current run. */
export type DiskHost = { incarnation: number; files: Map<string, string>; disk: DiskState };
/** The disk's access to the simulated world; `syncTime` is the longest duration of one sync, `onSync` counts them. */
export type DiskEnvironment<H extends DiskHost> = {
  rand: Random;
  now: () => Microseconds;
  schedule: (after: Microseconds, host: H, run: () => void) => unknown;
  syncTime: Microseconds;
  onSync: () => void;
};
/** What a host loses: its process alone, the machine's power as well, or the disk with all its files. */
export type HostFailure = 'process' | 'power' | 'disk';

const state = (): DiskState => ({
  syncTimeFactor: 1,
  hangsUntil: 0,
  full: false,
  fail: { write: 0, sync: 0, rename: 0, read: 0 },
  unsyncedNames: new Map(),
  nameChanges: new Map(),
  changeCount: 0,
  unsyncedBytes: new Map(),
  busyUntil: 0,
});

const root = '/simulated';
const nameIn = (path: unknown): string => String(path).slice(root.length + 1);
const failure = (code: string): Error => Object.assign(new Error(`${code}: simulated`), { code });
const setFile = (host: DiskHost, name: string, text: Content): void => {
  if (text === undefined) host.files.delete(name);
  else host.files.set(name, text);
};
/** Changes the file that a name refers to; a power loss may undo this until the folder is synced. */
const changeName = (host: DiskHost, name: string, text: Content): void => {
  const former = host.disk.unsyncedNames.get(name) ?? [];
  former.push(host.files.get(name));
  host.disk.unsyncedNames.set(name, former);
  host.disk.nameChanges.set(++host.disk.changeCount, name);
  setFile(host, name, text);
};
const changeBytes = (host: DiskHost, name: string, text: string): void => {
  if (!host.disk.unsyncedBytes.has(name)) host.disk.unsyncedBytes.set(name, host.files.get(name));
  host.files.set(name, text);
};

/** Contents that an unsynced write may leave after a power loss: none, a prefix, a prefix padded with zeros, or all. */
const tornContents = (text: string, cutAt: number): string[] => [
  '',
  text.slice(0, cutAt),
  text.slice(0, cutAt) + '\0'.repeat(text.length - cutAt),
  text,
];
/** Contents that a file may have after a power loss, if the changes of its name are durable. */
const possibleContents = (host: DiskHost, name: string, cutAt: (length: number) => number): Content[] => {
  const text = host.files.get(name);
  if (text === undefined || !host.disk.unsyncedBytes.has(name)) return [text];
  return [host.disk.unsyncedBytes.get(name) ?? '', ...tornContents(text, cutAt(text.length))];
};
/**
 * What each name with unsynced changes may refer to after a power loss: a `current` content if the changes of the name
 * are durable, else a `former` one.
 */
const possibleOutcomes = (
  host: DiskHost,
  cutAt: (length: number) => number,
): Map<string, { current: Content[]; former: Content[] }> =>
  new Map(
    [...new Set([...host.disk.unsyncedNames.keys(), ...host.disk.unsyncedBytes.keys()])].map((name) => [
      name,
      { current: possibleContents(host, name, cutAt), former: host.disk.unsyncedNames.get(name) ?? [] },
    ]),
  );

/** All folder states that a power loss at this moment may leave; torn files are cut in the middle. */
const afterPowerLoss = function* (host: DiskHost): Generator<Map<string, string>> {
  const outcomes = [...possibleOutcomes(host, (length) => length >> 1)];
  const enumerate = function* (i: number, folder: Map<string, string>): Generator<Map<string, string>> {
    if (i === outcomes.length) {
      yield new Map(folder);
      return;
    }
    const [name, { current, former }] = outcomes[i]!;
    for (const text of new Set([...current, ...former])) {
      if (text === undefined) folder.delete(name);
      else folder.set(name, text);
      yield* enumerate(i + 1, folder);
    }
  };
  yield* enumerate(0, new Map(host.files));
};
const loseUnsynced = (rand: Random, host: DiskHost): void => {
  // In one of four power losses all unsynced changes are lost.
  const losesAll = rand.int(4) === 0;
  for (const [name, { current, former }] of possibleOutcomes(host, (length) => rand.int(length + 1))) {
    const isLost = former.length > 0 && (losesAll || rand.int(2) === 0);
    if (isLost) setFile(host, name, former[losesAll ? 0 : rand.int(former.length)]);
    else if (current.length > 1) setFile(host, name, current[losesAll ? 0 : rand.int(current.length)]);
  }
};
/** Applies a host failure to the disk's contents. */
const applyFailure = (rand: Random, host: DiskHost, failure: HostFailure): void => {
  host.disk.busyUntil = 0;
  if (failure === 'process') return;
  if (failure === 'power') loseUnsynced(rand, host);
  else host.files.clear();
  host.disk.unsyncedNames.clear();
  host.disk.nameChanges.clear();
  host.disk.unsyncedBytes.clear();
};

/** Waits for the duration of a call, in microseconds, and then for as long as the disk hangs. */
type WaitForDisk = (time: Microseconds) => Promise<void>;
const openWaitForDisk = <H extends DiskHost>({ now, schedule }: DiskEnvironment<H>, host: H): WaitForDisk => {
  const disk = host.disk;
  const wait = (time: Microseconds): Promise<void> =>
    new Promise((done) => {
      schedule(time, host, done);
    });
  return async (time) => {
    await wait(time);
    while (now() < disk.hangsUntil) await wait(disk.hangsUntil - now());
  };
};

type SyncCalls = { syncFolder: () => Promise<void>; syncFile: (name: string) => Promise<void> };
/** Syncs of the folder and of single files, performed one after another. */
const openSyncCalls = <H extends DiskHost>(
  environment: DiskEnvironment<H>,
  host: H,
  waitForDisk: WaitForDisk,
): SyncCalls => {
  const { rand, now } = environment;
  const disk = host.disk;
  const sync = async (): Promise<void> => {
    const time = (environment.syncTime * 0.2 + rand.int(Math.round(environment.syncTime * 0.8))) * disk.syncTimeFactor;
    disk.busyUntil = Math.max(now(), disk.busyUntil) + Math.round(time);
    await waitForDisk(disk.busyUntil - now());
    environment.onSync();
    if (rand.next() < disk.fail.sync) throw failure('EIO');
  };
  const syncFolder = async (): Promise<void> => {
    const covered = disk.changeCount;
    await sync();
    for (const [change, name] of disk.nameChanges) {
      if (change > covered) break;
      disk.nameChanges.delete(change);
      const former = disk.unsyncedNames.get(name)!;
      former.shift();
      if (former.length === 0) disk.unsyncedNames.delete(name);
    }
  };
  const syncFile = async (name: string): Promise<void> => {
    const text = host.files.get(name);
    try {
      await sync();
    } catch (error) {
      // After a failed sync the content on disk is undefined.
      if (text !== undefined) host.files.set(name, tornContents(text, rand.int(text.length + 1))[rand.int(4)]!);
      throw error;
    }
    if (host.files.get(name) === text) disk.unsyncedBytes.delete(name);
  };
  return { syncFolder, syncFile };
};

type NameCalls = { rename: (from: unknown, to: unknown) => Promise<void>; remove: (path: unknown) => Promise<void> };
/** The calls that rename and remove files. */
const openNameCalls = <H extends DiskHost>(
  { rand }: DiskEnvironment<H>,
  host: H,
  waitForDisk: WaitForDisk,
): NameCalls => {
  const disk = host.disk;
  const renameNow = (from: unknown, to: unknown): void => {
    const [source, target] = [nameIn(from), nameIn(to)];
    const fails = rand.next() < disk.fail.rename;
    // A rename that fails may still have taken effect.
    if (!fails || rand.int(2) === 0) {
      const hasUnsyncedBytes = disk.unsyncedBytes.has(source);
      changeName(host, target, host.files.get(source));
      changeName(host, source, undefined);
      disk.unsyncedBytes.delete(source);
      disk.unsyncedBytes.delete(target);
      if (hasUnsyncedBytes) disk.unsyncedBytes.set(target, undefined);
    }
    if (fails) throw failure('EIO');
  };
  const rename = (from: unknown, to: unknown): Promise<void> => promiseOf(() => renameNow(from, to));
  const remove = async (path: unknown): Promise<void> => {
    await waitForDisk(30);
    const name = nameIn(path);
    if (!host.files.has(name)) throw failure('ENOENT');
    changeName(host, name, undefined);
    disk.unsyncedBytes.delete(name);
  };
  return { rename, remove };
};

type ReadCalls = {
  readFile: (path: unknown) => Promise<string>;
  readPart: (name: string, buffer: Buffer, offset: number) => Promise<{ buffer: Buffer; bytesRead: number }>;
};
/** The calls that read files, whole or in part. */
const openReadCalls = <H extends DiskHost>(
  { rand }: DiskEnvironment<H>,
  host: H,
  waitForDisk: WaitForDisk,
): ReadCalls => {
  const waitForRead = async (): Promise<void> => {
    // A random duration, so that concurrent reads complete out of order.
    await waitForDisk(10 + rand.int(40));
    if (rand.next() < host.disk.fail.read) throw failure('EIO');
  };
  const readFile = async (path: unknown): Promise<string> => {
    await waitForRead();
    const text = host.files.get(nameIn(path));
    if (text === undefined) throw failure('ENOENT');
    return text;
  };
  const readPart: ReadCalls['readPart'] = async (name, buffer, offset) => {
    await waitForRead();
    const bytesRead = Buffer.from(host.files.get(name) ?? '').copy(buffer, 0, offset);
    return { buffer, bytesRead };
  };
  return { readFile, readPart };
};

/** The file calls of a data folder, on `host.files`. */
const openFileCalls = <H extends DiskHost>(environment: DiskEnvironment<H>, host: H): FileCalls => {
  const { rand } = environment;
  const disk = host.disk;
  const waitForDisk = openWaitForDisk(environment, host);
  const { syncFolder, syncFile } = openSyncCalls(environment, host, waitForDisk);
  const { rename, remove } = openNameCalls(environment, host, waitForDisk);
  const { readFile, readPart } = openReadCalls(environment, host, waitForDisk);
  const writeFile = async (name: string, text: string): Promise<void> => {
    changeBytes(host, name, text.slice(0, rand.int(text.length)));
    await waitForDisk(0);
    if (disk.full) throw failure('ENOSPC');
    changeBytes(host, name, text);
  };
  const open = async (path: unknown, flags: unknown): Promise<unknown> => {
    const name = nameIn(path);
    if (flags === 'w') {
      await waitForDisk(0);
      if (rand.next() < disk.fail.write) throw failure('EIO');
      if (host.files.has(name)) changeBytes(host, name, '');
      else changeName(host, name, '');
    } else if (name !== '' && !host.files.has(name)) throw failure('ENOENT');
    return {
      read: (buffer: Buffer, start: number, length: number, offset: number) =>
        readPart(name, buffer.subarray(start, start + length), offset),
      writeFile: (text: string) => writeFile(name, text),
      datasync: () => syncFile(name),
      sync: () => (name === '' ? syncFolder() : syncFile(name)),
      close: () => Promise.resolve(),
    };
  };
  const readdir = async (): Promise<string[]> => {
    await waitForDisk(30);
    return [...host.files.keys()].sort();
  };
  const stat = (path: unknown): Promise<{ size: number }> =>
    promiseOf(() => {
      const text = host.files.get(nameIn(path));
      if (text === undefined) throw failure('ENOENT');
      return { size: Buffer.byteLength(text) };
    });
  const simulated = {
    stat,
    open,
    rename,
    readFile,
    readdir,
    unlink: remove,
    rm: (path: unknown) => remove(path).catch(() => undefined),
    mkdir: () => Promise.resolve(),
  };
  return simulated as unknown as FileCalls;
};

/** The simulated disk: its initial state, its file calls, and its contents after a failure of the host. */
export const simulatedDisk = {
  state,
  /** The longest duration of a sync unless the world's options set it. */
  defaultSyncTime: duration.ms(1),
  /** The data folder for one run of a process: the runtime's real file code on the calls of the simulated disk. */
  of: <H extends DiskHost>(environment: DiskEnvironment<H>, host: H): Disk =>
    openDataFolder(root, openFileCalls(environment, host)),
  applyFailure,
  afterPowerLoss,
};
