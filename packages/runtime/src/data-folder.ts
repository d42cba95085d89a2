// A folder of the system's as a `Disk` (§6.1).
import { promises as fs } from 'node:fs';
import path from 'node:path';
import { fault, type Disk } from './index.js';

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

/**
 * Documents are written aside, synced, renamed, folder synced; reserved files are made empty, folder synced, and later
 * written and synced in place (§6.1).
 */
export const files = (folder: string, calls: FileCalls = fs): Disk => {
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
  /** Documents that are being written: what else lies aside was left by a former process. */
  const underWay = new Set<string>();
  const writeFile = async (at: string, text: () => string): Promise<void> => {
    const f = await step('write', calls.open(at, 'w'));
    try {
      await step('write', f.writeFile(text(), 'utf8'));
      await step('sync', f.datasync());
    } finally {
      await f.close();
    }
  };
  const makeEmpty = async (at: string): Promise<void> => {
    const f = await calls.open(at, 'w');
    await f.close();
  };
  return {
    put: async (name, text) => {
      await step('write', ready());
      const aside = `.aside-${n++}`;
      underWay.add(aside);
      try {
        await writeFile(path.join(folder, aside), () => text).catch(async (e) => {
          await calls.rm(path.join(folder, aside), { force: true }).catch(() => undefined);
          throw e;
        });
        await step('rename', calls.rename(path.join(folder, aside), path.join(folder, name)));
      } finally {
        underWay.delete(aside);
      }
      await step('sync', syncFolder());
    },
    reserve: async (names) => {
      await step('write', ready());
      for (const name of names) await step('write', makeEmpty(path.join(folder, name)));
      await step('sync', syncFolder());
    },
    fill: async (name, text) => {
      const at = path.join(folder, name);
      try {
        await writeFile(at, text);
      } catch (e) {
        // Its bytes go and its name stays; bytes that stay all the same were never acknowledged, and show as torn.
        await makeEmpty(at).catch(() => undefined);
        throw e;
      }
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
      const old = all.filter((f) => f.startsWith('.aside-') && !underWay.has(f));
      await Promise.all(old.map((f) => calls.rm(path.join(folder, f), { force: true })));
      return all.filter((f) => !f.startsWith('.aside-')).sort();
    },
    drop: async (name) =>
      calls.unlink(path.join(folder, name)).catch((e: NodeJS.ErrnoException) => {
        if (e.code !== 'ENOENT') throw diskFault('remove', e);
      }),
  };
};
