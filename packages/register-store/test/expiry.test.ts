// Dropping of expired replicas, and the floor (§6.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeGroup } from '@thornsail/register-store';
import { duration } from '@thornsail/runtime';
import { at, withCluster, put, append, wallAt } from './builders.js';

test('the grace before a copy may be dropped is an option, 10 s at least', async () => {
  await withCluster(
    10,
    async ({ stores, edge, pass, wait, w, hosts }) => {
      const a = await edge(1);
      for (let i = 0; i < 1000; i++) await a.regs.change(`k${i}`, put(i, duration.s(15)));
      for (let i = 0; i < 5; i++) await a.regs.change(`long${i}`, put(i, duration.s(9000)));
      await a.regs.extend(['k3'], wallAt(w, duration.s(300)));
      assert.is((await pass(a, false)).purged, 0);
      await wait(duration.s(45));
      const r = await pass(a, false);
      assert.ok(r.complete && r.purged === 999 && r.seen === 0, JSON.stringify(r));
      assert.equal(
        [1, 2, 3].map((i) => stores.get(i)!.size()),
        [6, 6, 6],
      );
      assert.is(await a.regs.read('k3'), 3);
      assert.ok(stores.get(1)!.counts().longest < 400, 'one step looked at too much');
      // The ballots of what was dropped are not used again.
      assert.equal(await a.regs.change('k4', append('x')), []);
      assert.is((await pass(a, false)).seen, 0);
      w.kill(hosts[0]!, 'power');
      assert.equal(await a.regs.read('k4'), ['x']);
    },
    { grace: duration.s(20) },
  );
  for (const grace of [duration.s(9), 0, NaN, 1.5e7 + 0.5]) {
    let code = '';
    await withCluster(11, () => Promise.resolve(), { grace }).catch(
      (e: { actual?: unknown }) => (code = String(e.actual)),
    );
    assert.match(code, /grace/);
  }
});
test('a store drops only what it is told by its ballot, and what has ended by its own clock, too', () =>
  withCluster(
    13,
    async ({ w, hosts, stores, edge, pass, wait }) => {
      const a = await edge(1);
      for (const k of ['x', 'y', 'z']) await a.regs.change(k, put(k, duration.s(5)));
      const group = encodeGroup(stores.get(1)!.group()!);
      type Due = { keys: [string, [number, string]][] };
      const ask = <T>(kind: string, body: object): Promise<T> =>
        a.rpc.request<T>(at(1), kind, { to: 'k1', group, ...body }, duration.s(1));
      const due = async (): Promise<Due['keys']> => (await ask<Due>('reg.due', { limit: 10 })).keys;
      await wait(duration.s(10));
      assert.equal(await due(), []);
      // The grace counts from the last thing that needed it: the third has one more change.
      await a.regs.change('z', put('z', duration.s(5)));
      await wait(duration.s(15));
      const keys = await due();
      assert.equal(keys.map(([k]) => k).sort(), ['x', 'y']);
      const dropped = async (body: object): Promise<number> =>
        (await ask<{ dropped: number }>('reg.drop', { wall: wallAt(w, 0), ...body })).dropped;
      const [[x, ballotOfX], [y]] = keys as [Due['keys'][0], Due['keys'][0]];
      assert.is(await dropped({ keys: [[x, [99, 'other']]] }), 0, 'another ballot');
      assert.is(
        await dropped({ keys: [[x, ballotOfX]], wall: wallAt(w, -duration.s(20)) }),
        0,
        "the sweep's wall is earlier",
      );
      assert.is(await dropped({ keys: [['z', ballotOfX]] }), 0);
      await a.regs.change(y, put('again', duration.s(500)));
      assert.is(await dropped({ keys }), 1, 'one was changed after it was listed');
      assert.is(stores.get(1)!.size(), 2);
      await wait(duration.s(30));
      // A store whose clock is behind does not agree yet.
      hosts[2]!.skew = -duration.s(300);
      assert.is((await pass(a, false)).purged, 0);
      hosts[2]!.skew = 0;
      await wait(duration.s(40));
      assert.ok((await pass(a, false)).purged >= 1);
      assert.is(await a.regs.read(y), 'again');
    },
    { grace: duration.s(15) },
  ));
test('a copy that was dropped everywhere but at one store does not hide what is written after it', async () => {
  for (let seed = 1; seed <= 6; seed++)
    await withCluster(
      seed,
      async ({ w, hosts, edge, pass, wait }) => {
        const a = await edge(1);
        // Many changes, so that its ballots are high.
        for (let i = 0; i < 20; i++) await a.regs.change('k', put(i, duration.s(5)));
        await wait(duration.s(40));
        // Store 3 answers what is due, and the word to drop it does not reach it.
        let heal = (): void => undefined;
        w.scheduleAt(
          w.now() + duration.ms(4) + w.rand.int(duration.ms(3)),
          () => (heal = w.partition([a.host], [hosts[2]!])),
        );
        await pass(a, false);
        heal();
        const b = await edge(2);
        await b.regs.change('k', put('again', duration.s(500)));
        for (const i of [0, 1, 2]) {
          const healOne = w.partition([b.host], [hosts[i]!]);
          assert.is(await b.regs.read('k'), 'again', `seed ${seed}, without store ${i + 1}`);
          healOne();
        }
      },
      { grace: duration.s(20) },
    );
});

test.run();
