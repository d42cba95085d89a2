// Extensions of the expiry without ballots (§6.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Write } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, cost, wallAt } from './builders.js';

test('an extension keeps values for longer with one frame to each store, and says which keys have none', () =>
  withCluster(8, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    for (const k of ['x', 'y', 'z']) await a.regs.change(k, put(k, duration.s(10)));
    await a.regs.change('long', put('long', duration.s(5000)));
    await a.regs.change('removed', put('r', duration.s(10)));
    await a.regs.change('removed', () => ({ stored: null, result: undefined }));
    let missing: string[] = [];
    const c = await cost(w, async () => {
      missing = await a.regs.extend(['x', 'none', 'y', 'long', 'removed'], wallAt(w, duration.s(100)));
    });
    assert.equal(missing, ['none', 'removed']);
    assert.is(c.frames, 6);
    await wait(duration.s(20));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    // Shorter ones change nothing; who has ended is not brought back.
    assert.equal(await b.regs.extend(['x', 'z'], wallAt(w, duration.s(1))), ['z']);
    await wait(duration.s(60));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    await wait(duration.s(30));
    assert.equal(await b.regs.readMany(['x', 'y', 'z', 'long']), [undefined, undefined, undefined, 'long']);
  }));
test('an extension holds through any majority: reads, changes with old knowledge, and a change of the group', () =>
  withCluster(9, async ({ w, hosts, edge, wait, boot, group, pass }) => {
    const a = await edge(1);
    const b = await edge(2);
    await a.regs.change('k', put('v', duration.s(10)));
    await a.regs.change('gone', put('w', duration.s(10)));
    // Edge 2 remembers the value with its old end; then the extension reaches stores 1 and 2 only.
    await b.regs.change('k', put('v', duration.s(10)));
    const heal = w.partition([a.host], [hosts[2]!]);
    assert.equal(await a.regs.extend(['k', 'gone'], wallAt(w, duration.s(4000))), []);
    await wait(duration.s(30));
    heal();
    // Each majority in turn, by a store without power.
    for (const i of [0, 1, 2]) {
      w.kill(hosts[i]!, 'power');
      assert.is(await a.regs.read('k'), 'v', `without store ${i + 1}`);
      w.start(hosts[i]!);
      await boot(i + 1);
    }
    // What edge 2 remembers says that the value has ended: it must ask before it takes it for absent.
    let saw: unknown = 'not called';
    let until = 0;
    await b.regs.change('k', (v, _x, was) => {
      saw = v;
      until = was;
      return { stored: { value: v, expiresAt: 1 }, result: undefined };
    });
    assert.is(saw, 'v');
    assert.ok(until > wallAt(w, duration.s(3900)), 'the writer was not told of the extension');
    assert.is(await a.regs.read('k'), 'v', 'a shorter end cut what was promised');
    // Stores 1 and 2 leave one after the other: the extension has to come with what stays.
    await boot(4);
    group(2, [2, 3]);
    assert.ok((await pass(a, true)).complete);
    group(3, [2, 3, 4]);
    assert.ok((await pass(a, true)).complete);
    group(4, [3, 4]);
    assert.ok((await pass(a, true)).complete);
    for (const i of [0, 1]) w.kill(hosts[i]!, 'disk');
    assert.equal(await a.regs.readMany(['k', 'gone'], duration.s(4)), ['v', 'w']);
  }));
test('a writer that remembers an older end asks before it takes the value for absent', () =>
  withCluster(12, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await b.regs.change('k', put('v', duration.s(10)));
    assert.equal(await a.regs.extend(['k'], wallAt(w, duration.s(500))), []);
    await wait(duration.s(60));
    const saw: unknown[] = [];
    const write =
      (value: string) =>
      (v: unknown, x: { max: Microseconds }): Write<void> => {
        saw.push(v);
        return { stored: { value, expiresAt: x.max + duration.s(10) }, result: undefined };
      };
    await b.regs.change('k', write('w'));
    // Its own extensions it remembers: one round is enough.
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(2000))), []);
    await wait(duration.s(1000));
    const quick = b.regs.counts().quick;
    await b.regs.change('k', write('x'));
    assert.equal(saw, ['v', 'w']);
    assert.is(b.regs.counts().quick, quick + 1);
    assert.is(await a.regs.read('k'), 'x');
  }));
test('what is removed stays so, however long it was extended; what is written after it is a value of its own', () =>
  withCluster(16, async ({ w, edge, wait, pass }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('k', put('v', duration.s(10)));
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(500))), []);
    await a.regs.change('k', () => ({ stored: null, result: undefined }));
    assert.is(await b.regs.read('k'), undefined);
    assert.equal(await b.regs.extend(['k'], wallAt(w, duration.s(900))), ['k']);
    let saw: unknown = 'not called';
    const quick = a.regs.counts().quick;
    await a.regs.change(
      'k',
      (v, x) => ((saw = v), { stored: { value: 'w', expiresAt: x.max + duration.s(10) }, result: undefined }),
    );
    assert.equal([saw, a.regs.counts().quick], [undefined, quick + 1]);
    assert.is(await b.regs.read('k'), 'w');
    await b.regs.change('k', (v) => ((saw = v), { stored: null, result: undefined }));
    assert.is(saw, 'w');
    await wait(duration.s(2000));
    await pass(a, false);
    assert.is(await a.regs.read('k'), undefined);
  }));
test('an extension that reached one store alone: what one reader was told, every later reader is told', async () => {
  let shown = 0;
  for (let seed = 1; seed <= 12; seed++)
    await withCluster(seed, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('k', put('v', duration.s(10)));
      const heal = w.partition([a.host], [hosts[1]!, hosts[2]!]);
      assert.is(await codeOf(a.regs.extend(['k'], wallAt(w, duration.s(4000)), duration.ms(300))), 'no-majority');
      heal();
      await wait(duration.s(20));
      // Reads through the three majorities, in an order by seed.
      const seen: unknown[] = [];
      const b = await edge(2);
      for (let i = 0; i < 6; i++) {
        const healOne = w.partition([b.host], [hosts[(seed + i) % 3]!]);
        // A change that leaves the value as it is tells of it just as a read does.
        const look = (): Promise<unknown> => b.regs.change('k', (v) => ({ keep: true, result: v }));
        seen.push(await (seed % 2 ? b.regs.read('k') : look()));
        healOne();
        await wait(duration.ms(100));
      }
      const first = seen.indexOf('v');
      if (first >= 0) {
        shown += 1;
        assert.ok(
          seen.slice(first).every((v) => v === 'v'),
          `${seed}: ${seen.join()}`,
        );
      }
    });
  assert.ok(shown > 6, 'no reader met the store that has the extension');
});
test('extensions that race with changes and lost stores: what was acknowledged holds', async () => {
  for (let seed = 1; seed <= 20; seed++)
    await withCluster(seed, async ({ w, hosts, edge, wait, boot }) => {
      const r = w.rand;
      const es = [await edge(1), await edge(2), await edge(3)];
      const keys = ['p', 'q'];
      for (const k of keys) await es[0]!.regs.change(k, append('0'));
      const most = new Map<string, Microseconds>();
      const work: Promise<unknown>[] = [];
      for (let i = 0; i < 40; i++) {
        const e = es[r.int(3)]!;
        const key = keys[r.int(2)]!;
        if (r.int(2) === 0) work.push(e.regs.change(key, append(`${i}`), duration.ms(600)).catch(() => undefined));
        else {
          const until = wallAt(w, duration.s(60 + r.int(4000)));
          const some = r.int(2) ? keys : [key];
          work.push(
            e.regs.extend(some, until, duration.ms(600)).then(
              (missing) => {
                assert.equal(missing, []);
                for (const k of some) most.set(k, Math.max(most.get(k) ?? 0, until));
              },
              () => undefined,
            ),
          );
        }
        if (i % 12 === 5) {
          const at = r.int(3);
          w.kill(hosts[at]!, 'power');
          w.scheduleAt(w.now() + r.int(duration.ms(300)), () => {
            w.start(hosts[at]!);
            void boot(at + 1);
          });
          await wait(duration.ms(400));
        }
        await wait(r.int(duration.ms(20)));
      }
      await Promise.all(work);
      await wait(duration.s(1));
      for (const k of [...keys].sort((x, y) => (most.get(x) ?? 0) - (most.get(y) ?? 0))) {
        const left = (most.get(k) ?? 0) - wallAt(w, 0);
        if (left > duration.s(2)) await wait(left - duration.s(1));
        for (let i = 0; i < 3; i++) {
          const heal = w.partition([es[1]!.host], [hosts[i]!]);
          const v = (await es[1]!.regs.read(k)) as string[] | undefined;
          assert.ok(v?.includes('0'), `seed ${seed}: ${k} ended before what was promised, without store ${i + 1}`);
          heal();
        }
      }
    });
});

test.run();
