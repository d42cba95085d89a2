// The simulated disk (§9.2): file calls with unsynced names and bytes, and what is left of them after a loss of power.
import {
  openDataFolder,
  duration,
  type Disk,
  type FileCalls,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import { promiseOf } from './promise-of.js';

/** A file's text; undefined where there is no file of that name. */
type Content = string | undefined;
/** A small disk: one sync at a time, of one file or of the folder. */
export type DiskState = {
  /** Stretches the time of a sync. */
  slow: number;
  /** No call ends before this time. */
  hangsUntil: Microseconds;
  /** Takes no more bytes. */
  full: boolean;
  /** Chances that a step fails. */
  fail: { write: number; sync: number; rename: number; read: number };
  /** Names made, renamed or removed since a sync of the folder: what a loss of power may bring back in their place. */
  unsyncedNames: Map<string, Content[]>;
  /** The same changes of names by their numbers, in their order. */
  nameChanges: Map<number, string>;
  changeCount: number;
  /** Files written since their last sync: what that sync covered. */
  unsyncedBytes: Map<string, Content>;
  /** When the syncs that were asked for are over. */
  busyUntil: Microseconds;
};
/** What the disk needs of the process that it belongs to; `inc` counts the starts of this process. */
export type DiskHost = { incarnation: number; files: Map<string, string>; disk: DiskState };
/** What the disk needs of the simulated world; `syncTime` is the longest time of one sync. */
export type DiskGround<H extends DiskHost> = {
  rand: Random;
  now: () => Microseconds;
  schedule: (after: Microseconds, host: H, fn: () => void) => unknown;
  syncTime: Microseconds;
  onSync: () => void;
};
/** What ended: the process alone, the machine's power with it, or the disk with all that it held. */
export type DiskEnd = 'process' | 'power' | 'disk';

const state = (): DiskState => ({
  slow: 1,
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
const nameIn = (at: unknown): string => String(at).slice(root.length + 1);
const failure = (code: string): Error => Object.assign(new Error(`${code}: simulated`), { code });
const setFile = (host: DiskHost, name: string, text: Content): void => {
  if (text === undefined) host.files.delete(name);
  else host.files.set(name, text);
};
/** Changes what a name stands for; until the folder is synced a loss of power may undo it. */
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

/** What a write without a sync may leave of a file: the bytes before it, none, a part, zeros at its end, or all. */
const tornAt = (text: string, cut: number): string[] => [
  '',
  text.slice(0, cut),
  text.slice(0, cut) + '\0'.repeat(text.length - cut),
  text,
];
const bytesLeft = (host: DiskHost, name: string, cut: (length: number) => number): Content[] => {
  const text = host.files.get(name);
  if (text === undefined || !host.disk.unsyncedBytes.has(name)) return [text];
  return [host.disk.unsyncedBytes.get(name) ?? '', ...tornAt(text, cut(text.length))];
};
/** For each name that a loss of power may change, what it may stand for afterwards. */
const possible = (host: DiskHost, cut: (length: number) => number): Map<string, { kept: Content[]; lost: Content[] }> =>
  new Map(
    [...new Set([...host.disk.unsyncedNames.keys(), ...host.disk.unsyncedBytes.keys()])].map((name) => [
      name,
      { kept: bytesLeft(host, name, cut), lost: host.disk.unsyncedNames.get(name) ?? [] },
    ]),
  );

/** Everything that a loss of power at this moment may leave in the folder; torn files are cut in the middle. */
const afterPowerLoss = function* (host: DiskHost): Generator<Map<string, string>> {
  const all = [...possible(host, (length) => length >> 1)];
  const walk = function* (i: number, left: Map<string, string>): Generator<Map<string, string>> {
    if (i === all.length) {
      yield new Map(left);
      return;
    }
    const [name, { kept, lost }] = all[i]!;
    for (const text of new Set([...kept, ...lost])) {
      if (text === undefined) left.delete(name);
      else left.set(name, text);
      yield* walk(i + 1, left);
    }
  };
  yield* walk(0, new Map(host.files));
};
const loseUnsynced = (rand: Random, host: DiskHost): void => {
  // At some losses of power all that was not synced is gone.
  const nothingKept = rand.int(4) === 0;
  for (const [name, { kept, lost }] of possible(host, (length) => rand.int(length + 1))) {
    const isLost = lost.length > 0 && (nothingKept || rand.int(2) === 0);
    if (isLost) setFile(host, name, lost[nothingKept ? 0 : rand.int(lost.length)]);
    else if (kept.length > 1) setFile(host, name, kept[nothingKept ? 0 : rand.int(kept.length)]);
  }
};
/** What the disk holds after its process ended, or the machine lost its power or the disk itself. */
const end = (rand: Random, host: DiskHost, how: DiskEnd): void => {
  host.disk.busyUntil = 0;
  if (how === 'process') return;
  if (how === 'power') loseUnsynced(rand, host);
  else host.files.clear();
  host.disk.unsyncedNames.clear();
  host.disk.nameChanges.clear();
  host.disk.unsyncedBytes.clear();
};

/** Waits for a call that takes `after` (microseconds), and for as long as the disk hangs. */
type Takes = (after: Microseconds) => Promise<void>;
const takesOf = <H extends DiskHost>({ now, schedule }: DiskGround<H>, host: H): Takes => {
  const disk = host.disk;
  const wait = (after: Microseconds): Promise<void> =>
    new Promise((done) => {
      schedule(after, host, done);
    });
  return async (after) => {
    await wait(after);
    while (now() < disk.hangsUntil) await wait(disk.hangsUntil - now());
  };
};

type Syncs = { syncFolder: () => Promise<void>; syncFile: (name: string) => Promise<void> };
/** Syncs of the folder and of single files, one after another as the disk takes them. */
const syncsOf = <H extends DiskHost>(ground: DiskGround<H>, host: H, takes: Takes): Syncs => {
  const { rand, now } = ground;
  const disk = host.disk;
  const sync = async (): Promise<void> => {
    const time = (ground.syncTime * 0.2 + rand.int(Math.round(ground.syncTime * 0.8))) * disk.slow;
    disk.busyUntil = Math.max(now(), disk.busyUntil) + Math.round(time);
    await takes(disk.busyUntil - now());
    ground.onSync();
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
      // Nobody knows what the disk holds then.
      if (text !== undefined) host.files.set(name, tornAt(text, rand.int(text.length + 1))[rand.int(4)]!);
      throw error;
    }
    if (host.files.get(name) === text) disk.unsyncedBytes.delete(name);
  };
  return { syncFolder, syncFile };
};

type NameCalls = { rename: (from: unknown, to: unknown) => Promise<void>; remove: (at: unknown) => Promise<void> };
/** The calls that change what names stand for. */
const nameCalls = <H extends DiskHost>({ rand }: DiskGround<H>, host: H, takes: Takes): NameCalls => {
  const disk = host.disk;
  const renameNow = (from: unknown, to: unknown): void => {
    const [source, target] = [nameIn(from), nameIn(to)];
    const fails = rand.next() < disk.fail.rename;
    // A rename that fails may have happened all the same.
    if (!fails || rand.int(2) === 0) {
      const bytes = disk.unsyncedBytes.has(source);
      changeName(host, target, host.files.get(source));
      changeName(host, source, undefined);
      disk.unsyncedBytes.delete(source);
      disk.unsyncedBytes.delete(target);
      if (bytes) disk.unsyncedBytes.set(target, undefined);
    }
    if (fails) throw failure('EIO');
  };
  const rename = (from: unknown, to: unknown): Promise<void> => promiseOf(() => renameNow(from, to));
  const remove = async (at: unknown): Promise<void> => {
    await takes(30);
    const name = nameIn(at);
    if (!host.files.has(name)) throw failure('ENOENT');
    changeName(host, name, undefined);
    disk.unsyncedBytes.delete(name);
  };
  return { rename, remove };
};

/** The file calls of a data folder, over `host.files`. */
const calls = <H extends DiskHost>(ground: DiskGround<H>, host: H): FileCalls => {
  const { rand } = ground;
  const disk = host.disk;
  const takes = takesOf(ground, host);
  const { syncFolder, syncFile } = syncsOf(ground, host, takes);
  const { rename, remove } = nameCalls(ground, host, takes);
  const writeFile = async (name: string, text: string): Promise<void> => {
    changeBytes(host, name, text.slice(0, rand.int(text.length)));
    await takes(0);
    if (disk.full) throw failure('ENOSPC');
    changeBytes(host, name, text);
  };
  const open = async (at: unknown, flags: unknown): Promise<unknown> => {
    const name = nameIn(at);
    if (flags === 'w') {
      await takes(0);
      if (rand.next() < disk.fail.write) throw failure('EIO');
      if (host.files.has(name)) changeBytes(host, name, '');
      else changeName(host, name, '');
    } else if (name !== '' && !host.files.has(name)) throw failure('ENOENT');
    return {
      writeFile: (text: string) => writeFile(name, text),
      datasync: () => syncFile(name),
      sync: () => (name === '' ? syncFolder() : syncFile(name)),
      close: () => Promise.resolve(),
    };
  };
  const readFile = async (at: unknown): Promise<string> => {
    // Several at once do not end in the order in which they began.
    await takes(10 + rand.int(40));
    if (rand.next() < disk.fail.read) throw failure('EIO');
    const text = host.files.get(nameIn(at));
    if (text === undefined) throw failure('ENOENT');
    return text;
  };
  const readdir = async (): Promise<string[]> => {
    await takes(30);
    return [...host.files.keys()].sort();
  };
  const simulated = {
    open,
    rename,
    readFile,
    readdir,
    unlink: remove,
    rm: (at: unknown) => remove(at).catch(() => undefined),
    mkdir: () => Promise.resolve(),
  };
  return simulated as unknown as FileCalls;
};

/** The simulated disk: its state, its calls, and what it holds after an end. */
export const simulatedDisk = {
  state,
  /** The longest time of a sync where a world says nothing else. */
  usualSyncTime: duration.ms(1),
  /** The data folder of one start of a process: what runs on real machines, over the calls of the simulated disk. */
  of: <H extends DiskHost>(ground: DiskGround<H>, host: H): Disk => openDataFolder(root, calls(ground, host)),
  end,
  afterPowerLoss,
};
