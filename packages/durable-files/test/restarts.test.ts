// What a process knows and acknowledged is what a start finds, whenever the process ended (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Limits } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { open, openHost, tight, finish, value } from './builders.js';

/** Writers at work on one folder, whose process or power ends at some moment, restarted time after time. */
const restarts = async (
  seed: number,
  limits: Partial<Limits> = {},
): Promise<{ acks: number; merges: number; lost: string[] }> => {
  const { w, h } = openHost(seed);
  const r = w.rand;
  /** For each key the versions tried since the last one that was acknowledged, and that one; 0 is "removed". */
  const may = new Map<string, number[]>();
  let acks = 0;
  let merges = 0;
  let n = 0;
  const lost: string[] = [];
  for (let run = 0; run < 6; run++) {
    const o = await finish(w, open(w, h, limits));
    if (!o.isValid) lost.push(`run ${run}: taken for damaged`);
    for (const [k, list] of may) {
      const got = o.at.get(k)?.value.n ?? 0;
      if (!list.includes(got)) lost.push(`run ${run}: ${k} is ${got}, not one of ${list.join()}`);
      // What a start shows stays, whatever happens next.
      may.set(k, [got]);
    }
    for (const k of o.at.keys()) if (!may.has(k)) lost.push(`run ${run}: ${k} was never written`);
    const incarnation = h.incarnation;
    const writer = async (id: number): Promise<void> => {
      while (h.incarnation === incarnation) {
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
    const l = await restarts(seed);
    assert.equal(l.lost, [], `seed ${seed}`);
    acks += l.acks;
  }
  assert.ok(acks > 120 * 100, `only ${acks} acknowledged`);
});

test('the same while files are merged all the time', async () => {
  const all = { acks: 0, merges: 0 };
  for (let seed = 1; seed <= 160; seed++) {
    const l = await restarts(seed, tight);
    assert.equal(l.lost, [], `seed ${seed}`);
    all.acks += l.acks;
    all.merges += l.merges;
  }
  assert.ok(all.acks > 160 * 100 && all.merges > 160 * 20, JSON.stringify(all));
});

test('thousands of records are read back in well under a second of CPU', async () => {
  const { w, h } = openHost(9);
  const o = await finish(w, open(w, h));
  const pad = 'v'.repeat(2000);
  await finish(w, Promise.all(Array.from({ length: 5000 }, (_, i) => o.records.write(`key/${i}`, { n: i, pad }))));
  w.kill(h, 'process');
  w.start(h);
  const begun = process.cpuUsage();
  const again = await finish(w, open(w, h));
  const used = process.cpuUsage(begun);
  assert.is(again.at.size, 5000);
  assert.ok(used.user + used.system < 700_000, `${Math.round((used.user + used.system) / 1000)} ms of CPU`);
});
test.run();
