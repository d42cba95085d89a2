// After many changes a folder has no more files and bytes than after a few, and a start takes no longer (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration, type Microseconds } from '@thornsail/runtime';
import {
  recordStore,
  durableStore,
  defaultLimits,
  type RecordStore,
  type RecordIndex,
  type DurableStore,
  type RecordEntry,
  recoverFolder,
} from '@thornsail/durable-files';
import { world, type Host, type World } from '@thornsail/simulation';

type Value = { n: number; pad: string };
type Open = {
  durable: DurableStore;
  records: RecordStore<Value>;
  at: Map<string, RecordEntry<Value>>;
  took: Microseconds;
};
const pad = 'v'.repeat(300);
const stage = (): { w: World; h: Host } => {
  const w = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: duration.ms(2) });
  return { w, h: w.host('127.0.0.1', 'z1') };
};
const open = async (w: World, h: Host): Promise<Open> => {
  const at = new Map<string, RecordEntry<Value>>();
  const index: RecordIndex<Value> = {
    get: (key) => at.get(key),
    set: (key, slot) => void at.set(key, slot),
    delete: (key) => void at.delete(key),
    clear: () => at.clear(),
  };
  const begun = w.now();
  const got: { open?: Open } = {};
  void durableStore.open(w.runtime(h).disk).then(async (durable) => {
    const records = recordStore.open<Value>({ durable, index, prefix: 'reg:' });
    assert.ok(await recoverFolder(durable, () => undefined, undefined, records.load));
    got.open = { durable, records, at, took: w.now() - begun };
  });
  while (!got.open) await w.run(w.now() + 100);
  return got.open;
};
type Size = { files: number; bytes: number; start: Microseconds };
const sizeAfterRestart = async (w: World, h: Host): Promise<{ size: Size; open: Open }> => {
  await w.run(w.now() + duration.s(2));
  w.kill(h, 'power');
  w.start(h);
  const o = await open(w, h);
  const bytes = [...h.files.values()].reduce((sum, text) => sum + text.length, 0);
  return { size: { files: h.files.size, bytes, start: o.took }, open: o };
};

test('100,000 changes of 1,000 registers: bounded files, bytes and time to start', async () => {
  const { w, h } = stage();
  let o = await open(w, h);
  const sizes: Size[] = [];
  const perPart = 20_000;
  for (let part = 0; part < 5; part++) {
    for (let i = 0; i < perPart; i++) {
      const key = `key/${(i * 7919) % 1000}`;
      void (i % 50 === 0 ? o.records.remove(key) : o.records.write(key, { n: part * perPart + i, pad }));
      if (i % 10 === 0) await w.run(w.now() + duration.ms(2));
    }
    const r = await sizeAfterRestart(w, h);
    sizes.push(r.size);
    o = r.open;
  }
  const live = o.records.counts().live;
  process.stdout.write(`registers: ${JSON.stringify(sizes)}, ${live} bytes live\n`);
  for (const size of sizes) {
    assert.ok(size.bytes <= 2 * live + defaultLimits.slackBytes + defaultLimits.pieceBytes, JSON.stringify(size));
    assert.ok(size.files <= defaultLimits.batchFiles + 2 * defaultLimits.reservedFiles + 40, JSON.stringify(size));
    assert.ok(size.start < duration.ms(50), JSON.stringify(size));
  }
});
test('2,000 changes of a document: one file, and the time to start of one file', async () => {
  const { w, h } = stage();
  let o = await open(w, h);
  const sizes: Size[] = [];
  for (let part = 0; part < 4; part++) {
    for (let i = 1; i <= 500; i++) {
      let isDone = false;
      void o.durable.write('state', part * 500 + i, { pad: pad.repeat(30) }).then(() => (isDone = true));
      while (!isDone) await w.run(w.now() + 200);
    }
    const r = await sizeAfterRestart(w, h);
    sizes.push(r.size);
    o = r.open;
  }
  process.stdout.write(`documents: ${JSON.stringify(sizes)}\n`);
  // A removed version may come back at a loss of power; the next change removes it again.
  for (const size of sizes) assert.ok(size.files <= 2 && size.start < duration.ms(10), JSON.stringify(size));
});
test.run();
