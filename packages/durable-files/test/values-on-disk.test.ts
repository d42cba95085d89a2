// Values that are not in memory are read from their files, beside compaction and after restarts (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  durableStore,
  recordStore,
  recoverFolder,
  type RecordEntry,
  type RecordIndex,
  type RecordStore,
  type Residency,
} from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import type { Host, World } from '@thornsail/simulation';
import { openRecentValues } from '../src/recent-values.js';
import { codeOf, finish, openHost, openRecords, smallLimits, value, type Value } from './builders.js';

/** What stays in memory: a short value as a whole, else its number. */
type Resident = Value | { n: number };
const minPadOnDisk = 20;
const residency: Residency<Value, Resident> = {
  toResident: (whole) => (whole.pad.length < minPadOnDisk ? whole : { n: whole.n }),
  toWhole: (resident) => ('pad' in resident ? resident : undefined),
};
type Opened = { records: RecordStore<Value>; entries: Map<string, RecordEntry<Resident>> };
const open = async (world: World, host: Host, recentBytes = 0, disk = world.runtime(host).disk): Promise<Opened> => {
  const durable = await durableStore.open(disk);
  const entries = new Map<string, RecordEntry<Resident>>();
  const index: RecordIndex<Resident> = {
    get: (key) => entries.get(key),
    set: (key, entry) => void entries.set(key, entry),
    delete: (key) => void entries.delete(key),
    clear: () => entries.clear(),
  };
  const records = recordStore.openPartlyResident({
    durable,
    index,
    prefix: 'reg:',
    limits: smallLimits,
    residency,
    recentBytes,
  });
  assert.ok(
    await recoverFolder(
      durable,
      () => undefined,
      () => undefined,
      records.load,
    ),
  );
  return { records, entries };
};
const keyOf = (n: number): string => `k\u00e9${n}"`;

test('reads return the newest value while compaction moves the records, and after a loss of power', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const { world, host } = openHost(seed);
    const recentBytes = seed % 2 ? 0 : 600;
    let { records, entries } = await finish(world, open(world, host, recentBytes));
    const written = new Map<string, Value>();
    for (let round = 0; round < 4; round++) {
      const work: Promise<unknown>[] = [];
      for (let n = 0; n < 150; n++) {
        const key = keyOf(world.rand.int(40));
        const next = { n: round * 1000 + n, pad: '\u00fc'.repeat(world.rand.int(60)) };
        if (world.rand.int(8) === 0) {
          written.delete(key);
          work.push(records.remove(key));
        } else {
          written.set(key, next);
          work.push(records.write(key, next));
        }
        const readKey = keyOf(world.rand.int(40));
        const before = entries.get(readKey)?.value.n;
        work.push(
          records.read(readKey).then((found) => {
            // The value may have been replaced during the read, but never by an older one.
            if (found && before !== undefined) assert.ok(found.n >= before, `${readKey}: ${found.n} < ${before}`);
          }),
        );
        if (n % 3 === 0) await world.run(world.now() + duration.ms(2));
      }
      await finish(world, Promise.all(work));
      for (let n = 0; n < 40; n++)
        assert.equal(await finish(world, records.read(keyOf(n))), written.get(keyOf(n)), `seed ${seed}, key ${n}`);
      assert.ok(records.counts().merges > 5, `${records.counts().merges} compactions`);
      world.kill(host, 'power');
      world.start(host);
      ({ records, entries } = await finish(world, open(world, host, recentBytes)));
      for (let n = 0; n < 40; n++)
        assert.equal(await finish(world, records.read(keyOf(n))), written.get(keyOf(n)), `seed ${seed}, restart`);
    }
  }
});

test('a folder that was written with all values in memory is read, and the other way round', async () => {
  const { world, host } = openHost(3);
  const former = await finish(world, openRecords(world, host, smallLimits));
  for (let n = 0; n < 60; n++) await finish(world, former.records.write(keyOf(n % 20), value(n)));
  world.kill(host, 'power');
  world.start(host);
  const { records, entries } = await finish(world, open(world, host));
  assert.ok([...entries.values()].some((entry) => !('pad' in entry.value)));
  for (let n = 40; n < 60; n++) assert.equal(await finish(world, records.read(keyOf(n % 20))), value(n));
  for (let n = 60; n < 120; n++) await finish(world, records.write(keyOf(n % 20), value(n)));
  world.kill(host, 'power');
  world.start(host);
  const again = await finish(world, openRecords(world, host, smallLimits));
  for (let n = 100; n < 120; n++) assert.equal(again.entries.get(keyOf(n % 20))!.value, value(n));
});

test('compaction goes on after failed reads, and no record is lost by them', async () => {
  const { world, host } = openHost(5);
  const { records } = await finish(world, open(world, host));
  host.disk.fail.read = 1;
  for (let n = 0; n < 40; n++) await finish(world, records.write(keyOf(n % 20), value(n)));
  const { merges } = records.counts();
  assert.is(await codeOf(finish(world, records.read(keyOf(19)))), 'failed');
  host.disk.fail.read = 0;
  for (let n = 40; n < 80; n++) await finish(world, records.write(keyOf(n % 20), value(n)));
  await world.run(world.now() + duration.s(1));
  assert.ok(records.counts().merges > merges, 'no compaction after the failed reads');
  for (let n = 60; n < 80; n++) assert.equal(await finish(world, records.read(keyOf(n % 20))), value(n));
});

test('compaction starts again once a full disk has space, although no batch was written meanwhile', async () => {
  const { world, host } = openHost(7);
  const { records } = await finish(world, open(world, host));
  for (let n = 0; n < 30; n++) await finish(world, records.write(keyOf(n % 10), value(n)));
  host.disk.full = true;
  for (let n = 0; n < 30; n++) assert.is(await codeOf(finish(world, records.write(keyOf(n % 10), value(n)))), 'full');
  host.disk.full = false;
  const { merges } = records.counts();
  for (let n = 30; n < 50; n++) await finish(world, records.write(keyOf(n % 10), value(n)));
  await world.run(world.now() + duration.s(1));
  assert.ok(records.counts().merges > merges);
});

test('a value that is no longer in its file is reported, and no other value is returned', async () => {
  const { world, host } = openHost(9);
  const { records } = await finish(world, open(world, host));
  for (let n = 0; n < 3; n++) await finish(world, records.write(keyOf(n), value(n + 40)));
  const files = [...host.files];
  for (const [name, text] of files) if (name.startsWith('b.')) host.files.set(name, text.slice(0, text.length >> 1));
  assert.is(await codeOf(finish(world, records.read(keyOf(1)))), 'damaged-record');
  for (const [name] of files) host.files.delete(name);
  assert.is(await codeOf(finish(world, records.read(keyOf(1)))), 'damaged-record');
});

test('many reads at once open few files at once', async () => {
  const { world, host } = openHost(11);
  const { disk } = world.runtime(host);
  let [reading, most] = [0, 0];
  const readPart: typeof disk.readPart = (...part) => {
    most = Math.max(most, ++reading);
    return disk.readPart(...part).finally(() => (reading -= 1));
  };
  const { records } = await finish(world, open(world, host, 0, { ...disk, readPart }));
  const count = 300;
  const numbers = Array.from({ length: count }, (_, n) => n);
  const valueOf = (n: number): Value => ({ n, pad: 'y'.repeat(60) });
  await finish(world, Promise.all(numbers.map((n) => records.write(keyOf(n), valueOf(n)))));
  const found = await finish(world, Promise.all(numbers.map((n) => records.read(keyOf(n)))));
  assert.equal(found, numbers.map(valueOf));
  assert.ok(most > 1 && most <= 32, `${most} reads at once`);
});

test('recent values are bounded in bytes, and those that were not used for longest go first', () => {
  const recent = openRecentValues<string>(100);
  for (const key of ['a', 'b', 'c']) recent.set(key, 1, key, 30);
  assert.is(recent.get('a', 1), 'a');
  assert.is(recent.get('b', 2), undefined, 'the value of another batch');
  recent.set('d', 2, 'd', 40);
  assert.equal(
    ['a', 'b', 'c', 'd'].map((key) => recent.get(key, key === 'd' ? 2 : 1)),
    ['a', undefined, 'c', 'd'],
  );
  recent.set('a', 3, 'larger than the limit', 101);
  assert.is(recent.get('a', 1), undefined);
  assert.is(recent.get('a', 3), undefined);
  recent.clear();
  assert.is(recent.get('c', 1), undefined);
});
test.run();
