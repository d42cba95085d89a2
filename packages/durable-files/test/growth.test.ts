// The number of files, their size and the startup time don't grow with the number of changes (§6.1).
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
/** Documents and records opened from the disk of a host. `startTime` is the simulated time that this took. */
type OpenedRecords = {
  durable: DurableStore;
  records: RecordStore<Value>;
  entries: Map<string, RecordEntry<Value>>;
  startTime: Microseconds;
};
const pad = 'v'.repeat(300);
const openHost = (): { world: World; host: Host } => {
  const simulated = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: duration.ms(2) });
  return { world: simulated, host: simulated.host('127.0.0.1', 'z1') };
};
const openRecords = async (simulated: World, host: Host): Promise<OpenedRecords> => {
  const entries = new Map<string, RecordEntry<Value>>();
  const index: RecordIndex<Value> = {
    get: (key) => entries.get(key),
    set: (key, entry) => void entries.set(key, entry),
    delete: (key) => void entries.delete(key),
    clear: () => entries.clear(),
  };
  const startedAt = simulated.now();
  const result: { opened?: OpenedRecords } = {};
  void durableStore.open(simulated.runtime(host).disk).then(async (durable) => {
    const records = recordStore.open<Value>({ durable, index, prefix: 'reg:' });
    assert.ok(await recoverFolder(durable, () => undefined, undefined, records.load));
    result.opened = { durable, records, entries, startTime: simulated.now() - startedAt };
  });
  while (!result.opened) await simulated.run(simulated.now() + 100);
  return result.opened;
};
/** The size of a folder after a restart; `start` is the startup time. */
type Size = { files: number; bytes: number; start: Microseconds };
const sizeAfterRestart = async (simulated: World, host: Host): Promise<{ size: Size; opened: OpenedRecords }> => {
  await simulated.run(simulated.now() + duration.s(2));
  simulated.kill(host, 'power');
  simulated.start(host);
  const opened = await openRecords(simulated, host);
  const bytes = [...host.files.values()].reduce((total, text) => total + text.length, 0);
  return { size: { files: host.files.size, bytes, start: opened.startTime }, opened };
};

test('100,000 changes of 1,000 registers leave bounded files, bytes and startup time', async () => {
  const { world: simulated, host } = openHost();
  let opened = await openRecords(simulated, host);
  const sizes: Size[] = [];
  const changesPerRound = 20_000;
  for (let round = 0; round < 5; round++) {
    for (let i = 0; i < changesPerRound; i++) {
      const key = `key/${(i * 7919) % 1000}`;
      void (i % 50 === 0
        ? opened.records.remove(key)
        : opened.records.write(key, { n: round * changesPerRound + i, pad }));
      if (i % 10 === 0) await simulated.run(simulated.now() + duration.ms(2));
    }
    const restarted = await sizeAfterRestart(simulated, host);
    sizes.push(restarted.size);
    opened = restarted.opened;
  }
  const live = opened.records.counts().live;
  process.stdout.write(`registers: ${JSON.stringify(sizes)}, ${live} bytes live\n`);
  for (const size of sizes) {
    assert.ok(size.bytes <= 2 * live + defaultLimits.slackBytes + defaultLimits.pieceBytes, JSON.stringify(size));
    assert.ok(size.files <= defaultLimits.batchFiles + 2 * defaultLimits.reservedFiles + 40, JSON.stringify(size));
    assert.ok(size.start < duration.ms(50), JSON.stringify(size));
  }
});
test('2,000 changes of a document leave one file, and the startup time of one file', async () => {
  const { world: simulated, host } = openHost();
  let opened = await openRecords(simulated, host);
  const sizes: Size[] = [];
  for (let round = 0; round < 4; round++) {
    for (let i = 1; i <= 500; i++) {
      let isDone = false;
      void opened.durable.write('state', round * 500 + i, { pad: pad.repeat(30) }).then(() => (isDone = true));
      while (!isDone) await simulated.run(simulated.now() + 200);
    }
    const restarted = await sizeAfterRestart(simulated, host);
    sizes.push(restarted.size);
    opened = restarted.opened;
  }
  process.stdout.write(`documents: ${JSON.stringify(sizes)}\n`);
  // A power loss may restore a removed version; the next change removes it again.
  for (const size of sizes) assert.ok(size.files <= 2 && size.start < duration.ms(10), JSON.stringify(size));
});
test.run();
