// Records in batches (§6.1): group commit, and what a loss of power at any moment leaves of it.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { world, type Host, type World } from '@thornsail/simulation';
import { fault, duration } from '@thornsail/runtime';
import {
  batches,
  durableStore,
  merge,
  usualLimits,
  type Batches,
  type Extent,
  type Index,
  type Limits,
  type DurableStore,
  type Slot,
} from '@thornsail/durable-files';

type Value = { n: number; pad: string };
type Open = {
  durable: DurableStore;
  records: Batches<Value>;
  at: Map<string, Slot<Value>>;
  sound: boolean;
  stopped: Error[];
};
const stage = (seed: number, o: { diskTime?: number } = {}): { w: World; h: Host } => {
  const w = world.open({ seed, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: o.diskTime ?? duration.ms(2) });
  const h = w.host('127.0.0.1', 'z1');
  return { w, h };
};
const open = async (w: World, h: Host, limits: Partial<Limits> = {}): Promise<Open> => {
  const stopped: Error[] = [];
  const durable = await durableStore.open(w.runtime(h).disk, (e) => stopped.push(e));
  const at = new Map<string, Slot<Value>>();
  const index: Index<Value> = {
    get: (k) => at.get(k),
    set: (k, s) => void at.set(k, s),
    drop: (k) => void at.delete(k),
    clear: () => at.clear(),
  };
  const records = batches.open<Value>({ durable, index, prefix: 'reg:', limits });
  const sound = await durableStore.sound(
    durable,
    () => undefined,
    (name, d) => {
      if (name.startsWith('reg:')) records.former(name.slice(4), d.value as Value);
    },
    records.load,
  );
  if (!sound) records.clear();
  return { durable, records, at, sound, stopped };
};
const until = async <T>(w: World, work: Promise<T>, limit = duration.s(60)): Promise<T> => {
  const got: { v?: T; e?: unknown; over: boolean } = { over: false };
  work.then(
    (v) => Object.assign(got, { v, over: true }),
    (e) => Object.assign(got, { e, over: true }),
  );
  const end = w.now() + limit;
  while (!got.over && w.now() < end) await w.run(w.now() + duration.ms(1));
  if (!got.over) throw new Error('not over in time');
  if (got.e !== undefined) throw got.e;
  return got.v as T;
};
const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (e) => fault.info(e).code ?? String(e),
  );
const value = (n: number): Value => ({ n, pad: 'x'.repeat(n % 50) });

test('changes that come together go into one file with one sync, and no reply comes before that sync', async () => {
  const { w, h } = stage(1);
  const o = await until(w, open(w, h));
  const before = w.syncs();
  const acked: { k: string; syncs: number }[] = [];
  const all = Array.from({ length: 200 }, (_, i) =>
    o.records.write(`k${i}`, value(i)).then(() => acked.push({ k: `k${i}`, syncs: w.syncs() - before })),
  );
  assert.is(o.at.size, 0, 'seen before it was synced');
  await until(w, Promise.all(all));
  assert.ok(w.syncs() - before <= 2, `${w.syncs() - before} syncs for 200 changes`);
  assert.ok(acked.every((a) => a.syncs >= 1));
  assert.is(o.at.size, 200);
  // Those that come while a sync is under way wait for the next one, all together.
  const more: Promise<void>[] = [];
  for (let i = 0; i < 50; i++) w.scheduleAt(w.now() + i * 100, () => more.push(o.records.write(`m${i}`, value(i))));
  const mark = w.syncs();
  await w.run(w.now() + duration.ms(40));
  await until(w, Promise.all(more));
  assert.is(o.at.size, 250);
  assert.ok(w.syncs() - mark <= 8, `${w.syncs() - mark} syncs`);
});

/** The life of a folder: writers at work, ended by `how` at some moment, started again, time after time. */
const lives = async (
  seed: number,
  limits: Partial<Limits> = {},
): Promise<{ acks: number; merges: number; lost: string[] }> => {
  const { w, h } = stage(seed);
  const r = w.rand;
  /** For each key the versions tried since the last one that was acknowledged, and that one; 0 is "removed". */
  const may = new Map<string, number[]>();
  let acks = 0;
  let merges = 0;
  let n = 0;
  const lost: string[] = [];
  for (let life = 0; life < 6; life++) {
    const o = await until(w, open(w, h, limits));
    if (!o.sound) lost.push(`life ${life}: taken for damaged`);
    for (const [k, list] of may) {
      const got = o.at.get(k)?.value.n ?? 0;
      if (!list.includes(got)) lost.push(`life ${life}: ${k} is ${got}, not one of ${list.join()}`);
      // What a start shows stays, whatever happens next.
      may.set(k, [got]);
    }
    for (const k of o.at.keys()) if (!may.has(k)) lost.push(`life ${life}: ${k} was never written`);
    const inc = h.incarnation;
    const writer = async (id: number): Promise<void> => {
      while (h.incarnation === inc) {
        const key = `w${id}k${r.int(6)}`;
        const v = r.int(5) === 0 ? 0 : ++n;
        const list = may.get(key) ?? [0];
        may.set(key, [...list, v]);
        await (v === 0 ? o.records.remove(key) : o.records.write(key, value(v)));
        may.set(key, [v]);
        acks += 1;
        if (r.int(3) === 0) await new Promise<void>((fin) => w.scheduleAt(w.now() + r.int(duration.ms(4)), fin));
      }
    };
    for (let i = 0; i < 8; i++) void writer(i);
    await w.run(w.now() + r.int(duration.ms(300)));
    w.kill(h, r.int(3) === 0 ? 'process' : 'power');
    merges += o.records.counts().merges;
    if (r.int(2) === 0) w.kill(h, 'power');
    w.start(h);
  }
  return { acks, merges, lost };
};
test('what was acknowledged, or seen at a start, survives every end', async () => {
  let acks = 0;
  for (let seed = 1; seed <= 120; seed++) {
    const l = await lives(seed);
    assert.equal(l.lost, [], `seed ${seed}`);
    acks += l.acks;
  }
  assert.ok(acks > 120 * 100, `only ${acks} acknowledged`);
});

/** So little that every few batches are merged, and base files again. */
const tight: Partial<Limits> = { batchFiles: 4, batchBytes: 300, pieceBytes: 700, slackBytes: 500 };
test('the same while files are merged all the time', async () => {
  const all = { acks: 0, merges: 0 };
  for (let seed = 1; seed <= 160; seed++) {
    const l = await lives(seed, tight);
    assert.equal(l.lost, [], `seed ${seed}`);
    all.acks += l.acks;
    all.merges += l.merges;
  }
  assert.ok(all.acks > 160 * 100 && all.merges > 160 * 20, JSON.stringify(all));
});

/** The batches that were written: files that were only reserved are empty. */
const batchFiles = (h: Host): string[] =>
  [...h.files]
    .filter(([name, text]) => /^b\.\d{12}$/.test(name) && text !== '')
    .map(([name]) => name)
    .sort();
const filled = async (seed: number, count: number): Promise<{ w: World; h: Host }> => {
  const { w, h } = stage(seed);
  const o = await until(w, open(w, h));
  for (let i = 1; i <= count; i++) await until(w, o.records.write(`k${i}`, value(i)));
  w.kill(h, 'power');
  w.start(h);
  return { w, h };
};
test('a torn or short last batch is discarded, and its number is used again', async () => {
  for (const cut of [0, 3, 12, 30]) {
    const { w, h } = await filled(2, 5);
    assert.is(batchFiles(h).length, 5);
    const whole = h.files.get(batchFiles(h)[4]!)!;
    h.files.set('b.000000000006', whole.slice(0, cut));
    const o = await until(w, open(w, h));
    assert.ok(o.sound);
    assert.is(o.at.size, 5);
    await until(w, o.records.write('k6', value(6)));
    w.kill(h, 'power');
    w.start(h);
    const again = await until(w, open(w, h));
    assert.ok(again.sound && again.at.get('k6')?.value.n === 6);
    assert.is(batchFiles(h).length, 6);
  }
});
test('a batch that is damaged or missing in the middle means a damaged disk: emptied, and stays so', async () => {
  for (const how of ['torn', 'missing', 'other bytes'] as const) {
    const { w, h } = await filled(3, 5);
    const name = batchFiles(h)[2]!;
    const text = h.files.get(name)!;
    if (how === 'missing') h.files.delete(name);
    else h.files.set(name, how === 'torn' ? text.slice(0, 9) : text.replace('"k3"', '"k9"'));
    const o = await until(w, open(w, h));
    assert.not.ok(o.sound, how);
    assert.is(o.at.size, 0);
    assert.is(o.durable.counts().torn, 1);
    assert.equal([...h.files.keys()], []);
    await until(w, o.records.write('new', value(1)));
    const again = await until(w, open(w, h));
    assert.ok(again.sound && again.at.size === 1);
  }
});
test('a loss of power while a damaged folder is emptied leaves nothing that could be taken for sound', async () => {
  let halves = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const { w, h } = await filled(seed, 12);
    const o = await until(w, open(w, h));
    await until(w, o.durable.write('identity', 1, { id: 'old' }));
    w.kill(h, 'power');
    w.start(h);
    h.files.set(batchFiles(h)[4]!, 'damaged');
    const before = h.files.size;
    void open(w, h);
    await w.run(w.now() + duration.ms(2) + w.rand.int(duration.ms(10)));
    w.kill(h, 'power');
    w.start(h);
    const left = h.files.size;
    const again = await until(w, open(w, h));
    const identity = (await until(w, again.durable.read<{ id: string }>('identity')))?.value.id;
    if (left > 0 && left < before) halves += 1;
    assert.ok(identity === undefined && again.at.size === 0, `seed ${seed}: ${left} files were left`);
  }
  assert.ok(halves > 10, `only ${halves} ends came in the middle`);
});

test('a full disk refuses before anything has changed, and serves again when there is room', async () => {
  const { w, h } = stage(4);
  const o = await until(w, open(w, h));
  await until(w, o.records.write('a', value(1)));
  h.disk.full = true;
  const codes = await until(w, Promise.all(['a', 'b', 'c'].map((k) => codeOf(o.records.write(k, value(2))))));
  assert.equal(codes, ['full', 'full', 'full']);
  assert.is(o.at.get('a')?.value.n, 1);
  assert.is(o.at.size, 1);
  h.disk.full = false;
  await until(w, o.records.write('a', value(3)));
  w.kill(h, 'power');
  w.start(h);
  const again = await until(w, open(w, h));
  assert.ok(again.sound && again.at.get('a')?.value.n === 3 && again.at.size === 1);
  assert.is(o.stopped.length, 0);
});
test('a sync that fails acknowledges none of its batch, and nothing is written after it', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const { w, h } = stage(seed);
    const o = await until(w, open(w, h));
    await until(w, o.records.write('a', value(1)));
    h.disk.fail.sync = 1;
    const codes = await until(w, Promise.all(['a', 'b'].map((k) => codeOf(o.records.write(k, value(2))))));
    assert.equal(codes, ['failed', 'failed']);
    h.disk.fail.sync = 0;
    assert.is(await until(w, codeOf(o.records.write('c', value(3)))), 'failed');
    assert.is(await until(w, codeOf(o.durable.write('doc', 1, {}))), 'failed');
    assert.is(o.stopped.length, 1);
    assert.is(o.at.get('a')?.value.n, 1);
    w.kill(h, 'process');
    w.start(h);
    const again = await until(w, open(w, h));
    assert.ok(again.sound && !again.at.has('c'));
  }
});
test('a disk that hangs for seconds delays its replies and loses none', async () => {
  const { w, h } = stage(5);
  const o = await until(w, open(w, h));
  h.disk.hangsUntil = w.now() + duration.s(4);
  let done = 0;
  for (let i = 0; i < 40; i++) void o.records.write(`k${i}`, value(i)).then(() => (done += 1));
  await w.run(w.now() + duration.s(3.9));
  assert.is(done, 0);
  await w.run(w.now() + duration.s(1));
  assert.is(done, 40);
});

test('a folder of the former form is read and moved into base files; an end at any moment loses nothing', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const { w, h } = stage(seed);
    const old = await until(w, durableStore.open(w.runtime(h).disk));
    const big = 'y'.repeat(30_000);
    await until(w, Promise.all(Array.from({ length: 60 }, (_, i) => old.write(`reg:k/${i}`, 3, { n: i, pad: big }))));
    const name = 'reg%3Ak%2F7.000000000003';
    const text = h.files.get(name)!;
    w.kill(h, 'power');
    for (let life = 0; life < 3; life++) {
      w.start(h);
      void open(w, h);
      await w.run(w.now() + w.rand.int(duration.ms(20)));
      w.kill(h, w.rand.int(2) ? 'power' : 'process');
    }
    w.start(h);
    const o = await until(w, open(w, h));
    assert.ok(o.sound && o.at.size === 60, `seed ${seed}: ${o.at.size} records`);
    assert.ok([...o.at].every(([k, s]) => k === `k/${s.value.n}` && s.value.pad === big));
    // A name that comes back after its record was changed and removed counts for nothing.
    await w.run(w.now() + duration.s(1));
    assert.not.ok(
      [...h.files.keys()].some((f) => f.startsWith('reg%3A')),
      'old files stay',
    );
    await until(w, o.records.remove('k/7'));
    await until(w, o.records.write('k/8', value(1)));
    w.kill(h, 'power');
    h.files.set(name, text);
    w.start(h);
    const again = await until(w, open(w, h));
    assert.ok(again.sound && !again.at.has('k/7') && again.at.get('k/8')?.value.n === 1);
  }
});

test('files and bytes stay bounded by what is live, also when nothing but removals comes', async () => {
  const { w, h } = stage(6);
  const limits = { batchFiles: 16, batchBytes: 4000, pieceBytes: 8000, slackBytes: 20_000 };
  const o = await until(w, open(w, h, limits));
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
    await until(w, Promise.all(work));
    await w.run(w.now() + duration.s(2));
    const bytes = [...h.files.values()].reduce((a, t) => a + t.length, 0);
    const c = o.records.counts();
    const live = [...o.at].reduce((a, [k, s]) => a + k.length + s.value.pad.length + 20, 0);
    // A removal is a short record as long as an older one of its key is in a file.
    assert.ok(bytes <= 2 * live + 20_000 + 300 * 40 + 8000, `${bytes} bytes on disk, ${live} live`);
    assert.ok(c.files <= 16 + 8 + (2 * live) / 2000, `${c.files} files`);
    const written = [...h.files].filter(([name, text]) => /^b(ase)?\./.test(name) && text !== '').length;
    assert.is(written, c.files, 'files that are not in effect');
    assert.ok(h.files.size - written <= 2 * usualLimits.reservedFiles, `${h.files.size - written} reserved files`);
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
  const again = (await until(w, open(w, h, limits))).records.counts();
  assert.equal([again.files, again.bytes, again.live], [files, bytes, live]);
});
test('what a process knows of its files is what a start finds in them', async () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { w, h } = stage(seed);
    const o = await until(w, open(w, h, tight));
    for (let i = 0; i < 60; i++) {
      const key = `k${w.rand.int(12)}`;
      void (w.rand.int(3) === 0 ? o.records.remove(key) : o.records.write(key, value(i)));
      if (w.rand.int(3) === 0) await w.run(w.now() + w.rand.int(duration.ms(6)));
    }
    await w.run(w.now() + duration.s(1));
    const { files, bytes, live } = o.records.counts();
    w.kill(h, 'power');
    w.start(h);
    const again = await until(w, open(w, h, tight));
    const c = again.records.counts();
    assert.equal([c.files, c.bytes, c.live], [files, bytes, live], `seed ${seed}`);
    assert.equal(
      [...again.at].map(([k, s]) => [k, s.value.n]).sort(),
      [...o.at].map(([k, s]) => [k, s.value.n]).sort(),
    );
  }
});
test('a merge on a full disk is left for later; one whose rename fails stops the durable store', async () => {
  const { w, h } = stage(8);
  const o = await until(w, open(w, h, tight));
  for (let i = 0; i < 3; i++) await until(w, o.records.write(`k${i}`, value(i)));
  h.disk.full = true;
  assert.is(await until(w, codeOf(o.records.write('x', value(1)))), 'full');
  h.disk.full = false;
  for (let i = 0; i < 12; i++) await until(w, o.records.write(`k${i}`, value(i)));
  assert.ok(o.records.counts().merges > 0);
  h.disk.fail.rename = 1;
  let failed = '';
  for (let i = 0; i < 60 && failed === ''; i++) {
    const code = await until(w, codeOf(o.records.write(`m${i}`, value(i))));
    if (code !== 'ok') failed = code;
  }
  assert.is(failed, 'failed');
  assert.is(o.stopped.length, 1);
});
test('the plan of merges: the older half of many batches, else the poorest base files, else many small ones', () => {
  const f = (kind: Extent['kind'], n: number, bytes: number, live: number): Extent => ({
    kind,
    n,
    keys: [],
    bytes,
    live,
  });
  const l: Limits = { batchFiles: 8, batchBytes: 100, pieceBytes: 100, slackBytes: 50, reservedFiles: 2 };
  const some = (n: number, live: number): Extent[] => Array.from({ length: n }, (_, i) => f('b', i + 1, 20, live));
  const ns = (x: Extent[] | undefined): string | undefined => x?.map((y) => `${y.kind}${y.n}`).join();
  assert.is(merge.next({ batches: some(8, 20), bases: [] }, l), undefined);
  assert.is(ns(merge.next({ batches: some(9, 20), bases: [] }, l)), 'b1,b2,b3,b4');
  assert.is(ns(merge.next({ batches: some(9, 40), bases: [] }, l)), 'b1,b2');
  assert.is(ns(merge.next({ batches: some(9, 400), bases: [] }, l)), 'b1', 'one at least');
  const bases = [f('base', 1, 100, 90), f('base', 2, 100, 30), f('base', 3, 100, 0), f('base', 4, 100, 10)];
  assert.is(ns(merge.next({ batches: [], bases }, l)), 'base3,base4,base2');
  assert.is(merge.next({ batches: [], bases: bases.slice(0, 2) }, l), undefined, 'within the bound');
  assert.is(ns(merge.next({ batches: some(8, 0), bases: [f('base', 1, 100, 40)] }, { ...l, slackBytes: 10 })), 'base1');
  assert.is(ns(merge.next({ batches: some(8, 0), bases: [f('base', 1, 100, 60)] }, l)), 'b1,b2,b3,b4');
  const small = Array.from({ length: 8 }, (_, i) => f('base', i + 1, 20, 20));
  assert.is(ns(merge.next({ batches: [], bases: small }, l)), 'base1,base2,base3,base4,base5');
  assert.is(merge.next({ batches: [], bases: small.slice(1) }, l), undefined);
  assert.is(merge.checked().batchFiles, usualLimits.batchFiles);
  for (const bad of [{ batchFiles: 3 }, { pieceBytes: 0 }, { slackBytes: 1.5 }])
    assert.throws(() => merge.checked(bad));
});
test('thousands of records are read back in well under a second of CPU', async () => {
  const { w, h } = stage(9);
  const o = await until(w, open(w, h));
  const pad = 'v'.repeat(2000);
  await until(w, Promise.all(Array.from({ length: 5000 }, (_, i) => o.records.write(`key/${i}`, { n: i, pad }))));
  w.kill(h, 'process');
  w.start(h);
  const begun = process.cpuUsage();
  const again = await until(w, open(w, h));
  const used = process.cpuUsage(begun);
  assert.is(again.at.size, 5000);
  assert.ok(used.user + used.system < 700_000, `${Math.round((used.user + used.system) / 1000)} ms of CPU`);
});
test.run();
