// The real outside: the system clock, a data folder, TCP frames, polka and undici (§2.1).
import { randomFillSync } from 'node:crypto';
import { promises as fs } from 'node:fs';
import path from 'node:path';
import debug from 'debug';
import { connect } from './connection.js';
import { frames } from './frames.js';
import { call } from './http-client.js';
import { listener, serve } from './http-server.js';
import { fault, type Clock, type Disk, type Lens, type Rand } from './index.js';

const clock: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n),
  // The system's clock as it is now: it follows corrections, which the process's own origin does not.
  // eslint-disable-next-line no-restricted-syntax
  wall: () => Date.now() * 1000,
  tick: (after, fn) => {
    const t = setTimeout(fn, Math.max(0, after / 1000));
    return () => clearTimeout(t);
  },
};

/** Random bytes are fetched some thousands at a time: each fetch is a system call. */
const randomPool = Buffer.allocUnsafeSlow(4096);
let randomUsed = randomPool.length;
const randomAt = (n: number): number => {
  if (randomUsed + n > randomPool.length) {
    randomFillSync(randomPool);
    randomUsed = 0;
  }
  randomUsed += n;
  return randomUsed - n;
};
const rand: Rand = {
  next: () => randomPool.readUInt32BE(randomAt(4)) / 4_294_967_296,
  int: (below) => Math.floor(rand.next() * below),
  id: () => {
    const at = randomAt(9);
    return randomPool.toString('hex', at, at + 9);
  },
};

/** The calls that a data folder needs; a test brings ones that fail. */
export type FileCalls = Pick<typeof fs, 'open' | 'rename' | 'readFile' | 'readdir' | 'rm' | 'unlink' | 'mkdir'>;
const noRoom = new Set(['ENOSPC', 'EDQUOT']);
const diskFault = (step: string, e: unknown): Error => {
  const full = step === 'write' && noRoom.has((e as NodeJS.ErrnoException).code ?? '');
  return fault.make({ step: `disk.${step}`, code: full ? 'full' : 'failed' }, fault.text(e), e);
};
const step = async <T>(name: string, work: Promise<T>): Promise<T> => {
  try {
    return await work;
  } catch (e) {
    throw diskFault(name, e);
  }
};

export type FileOptions = {
  /** Off only where the platform says that a new file lasts once it has its own sync (§6.1). */
  syncFolder?: boolean;
};
/** Documents are written aside, synced, renamed, folder synced; new files are written and synced in place (§6.1). */
export const files = (folder: string, calls: FileCalls = fs, o: FileOptions = {}): Disk => {
  const newNames = o.syncFolder ?? true;
  if (typeof newNames !== 'boolean') throw fault.make({ step: 'disk.options' }, 'syncFolder is true or false');
  const syncAt = async (at: string): Promise<void> => {
    const f = await calls.open(at, 'r');
    try {
      await f.sync();
    } finally {
      await f.close();
    }
  };
  const syncFolder = (): Promise<void> => syncAt(folder);
  let made: Promise<unknown> | undefined;
  const ready = (): Promise<unknown> => (made ??= calls.mkdir(folder, { recursive: true }));
  let n = 0;
  /** On a failure the file goes; one that stays all the same was never acknowledged, and shows as torn. */
  const writeFile = async (at: string, text: () => string, names = false): Promise<void> => {
    try {
      const f = await step('write', calls.open(at, 'w'));
      try {
        await step('write', f.writeFile(text(), 'utf8'));
        await step('sync', Promise.all([f.datasync(), ...(names ? [syncFolder()] : [])]));
      } finally {
        await f.close();
      }
    } catch (e) {
      await calls.rm(at, { force: true }).catch(() => undefined);
      throw e;
    }
  };
  return {
    put: async (name, text) => {
      await step('write', ready());
      const aside = path.join(folder, `.aside-${process.pid}-${n++}`);
      await writeFile(aside, () => text);
      await step('rename', calls.rename(aside, path.join(folder, name)));
      await step('sync', syncFolder());
    },
    create: async (name, text) => {
      await step('write', ready());
      await writeFile(path.join(folder, name), text, newNames);
    },
    settle: async (names) => {
      await step('sync', ready());
      await step('sync', Promise.all([...names.map((name) => syncAt(path.join(folder, name))), syncFolder()]));
    },
    get: async (name) =>
      calls.readFile(path.join(folder, name), 'utf8').catch((e: NodeJS.ErrnoException) => {
        if (e.code === 'ENOENT') return undefined;
        throw diskFault('read', e);
      }),
    list: async () => {
      await step('read', ready());
      const all = await step('read', calls.readdir(folder));
      const mine = `.aside-${process.pid}-`;
      const old = all.filter((f) => f.startsWith('.aside-') && !f.startsWith(mine));
      await Promise.all(old.map((f) => calls.rm(path.join(folder, f), { force: true })));
      return all.filter((f) => !f.startsWith('.aside-')).sort();
    },
    drop: async (name) =>
      calls.unlink(path.join(folder, name)).catch((e: NodeJS.ErrnoException) => {
        if (e.code !== 'ENOENT') throw diskFault('remove', e);
      }),
  };
};

const logs = (part: string): ((text: string) => void) => {
  const d = debug(`thornsail:${part}`);
  return (text) => d('%s', text);
};

export const real = {
  listener,
  lens: (folder: string, o: FileOptions = {}): Lens => ({
    clock,
    rand,
    disk: files(folder, fs, o),
    net: { frames, serve, call, connect },
    log: logs,
  }),
  /** What a daemon says unless DEBUG says otherwise: all parts but the one that speaks for each program. */
  logsByDefault: (): void => {
    if (process.env['DEBUG'] === undefined) debug.enable('thornsail:*,-thornsail:pilotage');
  },
};
