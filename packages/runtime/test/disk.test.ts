// The data folder when the disk is full or fails, step by step (§6.1).
import { promises as fs } from 'node:fs';
import { mkdtempSync, readdirSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, files, type FileCalls } from '@thornsail/runtime';
import {
  recordStore,
  durableStore,
  defaultLimits,
  type RecordStore,
  type RecordEntry,
  recoverFolder,
} from '@thornsail/durable-files';

type Step = 'open' | 'write' | 'sync' | 'rename' | 'folder' | 'read' | 'none';
/** File calls of which one fails, with a code of the system's. */
const failing = (what: { step: Step; code: string }, seen: Step[] = []): FileCalls => {
  const fail = (step: Step): void => {
    seen.push(step);
    if (what.step === step) throw Object.assign(new Error(`${what.code}: injected`), { code: what.code });
  };
  const open = async (file: Parameters<typeof fs.open>[0], how?: string): Promise<fs.FileHandle> => {
    if (how === 'w') fail('open');
    const f = await fs.open(file, how);
    return new Proxy(f, {
      get: (t, k: keyof fs.FileHandle) => {
        const step: Partial<Record<keyof fs.FileHandle, Step>> = {
          writeFile: 'write',
          datasync: 'sync',
          sync: 'folder',
        };
        const v: unknown = Reflect.get(t, k);
        if (typeof v !== 'function') return v;
        return (...a: unknown[]) =>
          new Promise((resolve) => {
            const s = step[k];
            if (s) fail(s);
            resolve((v as (...x: unknown[]) => unknown).apply(t, a));
          });
      },
    });
  };
  const rename: typeof fs.rename = async (a, b) => {
    fail('rename');
    return fs.rename(a, b);
  };
  const readFile = (async (...a: Parameters<typeof fs.readFile>) => {
    fail('read');
    return fs.readFile(...a);
  }) as typeof fs.readFile;
  return { ...fs, open: open as typeof fs.open, rename, readFile };
};
const folder = (): string => mkdtempSync(path.join(os.tmpdir(), 'thornsail-disk-'));
const codeOf = async (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (e) => fault.info(e).code ?? 'none',
  );

test('a full disk refuses before anything has changed, and serves again when there is room', async () => {
  for (const step of ['open', 'write'] as const) {
    const dir = folder();
    const what = { step: 'none' as Step, code: 'ENOSPC' };
    let stopped = 0;
    const durable = await durableStore.open(files(dir, failing(what)), () => (stopped += 1));
    await durable.write('a', 1, { v: 1 });
    what.step = step;
    assert.is(await codeOf(durable.write('a', 2, { v: 2 })), 'full');
    assert.equal(readdirSync(dir), ['a.000000000001'], 'nothing is left behind');
    what.step = 'none';
    await durable.write('a', 3, { v: 3 });
    assert.equal((await (await durableStore.open(files(dir))).read<{ v: number }>('a'))?.value, { v: 3 });
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
    const dir = folder();
    const what = { step: 'none' as Step, code };
    let stopped = 0;
    const durable = await durableStore.open(files(dir, failing(what)), () => (stopped += 1));
    await durable.write('a', 1, { v: 1 });
    what.step = step;
    assert.is(await codeOf(durable.write('a', 2, { v: 2 })), 'failed', step);
    what.step = 'none';
    assert.is(await codeOf(durable.write('a', 3, { v: 3 })), 'failed', `${step}: a second try must not seem to work`);
    assert.is(await codeOf(durable.write('b', 1, {})), 'failed');
    assert.is(stopped, 1);
    const v = (await (await durableStore.open(files(dir))).read<{ v: number }>('a'))?.value.v;
    assert.ok(v === 1 || v === 2, `${step}: ${String(v)}`);
  }
});

test('a file that cannot be read is an error, not a missing file or a damaged folder', async () => {
  const dir = folder();
  await (await durableStore.open(files(dir))).write('a', 1, { v: 1 });
  const what = { step: 'read' as Step, code: 'EIO' };
  const durable = await durableStore.open(files(dir, failing(what)));
  assert.is(await codeOf(recoverFolder(durable, () => undefined)), 'failed');
  assert.equal(readdirSync(dir), ['a.000000000001']);
});

const recordsOf = async (
  dir: string,
  calls?: FileCalls,
): Promise<{
  records: RecordStore<number>;
  at: Map<string, RecordEntry<number>>;
  stopped: () => number;
  sound: boolean;
}> => {
  const at = new Map<string, RecordEntry<number>>();
  const index = {
    get: (k: string) => at.get(k),
    set: (k: string, s: RecordEntry<number>) => void at.set(k, s),
    delete: (k: string) => void at.delete(k),
    clear: () => at.clear(),
  };
  let stopped = 0;
  const durable = await durableStore.open(files(dir, calls), () => (stopped += 1));
  const records = recordStore.open<number>({ durable, index, prefix: 'reg:' });
  const sound = await recoverFolder(durable, () => undefined, undefined, records.load);
  return { records, at, stopped: () => stopped, sound };
};
test('a batch takes one sync of its file; the folder is synced before its name is used, for many at once', async () => {
  const seen: Step[] = [];
  const dir = folder();
  const b = await recordsOf(dir, failing({ step: 'none', code: '' }, seen));
  const counted = async (count: number, of: string): Promise<Record<string, number>> => {
    seen.length = 0;
    await Promise.all(Array.from({ length: count }, (_, i) => b.records.write(`${of}${i}`, i)));
    return Object.fromEntries([...new Set(seen)].sort().map((step) => [step, seen.filter((s) => s === step).length]));
  };
  const names = Array.from({ length: defaultLimits.reservedFiles }, (_, i) => `b.${String(i + 1).padStart(12, '0')}`);
  assert.equal(await counted(30, 'k'), { folder: 1, open: defaultLimits.reservedFiles + 1, sync: 1, write: 1 });
  assert.is(seen.indexOf('folder') < seen.indexOf('write'), true, 'written under a name that did not last');
  assert.equal(readdirSync(dir), names, 'written in place');
  assert.equal(await counted(30, 'm'), { open: 1, sync: 1, write: 1 });
  // The rest of the names, and more of them before these are used up.
  let folderSyncs = 0;
  for (let i = 2; i < defaultLimits.reservedFiles; i++) folderSyncs += (await counted(1, `n${i}/`))['folder'] ?? 0;
  assert.is(folderSyncs, 1);
  const again = await recordsOf(dir);
  assert.ok(again.sound && again.at.size === 60 + defaultLimits.reservedFiles - 2 && again.at.get('k7')?.value === 7);
});
test('a full disk refuses a batch whole; one that fails in any step is not acknowledged nor tried again', async () => {
  // Of a batch whose name was reserved before, and of the first one, which reserves names.
  for (const [step, code, gives, isFirst] of [
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
    const dir = folder();
    const what = { step: 'none' as Step, code };
    const b = await recordsOf(dir, failing(what));
    if (!isFirst) await b.records.write('a', 1);
    what.step = step;
    const codes = await Promise.all([codeOf(b.records.write('a', 2)), codeOf(b.records.write('b', 2))]);
    assert.equal(codes, [gives, gives], step);
    assert.is(b.at.get('a')?.value, isFirst ? undefined : 1);
    what.step = 'none';
    assert.is(await codeOf(b.records.write('c', 3)), gives === 'full' ? 'ok' : 'failed');
    assert.is(b.stopped(), gives === 'full' ? 0 : 1);
    const again = await recordsOf(dir);
    assert.ok(again.sound && again.at.has('c') === (gives === 'full'), step);
    assert.ok(isFirst || again.at.has('a'), step);
    if (gives === 'full') assert.is(again.at.get('a')?.value, isFirst ? undefined : 1);
  }
});
test.run();
