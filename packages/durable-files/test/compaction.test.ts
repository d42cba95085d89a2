// Files and bytes stay bounded by what is live (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkedLimits, defaultLimits, planCompaction, type Limits, type RecordFile } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { batchFiles, open, openHost, tight, finish, value } from './builders.js';

test('files and bytes stay bounded by what is live, also when nothing but removals comes', async () => {
  const { w, h } = openHost(6);
  const limits = { batchFiles: 16, batchBytes: 4000, pieceBytes: 8000, slackBytes: 20_000 };
  const o = await finish(w, open(w, h, limits));
  const r = w.rand;
  const pad = 'z'.repeat(300);
  const work: Promise<void>[] = [];
  let most = 0;
  const round = async (fn: (k: string) => Promise<void>): Promise<void> => {
    for (let i = 0; i < 400; i++) {
      work.push(fn(`k${r.int(300)}`));
      if (i % 4 === 0) await w.run(w.now() + duration.ms(2));
      most = Math.max(most, batchFiles(h).length);
    }
    await finish(w, Promise.all(work));
    await w.run(w.now() + duration.s(2));
    const bytes = [...h.files.values()].reduce((a, t) => a + t.length, 0);
    const c = o.records.counts();
    const live = [...o.at].reduce((a, [k, s]) => a + k.length + s.value.pad.length + 20, 0);
    // A removal is a short record as long as an older one of its key is in a file.
    assert.ok(bytes <= 2 * live + 20_000 + 300 * 40 + 8000, `${bytes} bytes on disk, ${live} live`);
    assert.ok(c.files <= 16 + 8 + (2 * live) / 2000, `${c.files} files`);
    const written = [...h.files].filter(([name, text]) => /^b(ase)?\./.test(name) && text !== '').length;
    assert.is(written, c.files, 'files that are not in effect');
    assert.ok(h.files.size - written <= 2 * defaultLimits.reservedFiles, `${h.files.size - written} reserved files`);
  };
  for (let i = 0; i < 4; i++) await round((k) => o.records.write(k, { n: i, pad }));
  for (let i = 0; i < 3; i++) await round((k) => (r.int(2) ? o.records.remove(k) : o.records.write(k, { n: i, pad })));
  for (let i = 0; i < 300; i++) work.push(o.records.remove(`k${i}`));
  for (let i = 0; i < 6; i++) await round(() => o.records.remove(`other${r.int(50)}`));
  assert.is(o.at.size, 0);
  assert.ok(most <= 16 + 10, `${most} batch files at once`);
  assert.ok(o.records.counts().merges > 20);
  // Keys that come once and go: nothing stays of them.
  for (let i = 0; i < 3000; i++) {
    const key = `passing/${i}`;
    work.push(o.records.write(key, { n: i, pad: '' }).then(() => o.records.remove(key)));
    if (i % 10 === 0) await w.run(w.now() + duration.ms(2));
  }
  await round((k) => o.records.remove(k));
  // A start finds the same as the process that ended knew.
  const { files, bytes, live } = o.records.counts();
  w.kill(h, 'power');
  w.start(h);
  const again = (await finish(w, open(w, h, limits))).records.counts();
  assert.equal([again.files, again.bytes, again.live], [files, bytes, live]);
});
test('what a process knows of its files is what a start finds in them', async () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { w, h } = openHost(seed);
    const o = await finish(w, open(w, h, tight));
    for (let i = 0; i < 60; i++) {
      const key = `k${w.rand.int(12)}`;
      void (w.rand.int(3) === 0 ? o.records.remove(key) : o.records.write(key, value(i)));
      if (w.rand.int(3) === 0) await w.run(w.now() + w.rand.int(duration.ms(6)));
    }
    await w.run(w.now() + duration.s(1));
    const { files, bytes, live } = o.records.counts();
    w.kill(h, 'power');
    w.start(h);
    const again = await finish(w, open(w, h, tight));
    const c = again.records.counts();
    assert.equal([c.files, c.bytes, c.live], [files, bytes, live], `seed ${seed}`);
    assert.equal(
      [...again.at].map(([k, s]) => [k, s.value.n]).sort(),
      [...o.at].map(([k, s]) => [k, s.value.n]).sort(),
    );
  }
});
test('the plan of merges: the older half of many batches, else the poorest base files, else many small ones', () => {
  const f = (kind: RecordFile['kind'], number: number, bytes: number, liveBytes: number): RecordFile => ({
    kind,
    number,
    keys: [],
    bytes,
    liveBytes,
  });
  const l: Limits = { batchFiles: 8, batchBytes: 100, pieceBytes: 100, slackBytes: 50, reservedFiles: 2 };
  const some = (n: number, live: number): RecordFile[] =>
    Array.from({ length: n }, (_, i) => f('batch', i + 1, 20, live));
  const ns = (x: RecordFile[] | undefined): string | undefined =>
    x?.map((y) => `${y.kind === 'batch' ? 'b' : 'base'}${y.number}`).join();
  assert.is(planCompaction({ batches: some(8, 20), bases: [] }, l), undefined);
  assert.is(ns(planCompaction({ batches: some(9, 20), bases: [] }, l)), 'b1,b2,b3,b4');
  assert.is(ns(planCompaction({ batches: some(9, 40), bases: [] }, l)), 'b1,b2');
  assert.is(ns(planCompaction({ batches: some(9, 400), bases: [] }, l)), 'b1', 'one at least');
  const bases = [f('base', 1, 100, 90), f('base', 2, 100, 30), f('base', 3, 100, 0), f('base', 4, 100, 10)];
  assert.is(ns(planCompaction({ batches: [], bases }, l)), 'base3,base4,base2');
  assert.is(planCompaction({ batches: [], bases: bases.slice(0, 2) }, l), undefined, 'within the bound');
  assert.is(
    ns(planCompaction({ batches: some(8, 0), bases: [f('base', 1, 100, 40)] }, { ...l, slackBytes: 10 })),
    'base1',
  );
  assert.is(ns(planCompaction({ batches: some(8, 0), bases: [f('base', 1, 100, 60)] }, l)), 'b1,b2,b3,b4');
  const small = Array.from({ length: 8 }, (_, i) => f('base', i + 1, 20, 20));
  assert.is(ns(planCompaction({ batches: [], bases: small }, l)), 'base1,base2,base3,base4,base5');
  assert.is(planCompaction({ batches: [], bases: small.slice(1) }, l), undefined);
  assert.is(checkedLimits().batchFiles, defaultLimits.batchFiles);
  for (const bad of [{ batchFiles: 3 }, { pieceBytes: 0 }, { slackBytes: 1.5 }])
    assert.throws(() => checkedLimits(bad));
});
test.run();
