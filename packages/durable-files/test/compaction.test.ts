// Compaction keeps the number and size of files bounded by the live records (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkedLimits, defaultLimits, planCompaction, type Limits, type RecordFile } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { writtenBatchFiles, openRecords, openHost, smallLimits, finish, value } from './builders.js';

test('files and bytes stay bounded by the live records, even if only removals are written', async () => {
  const { world, host } = openHost(6);
  const limits = { batchFiles: 16, batchBytes: 4000, pieceBytes: 8000, slackBytes: 20_000 };
  const opened = await finish(world, openRecords(world, host, limits));
  const random = world.rand;
  const pad = 'z'.repeat(300);
  const work: Promise<void>[] = [];
  let maxBatchFiles = 0;
  const round = async (change: (key: string) => Promise<void>): Promise<void> => {
    for (let i = 0; i < 400; i++) {
      work.push(change(`k${random.int(300)}`));
      if (i % 4 === 0) await world.run(world.now() + duration.ms(2));
      maxBatchFiles = Math.max(maxBatchFiles, writtenBatchFiles(host).length);
    }
    await finish(world, Promise.all(work));
    await world.run(world.now() + duration.s(2));
    const bytes = [...host.files.values()].reduce((total, text) => total + text.length, 0);
    const counts = opened.records.counts();
    const liveBytes = [...opened.entries].reduce(
      (total, [key, entry]) => total + key.length + entry.value.pad.length + 20,
      0,
    );
    // A tombstone is a short record that exists as long as a file holds an older version of its key.
    assert.ok(bytes <= 2 * liveBytes + 20_000 + 300 * 40 + 8000, `${bytes} bytes on disk, ${liveBytes} live`);
    assert.ok(counts.files <= 16 + 8 + (2 * liveBytes) / 2000, `${counts.files} files`);
    const written = [...host.files].filter(([name, text]) => /^b(ase)?\./.test(name) && text !== '').length;
    assert.is(written, counts.files, 'files that are not live');
    assert.ok(
      host.files.size - written <= 2 * defaultLimits.reservedFiles,
      `${host.files.size - written} reserved files`,
    );
  };
  for (let i = 0; i < 4; i++) await round((key) => opened.records.write(key, { n: i, pad }));
  for (let i = 0; i < 3; i++)
    await round((key) => (random.int(2) ? opened.records.remove(key) : opened.records.write(key, { n: i, pad })));
  for (let i = 0; i < 300; i++) work.push(opened.records.remove(`k${i}`));
  for (let i = 0; i < 6; i++) await round(() => opened.records.remove(`other${random.int(50)}`));
  assert.is(opened.entries.size, 0);
  assert.ok(maxBatchFiles <= 16 + 10, `${maxBatchFiles} batch files at once`);
  assert.ok(opened.records.counts().merges > 20);
  // Keys that are written and removed once leave nothing behind.
  for (let i = 0; i < 3000; i++) {
    const key = `passing/${i}`;
    work.push(opened.records.write(key, { n: i, pad: '' }).then(() => opened.records.remove(key)));
    if (i % 10 === 0) await world.run(world.now() + duration.ms(2));
  }
  await round((key) => opened.records.remove(key));
  // A restarted process computes the same counts as the previous one.
  const { files, bytes, live: liveBytes } = opened.records.counts();
  world.kill(host, 'power');
  world.start(host);
  const reopened = (await finish(world, openRecords(world, host, limits))).records.counts();
  assert.equal([reopened.files, reopened.bytes, reopened.live], [files, bytes, liveBytes]);
});
test('a restart computes the same entries and sizes as the running process had', async () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { world, host } = openHost(seed);
    const opened = await finish(world, openRecords(world, host, smallLimits));
    for (let i = 0; i < 60; i++) {
      const key = `k${world.rand.int(12)}`;
      void (world.rand.int(3) === 0 ? opened.records.remove(key) : opened.records.write(key, value(i)));
      if (world.rand.int(3) === 0) await world.run(world.now() + world.rand.int(duration.ms(6)));
    }
    await world.run(world.now() + duration.s(1));
    const { files, bytes, live: liveBytes } = opened.records.counts();
    world.kill(host, 'power');
    world.start(host);
    const reopened = await finish(world, openRecords(world, host, smallLimits));
    const counts = reopened.records.counts();
    assert.equal([counts.files, counts.bytes, counts.live], [files, bytes, liveBytes], `seed ${seed}`);
    assert.equal(
      [...reopened.entries].map(([key, entry]) => [key, entry.value.n]).sort(),
      [...opened.entries].map(([key, entry]) => [key, entry.value.n]).sort(),
    );
  }
});
test('compaction selects the older half of many batches, else sparse base files, else many small ones', () => {
  const recordFile = (kind: RecordFile['kind'], number: number, bytes: number, liveBytes: number): RecordFile => ({
    kind,
    number,
    keys: [],
    bytes,
    liveBytes,
  });
  const limits: Limits = { batchFiles: 8, batchBytes: 100, pieceBytes: 100, slackBytes: 50, reservedFiles: 2 };
  const batchesOf = (n: number, liveBytes: number): RecordFile[] =>
    Array.from({ length: n }, (_, i) => recordFile('batch', i + 1, 20, liveBytes));
  const namesOf = (files: RecordFile[] | undefined): string | undefined =>
    files?.map((file) => `${file.kind === 'batch' ? 'b' : 'base'}${file.number}`).join();
  assert.is(planCompaction({ batches: batchesOf(8, 20), bases: [] }, limits), undefined);
  assert.is(namesOf(planCompaction({ batches: batchesOf(9, 20), bases: [] }, limits)), 'b1,b2,b3,b4');
  assert.is(namesOf(planCompaction({ batches: batchesOf(9, 40), bases: [] }, limits)), 'b1,b2');
  assert.is(namesOf(planCompaction({ batches: batchesOf(9, 400), bases: [] }, limits)), 'b1', 'at least one file');
  const bases = [
    recordFile('base', 1, 100, 90),
    recordFile('base', 2, 100, 30),
    recordFile('base', 3, 100, 0),
    recordFile('base', 4, 100, 10),
  ];
  assert.is(namesOf(planCompaction({ batches: [], bases }, limits)), 'base3,base4,base2');
  assert.is(planCompaction({ batches: [], bases: bases.slice(0, 2) }, limits), undefined, 'within the size limit');
  assert.is(
    namesOf(
      planCompaction(
        { batches: batchesOf(8, 0), bases: [recordFile('base', 1, 100, 40)] },
        { ...limits, slackBytes: 10 },
      ),
    ),
    'base1',
  );
  assert.is(
    namesOf(planCompaction({ batches: batchesOf(8, 0), bases: [recordFile('base', 1, 100, 60)] }, limits)),
    'b1,b2,b3,b4',
  );
  const small = Array.from({ length: 8 }, (_, i) => recordFile('base', i + 1, 20, 20));
  assert.is(namesOf(planCompaction({ batches: [], bases: small }, limits)), 'base1,base2,base3,base4,base5');
  assert.is(planCompaction({ batches: [], bases: small.slice(1) }, limits), undefined);
  assert.is(checkedLimits().batchFiles, defaultLimits.batchFiles);
  for (const invalid of [{ batchFiles: 3 }, { pieceBytes: 0 }, { slackBytes: 1.5 }])
    assert.throws(() => checkedLimits(invalid));
});
test.run();
