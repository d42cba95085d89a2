// A folder of the system's as a `Disk` (§6.1).
import { promises as fs } from 'node:fs';
import path from 'node:path';
import type { Disk } from './disk.js';
import { fault } from './fault.js';

/** The calls that a data folder needs; a test brings ones that fail. */
export type FileCalls = Pick<typeof fs, 'open' | 'rename' | 'readFile' | 'readdir' | 'rm' | 'unlink' | 'mkdir'>;
const noRoom = new Set(['ENOSPC', 'EDQUOT']);
const diskFault = (step: string, error: unknown): Error => {
  const full = step === 'write' && noRoom.has((error as NodeJS.ErrnoException).code ?? '');
  return fault.make({ step: `disk.${step}`, code: full ? 'full' : 'failed' }, fault.text(error), error);
};
const step = async <T>(name: string, work: Promise<T>): Promise<T> => {
  try {
    return await work;
  } catch (error) {
    throw diskFault(name, error);
  }
};

/** Passes over the error of a file that is not there. */
const unlessMissing =
  (name: string) =>
  (error: NodeJS.ErrnoException): undefined => {
    if (error.code === 'ENOENT') return undefined;
    throw diskFault(name, error);
  };

/** Steps with single files that the calls of a disk are made of; `at` is a whole path. */
const fileSteps = (
  calls: FileCalls,
): {
  sync: (at: string) => Promise<void>;
  write: (at: string, text: () => string) => Promise<void>;
  /** Writes a file that is removed again if the write fails. */
  writeNew: (at: string, text: string) => Promise<void>;
  makeEmpty: (at: string) => Promise<void>;
} => {
  const sync = async (at: string): Promise<void> => {
    const file = await calls.open(at, 'r');
    try {
      await file.sync();
    } finally {
      await file.close();
    }
  };
  const write = async (at: string, text: () => string): Promise<void> => {
    const file = await step('write', calls.open(at, 'w'));
    try {
      await step('write', file.writeFile(text(), 'utf8'));
      await step('sync', file.datasync());
    } finally {
      await file.close();
    }
  };
  const writeNew = (at: string, text: string): Promise<void> =>
    write(at, () => text).catch(async (error) => {
      await calls.rm(at, { force: true }).catch(() => undefined);
      throw error;
    });
  const makeEmpty = async (at: string): Promise<void> => {
    const file = await calls.open(at, 'w');
    await file.close();
  };
  return { sync, write, writeNew, makeEmpty };
};

/**
 * Documents are written aside, synced, renamed, folder synced; reserved files are made empty, folder synced, and later
 * written and synced in place (§6.1). Errors name their step: `disk.write` (code `full` where there is no room),
 * `disk.sync`, `disk.rename`, `disk.read`, `disk.remove`.
 */
export const files = (folder: string, calls: FileCalls = fs): Disk => {
  const { sync, write, writeNew, makeEmpty } = fileSteps(calls);
  const syncFolder = (): Promise<void> => sync(folder);
  let made: Promise<unknown> | undefined;
  const ready = (): Promise<unknown> => (made ??= calls.mkdir(folder, { recursive: true }));
  let n = 0;
  /** Documents that are being written: what else lies aside was left by a former process. */
  const underWay = new Set<string>();
  return {
    writeDocument: async (name, text) => {
      await step('write', ready());
      const aside = `.aside-${n++}`;
      underWay.add(aside);
      try {
        await writeNew(path.join(folder, aside), text);
        await step('rename', calls.rename(path.join(folder, aside), path.join(folder, name)));
      } finally {
        underWay.delete(aside);
      }
      await step('sync', syncFolder());
    },
    reserveFiles: async (names) => {
      await step('write', ready());
      for (const name of names) await step('write', makeEmpty(path.join(folder, name)));
      await step('sync', syncFolder());
    },
    writeReserved: async (name, text) => {
      const at = path.join(folder, name);
      try {
        await write(at, text);
      } catch (error) {
        // Its bytes go and its name stays; bytes that stay all the same were never acknowledged, and show as torn.
        await makeEmpty(at).catch(() => undefined);
        throw error;
      }
    },
    syncExisting: async (names) => {
      await step('sync', ready());
      await step('sync', Promise.all([...names.map((name) => sync(path.join(folder, name))), syncFolder()]));
    },
    read: async (name) => calls.readFile(path.join(folder, name), 'utf8').catch(unlessMissing('read')),
    list: async () => {
      await step('read', ready());
      const all = await step('read', calls.readdir(folder));
      const old = all.filter((file) => file.startsWith('.aside-') && !underWay.has(file));
      await Promise.all(old.map((file) => calls.rm(path.join(folder, file), { force: true })));
      return all.filter((file) => !file.startsWith('.aside-')).sort();
    },
    remove: async (name) => calls.unlink(path.join(folder, name)).catch(unlessMissing('remove')),
  };
};
