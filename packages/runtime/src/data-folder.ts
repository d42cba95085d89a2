/** A `Disk` in a folder of the file system (§6.1). */
import { promises as fs } from 'node:fs';
import path from 'node:path';
import type { Disk } from './disk.js';
import { fault } from './fault.js';

/** The file system calls that a data folder uses; tests inject failing ones. */
export type FileCalls = Pick<
  typeof fs,
  'open' | 'rename' | 'readFile' | 'readdir' | 'rm' | 'unlink' | 'mkdir' | 'stat'
>;
/** The error codes of a full disk, of an exhausted quota, and of a process without a free descriptor. */
const diskFullCodes = new Set(['ENOSPC', 'EDQUOT', 'EMFILE', 'ENFILE']);
/** Wraps an error of a file system call; only a write can fail with code `full`. */
const diskFault = (step: string, error: unknown): Error => {
  const full = step === 'write' && diskFullCodes.has((error as NodeJS.ErrnoException).code ?? '');
  return fault.make({ step: `disk.${step}`, code: full ? 'full' : 'failed' }, fault.text(error), error);
};
/** Awaits `work`, and turns its error into a fault of step `disk.<name>`. */
const step = async <T>(name: string, work: Promise<T>): Promise<T> => {
  try {
    return await work;
  } catch (error) {
    throw diskFault(name, error);
  }
};

/** Error handler that ignores a missing file and throws a fault of step `disk.<name>` for every other error. */
const ignoreMissing =
  (name: string) =>
  (error: NodeJS.ErrnoException): undefined => {
    if (error.code === 'ENOENT') return undefined;
    throw diskFault(name, error);
  };

/** The operations on single files that a disk is built from; `filePath` includes the folder. */
const fileOperations = (
  calls: FileCalls,
): {
  sync: (filePath: string) => Promise<void>;
  write: (filePath: string, text: () => string) => Promise<void>;
  /** Writes a new file, and removes it if the write fails. */
  writeNew: (filePath: string, text: string) => Promise<void>;
  createEmpty: (filePath: string) => Promise<void>;
} => {
  const sync = async (filePath: string): Promise<void> => {
    const file = await calls.open(filePath, 'r');
    try {
      await file.sync();
    } finally {
      await file.close();
    }
  };
  const write = async (filePath: string, text: () => string): Promise<void> => {
    const file = await step('write', calls.open(filePath, 'w'));
    try {
      await step('write', file.writeFile(text(), 'utf8'));
      await step('sync', file.datasync());
    } finally {
      await file.close();
    }
  };
  const writeNew = (filePath: string, text: string): Promise<void> =>
    write(filePath, () => text).catch(async (error) => {
      await calls.rm(filePath, { force: true }).catch(() => undefined);
      throw error;
    });
  const createEmpty = async (filePath: string): Promise<void> => {
    const file = await calls.open(filePath, 'w');
    await file.close();
  };
  return { sync, write, writeNew, createEmpty };
};

/** The operations of a disk that read a file. */
const readOperations = (folder: string, calls: FileCalls): Pick<Disk, 'read' | 'readPart' | 'size'> => {
  const readPart = async (name: string, offset: number, length: number): Promise<string | undefined> => {
    const file = await calls.open(path.join(folder, name), 'r');
    try {
      const { buffer, bytesRead } = await file.read(Buffer.allocUnsafe(length), 0, length, offset);
      return bytesRead === length ? buffer.toString('utf8') : undefined;
    } finally {
      await file.close();
    }
  };
  const sizeOf = async (name: string): Promise<number> => (await calls.stat(path.join(folder, name))).size;
  return {
    read: async (name) => calls.readFile(path.join(folder, name), 'utf8').catch(ignoreMissing('read')),
    readPart: async (name, offset, length) => readPart(name, offset, length).catch(ignoreMissing('read')),
    size: async (name) => sizeOf(name).catch(ignoreMissing('read')),
  };
};

/**
 * Opens a folder as a `Disk`; it is created when first used. Documents are written to a temporary file, which is synced
 * and renamed; then the folder is synced. Reserved files are created empty and the folder synced; they are written and
 * synced in place later (§6.1). Errors carry their step: `disk.write` (code `full` if the disk is full), `disk.sync`,
 * `disk.rename`, `disk.read` or `disk.remove`.
 */
export const openDataFolder = (folder: string, calls: FileCalls = fs): Disk => {
  const { sync, write, writeNew, createEmpty } = fileOperations(calls);
  const syncFolder = (): Promise<void> => sync(folder);
  let folderCreation: Promise<unknown> | undefined;
  const ensureFolder = (): Promise<unknown> => (folderCreation ??= calls.mkdir(folder, { recursive: true }));
  let nextTemporary = 0;
  /** Temporary files of documents being written; all others were left behind by a previous process. */
  const inProgress = new Set<string>();
  return {
    ...readOperations(folder, calls),
    writeDocument: async (name, text) => {
      await step('write', ensureFolder());
      const temporaryName = `.aside-${nextTemporary++}`;
      inProgress.add(temporaryName);
      try {
        await writeNew(path.join(folder, temporaryName), text);
        await step('rename', calls.rename(path.join(folder, temporaryName), path.join(folder, name)));
      } finally {
        inProgress.delete(temporaryName);
      }
      await step('sync', syncFolder());
    },
    reserveFiles: async (names) => {
      await step('write', ensureFolder());
      for (const name of names) await step('write', createEmpty(path.join(folder, name)));
      await step('sync', syncFolder());
    },
    writeReserved: async (name, text) => {
      const filePath = path.join(folder, name);
      try {
        await write(filePath, text);
      } catch (error) {
        // Truncates the file but keeps its reserved name. If this fails, too, the remaining bytes were never
        // acknowledged, and are recognised as torn at the next start.
        await createEmpty(filePath).catch(() => undefined);
        throw error;
      }
    },
    syncExisting: async (names) => {
      await step('sync', ensureFolder());
      await step('sync', Promise.all([...names.map((name) => sync(path.join(folder, name))), syncFolder()]));
    },
    list: async () => {
      await step('read', ensureFolder());
      const names = await step('read', calls.readdir(folder));
      const stale = names.filter((file) => file.startsWith('.aside-') && !inProgress.has(file));
      await Promise.all(stale.map((file) => calls.rm(path.join(folder, file), { force: true })));
      return names.filter((file) => !file.startsWith('.aside-')).sort();
    },
    remove: async (name) => calls.unlink(path.join(folder, name)).catch(ignoreMissing('remove')),
  };
};
