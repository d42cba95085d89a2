// The data folder on a disk that is full or fails, for each step of a write (§6.1).
import { promises as fs } from 'node:fs';
import { mkdtempSync, readdirSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, openDataFolder, type FileCalls } from '@thornsail/runtime';
import {
  recordStore,
  durableStore,
  defaultLimits,
  type RecordStore,
  type RecordEntry,
  recoverFolder,
} from '@thornsail/durable-files';

/** The step of a disk operation that fails; `folder` is the sync of the folder. */
type Step = 'open' | 'write' | 'sync' | 'rename' | 'folder' | 'read' | 'none';
/** File system calls of which one step fails with a system error code; each step is recorded. */
const failing = (failure: { step: Step; code: string }, recordedSteps: Step[] = []): FileCalls => {
  const failAt = (step: Step): void => {
    recordedSteps.push(step);
    if (failure.step === step) throw Object.assign(new Error(`${failure.code}: injected`), { code: failure.code });
  };
  const open = async (filePath: Parameters<typeof fs.open>[0], flags?: string): Promise<fs.FileHandle> => {
    if (flags === 'w') failAt('open');
    const handle = await fs.open(filePath, flags);
    return new Proxy(handle, {
      get: (target, property: keyof fs.FileHandle) => {
        const steps: Partial<Record<keyof fs.FileHandle, Step>> = {
          writeFile: 'write',
          datasync: 'sync',
          sync: 'folder',
        };
        const value: unknown = Reflect.get(target, property);
        if (typeof value !== 'function') return value;
        return (...args: unknown[]) =>
          new Promise((resolve) => {
            const step = steps[property];
            if (step) failAt(step);
            resolve((value as (...parameters: unknown[]) => unknown).apply(target, args));
          });
      },
    });
  };
  const rename: typeof fs.rename = async (from, to) => {
    failAt('rename');
    return fs.rename(from, to);
  };
  const readFile = (async (...args: Parameters<typeof fs.readFile>) => {
    failAt('read');
    return fs.readFile(...args);
  }) as typeof fs.readFile;
  return { ...fs, open: open as typeof fs.open, rename, readFile };
};
const temporaryFolder = (): string => mkdtempSync(path.join(os.tmpdir(), 'thornsail-disk-'));
const codeOf = async (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (error) => fault.info(error).code ?? 'none',
  );

test('a full disk rejects writes without any change, and accepts them again when there is space', async () => {
  for (const step of ['open', 'write'] as const) {
    const folder = temporaryFolder();
    const failure = { step: 'none' as Step, code: 'ENOSPC' };
    let stopped = 0;
    const durable = await durableStore.open(openDataFolder(folder, failing(failure)), () => (stopped += 1));
    await durable.write('a', 1, { v: 1 });
    failure.step = step;
    assert.is(await codeOf(durable.write('a', 2, { v: 2 })), 'full');
    assert.equal(readdirSync(folder), ['a.000000000001'], 'nothing is left behind');
    failure.step = 'none';
    await durable.write('a', 3, { v: 3 });
    assert.equal((await (await durableStore.open(openDataFolder(folder))).read<{ v: number }>('a'))?.value, { v: 3 });
    assert.is(stopped, 0);
  }
});

test('a write, sync or rename that fails is not acknowledged, stops the store, and is never retried', async () => {
  for (const [step, code] of [
    ['write', 'EIO'],
    ['sync', 'EIO'],
    ['sync', 'ENOSPC'],
    ['rename', 'EIO'],
    ['folder', 'EIO'],
  ] as const) {
    const folder = temporaryFolder();
    const failure = { step: 'none' as Step, code };
    let stopped = 0;
    const durable = await durableStore.open(openDataFolder(folder, failing(failure)), () => (stopped += 1));
    await durable.write('a', 1, { v: 1 });
    failure.step = step;
    assert.is(await codeOf(durable.write('a', 2, { v: 2 })), 'failed', step);
    failure.step = 'none';
    assert.is(await codeOf(durable.write('a', 3, { v: 3 })), 'failed', `${step}: a retry must not appear to succeed`);
    assert.is(await codeOf(durable.write('b', 1, {})), 'failed');
    assert.is(stopped, 1);
    const value = (await (await durableStore.open(openDataFolder(folder))).read<{ v: number }>('a'))?.value.v;
    assert.ok(value === 1 || value === 2, `${step}: ${String(value)}`);
  }
});

test('a file that cannot be read is an error, not a missing file or a damaged folder', async () => {
  const folder = temporaryFolder();
  await (await durableStore.open(openDataFolder(folder))).write('a', 1, { v: 1 });
  const failure = { step: 'read' as Step, code: 'EIO' };
  const durable = await durableStore.open(openDataFolder(folder, failing(failure)));
  assert.is(await codeOf(recoverFolder(durable, () => undefined)), 'failed');
  assert.equal(readdirSync(folder), ['a.000000000001']);
});

/** Opens and recovers the records of a folder. */
const openRecords = async (
  folder: string,
  calls?: FileCalls,
): Promise<{
  records: RecordStore<number>;
  entries: Map<string, RecordEntry<number>>;
  stopped: () => number;
  isValid: boolean;
}> => {
  const entries = new Map<string, RecordEntry<number>>();
  const index = {
    get: (key: string) => entries.get(key),
    set: (key: string, entry: RecordEntry<number>) => void entries.set(key, entry),
    delete: (key: string) => void entries.delete(key),
    clear: () => entries.clear(),
  };
  let stopped = 0;
  const durable = await durableStore.open(openDataFolder(folder, calls), () => (stopped += 1));
  const records = recordStore.open<number>({ durable, index, prefix: 'reg:' });
  const isValid = await recoverFolder(durable, () => undefined, undefined, records.load);
  return { records, entries, stopped: () => stopped, isValid };
};
test('a batch takes one sync of its file; one sync of the folder precedes the use of many reserved names', async () => {
  const recordedSteps: Step[] = [];
  const folder = temporaryFolder();
  const opened = await openRecords(folder, failing({ step: 'none', code: '' }, recordedSteps));
  /** Writes records concurrently, and counts the steps that this takes. */
  const countSteps = async (count: number, prefix: string): Promise<Record<string, number>> => {
    recordedSteps.length = 0;
    await Promise.all(Array.from({ length: count }, (_, i) => opened.records.write(`${prefix}${i}`, i)));
    return Object.fromEntries(
      [...new Set(recordedSteps)].sort().map((step) => [step, recordedSteps.filter((call) => call === step).length]),
    );
  };
  const names = Array.from({ length: defaultLimits.reservedFiles }, (_, i) => `b.${String(i + 1).padStart(12, '0')}`);
  assert.equal(await countSteps(30, 'k'), { folder: 1, open: defaultLimits.reservedFiles + 1, sync: 1, write: 1 });
  assert.is(
    recordedSteps.indexOf('folder') < recordedSteps.indexOf('write'),
    true,
    'written to a file whose name was not durable',
  );
  assert.equal(readdirSync(folder), names, 'written in place');
  assert.equal(await countSteps(30, 'm'), { open: 1, sync: 1, write: 1 });
  // Uses the remaining names; more are reserved before these run out.
  let folderSyncs = 0;
  for (let i = 2; i < defaultLimits.reservedFiles; i++) folderSyncs += (await countSteps(1, `n${i}/`))['folder'] ?? 0;
  assert.is(folderSyncs, 1);
  const reopened = await openRecords(folder);
  assert.ok(
    reopened.isValid &&
      reopened.entries.size === 60 + defaultLimits.reservedFiles - 2 &&
      reopened.entries.get('k7')?.value === 7,
  );
});
test('a full disk rejects the whole batch; a batch that fails is neither acknowledged nor retried', async () => {
  // For a batch whose name was reserved before, and for the first one, which reserves names.
  for (const [step, code, expected, isFirst] of [
    ['open', 'ENOSPC', 'full', false],
    ['open', 'ENOSPC', 'full', true],
    ['open', 'EIO', 'failed', true],
    ['write', 'EDQUOT', 'full', false],
    ['write', 'EIO', 'failed', false],
    ['sync', 'EIO', 'failed', false],
    ['sync', 'ENOSPC', 'failed', false],
    ['folder', 'EIO', 'failed', true],
    ['folder', 'ENOSPC', 'failed', true],
  ] as const) {
    const folder = temporaryFolder();
    const failure = { step: 'none' as Step, code };
    const opened = await openRecords(folder, failing(failure));
    if (!isFirst) await opened.records.write('a', 1);
    failure.step = step;
    const codes = await Promise.all([codeOf(opened.records.write('a', 2)), codeOf(opened.records.write('b', 2))]);
    assert.equal(codes, [expected, expected], step);
    assert.is(opened.entries.get('a')?.value, isFirst ? undefined : 1);
    failure.step = 'none';
    assert.is(await codeOf(opened.records.write('c', 3)), expected === 'full' ? 'ok' : 'failed');
    assert.is(opened.stopped(), expected === 'full' ? 0 : 1);
    const reopened = await openRecords(folder);
    assert.ok(reopened.isValid && reopened.entries.has('c') === (expected === 'full'), step);
    assert.ok(isFirst || reopened.entries.has('a'), step);
    if (expected === 'full') assert.is(reopened.entries.get('a')?.value, isFirst ? undefined : 1);
  }
});
test.run();
