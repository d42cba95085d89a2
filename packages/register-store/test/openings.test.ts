// Openings of new keys in one round (§6.2, §6.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeGroup, type Ballot } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { at, withCluster, put, append, codeOf, cost, fresh, strayed } from './builders.js';

test('a new key is opened in one round, by all members; one that is there falls back to a ballot', () =>
  withCluster(20, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    await b.regs.change('warm', put(2));
    await wait(duration.s(1));
    const c = await cost(w, () => a.regs.change('k', append('a'), duration.s(2), fresh));
    assert.equal([c.frames, a.regs.counts().opened], [6, 1]);
    assert.ok(c.took < duration.ms(5), `${c.took}`);
    assert.equal(await b.regs.read('k'), ['a']);
    assert.equal(await b.regs.change('k', append('b'), duration.s(2), fresh), ['a']);
    assert.is(b.regs.counts().opened, 0);
    // What was opened promises the next ballot, too: until another came.
    await a.regs.change('own', append('1'), duration.s(2), fresh);
    await wait(duration.s(1));
    assert.is((await cost(w, () => a.regs.change('own', append('2')))).frames, 6);
    assert.equal(await b.regs.read('own'), ['1', '2']);
  }));
test('a store that is lost, cut off or slow holds openings up once, and then none are tried for a while', async () => {
  for (const how of ['lost', 'cut', 'frozen'] as const)
    await withCluster(21, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      const took = async (key: string): Promise<Microseconds> =>
        (await cost(w, () => a.regs.change(key, append('x'), duration.s(2), fresh))).took;
      const usual = (await cost(w, () => a.regs.change('usual', append('x')))).took;
      if (how === 'lost') w.kill(hosts[2]!, 'power');
      else if (how === 'cut') w.partition([a.host], [hosts[2]!]);
      else w.freeze(hosts[2]!);
      const [first, next] = [await took('k1'), await took('k2')];
      assert.ok(first < usual + duration.ms(20), `${how}: the first took ${first}, usual is ${usual}`);
      assert.ok(next < usual + duration.ms(3), `${how}: the next took ${next}, usual is ${usual}`);
      assert.is(a.regs.counts().openings, 1);
      const reader = await edge(2);
      assert.equal(await reader.regs.read('k1'), ['x']);
    });
});
test('an opening that not all members took is settled before anybody is told of it', () =>
  withCluster(22, async ({ w, hosts, edge, wait, boot }) => {
    const a = await edge(1);
    await a.regs.change('warm', put(1));
    await wait(duration.s(1));
    // Stores 1 and 2 take it, store 3 and its proposer do not get further.
    w.partition([a.host], [hosts[2]!]);
    void a.regs.change('k', append('a'), duration.s(2), fresh).catch(() => undefined);
    await wait(duration.ms(4));
    w.kill(a.host, 'power');
    // Store 1 is not there: store 2 alone has it.
    const b = await edge(2);
    w.kill(hosts[0]!, 'power');
    assert.equal(await b.regs.read('k'), ['a']);
    assert.is(b.regs.counts().done, 1, 'it was not settled');
    w.kill(hosts[1]!, 'power');
    w.start(hosts[0]!);
    await boot(1);
    assert.equal(await b.regs.read('k'), ['a']);
  }));
test('two openings of one proposer are told apart', () =>
  withCluster(26, async ({ w, hosts, edge, wait }) => {
    const [a, b, c] = [await edge(1), await edge(2, (id) => (id === 'k3' ? 0 : 1)), await edge(3)];
    for (const x of [a, b, c]) await x.regs.change('warm', put(1));
    await wait(duration.s(1));
    const heal = w.partition([a.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(a.regs.change('k', append('1'), duration.ms(20), fresh)), 'no-majority');
    heal();
    await wait(duration.s(1));
    void a.regs.change('k', append('2'), duration.s(2), fresh).catch(() => undefined);
    await wait(duration.ms(2));
    w.kill(a.host, 'power');
    await wait(duration.ms(2));
    assert.is(a.regs.counts().openings, 2);
    const [first, next] = [await b.regs.read('k'), await c.regs.read('k')];
    assert.equal(first, next, 'two readers were told of two values');
  }));
test('a store that comes back into the group with its old disk does not bring back what it held', async () => {
  let at3 = 0;
  for (let seed = 1; seed <= 8; seed++)
    await withCluster(seed, async (s) => {
      const { w, hosts, stores, edge, group, pass, boot, wait } = s;
      await strayed(s, 4 + seed, 'k', [3]);
      at3 += stores.get(3)!.counts().opened;
      const a = await edge(1);
      if (seed % 2) w.kill(hosts[2]!, 'power');
      group(2, [1, 2]);
      assert.ok((await pass(a, true)).complete);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      await a.regs.change('k', append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 1);
      if (seed % 2) {
        w.start(hosts[2]!);
        await boot(3);
      }
      group(3, [1, 2, 3]);
      w.kill(hosts[0]!, 'power');
      const b = await edge(2);
      assert.equal(await b.regs.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      assert.ok((await pass(b, true)).complete);
      assert.equal(await b.regs.read('k', duration.s(4)), ['a']);
    });
  assert.is(at3, 8);
});
test('a newcomer takes no openings before it is filled; then it does, also after a loss of power', async () => {
  for (let seed = 1; seed <= 8; seed++)
    await withCluster(seed, async (s) => {
      const { w, hosts, stores, edge, group, pass, boot, wait } = s;
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      for (const key of ['k', 'l']) await a.regs.change(key, append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 2);
      await boot(4);
      group(2, [2, 3]);
      assert.ok((await pass(a, true)).complete);
      group(3, [2, 3, 4]);
      assert.ok((await pass(a, true)).complete);
      await strayed(s, 5, 'k', [4]);
      assert.is(stores.get(4)!.counts().opened, 0, 'an opening before it was filled');
      w.kill(hosts[1]!, 'power');
      assert.equal(await (await edge(2)).regs.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      w.start(hosts[1]!);
      await boot(2);
      await wait(duration.s(3));
      assert.ok((await pass(a, false)).complete);
      for (const i of [2, 3, 4]) {
        w.kill(hosts[i - 1]!, 'power');
        w.start(hosts[i - 1]!);
        await boot(i);
      }
      await wait(duration.s(3));
      await a.regs.change('warm', put(1));
      await a.regs.change('new', append('a'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 3);
      assert.equal(await (await edge(3)).regs.readMany(['k', 'l', 'new']), [['a'], ['a'], ['a']]);
    });
});
test('an opening at one store does not hide what the others have, however high the floor is', () =>
  withCluster(
    23,
    async (s) => {
      const { w, hosts, edge, pass, wait, boot } = s;
      const a = await edge(1);
      // The floor rises with a key that was changed many times.
      for (let i = 0; i < 9; i++) await a.regs.change('other', put(i, duration.s(1)));
      w.kill(hosts[2]!, 'power');
      await a.regs.change('k', put('was there'));
      w.start(hosts[2]!);
      await boot(3);
      await wait(duration.s(60));
      // As the sweep does, but without mending 'k' at store 3.
      const drop = async (): Promise<void> => {
        const group = encodeGroup(s.stores.get(1)!.group()!);
        for (const i of [1, 2, 3]) {
          const ask = <T>(kind: string, body: object): Promise<T> =>
            a.rpc.request<T>(at(i), kind, { to: `k${i}`, group, ...body }, duration.s(1));
          const due = await ask<{ keys: [string, Ballot][]; wall: Microseconds }>('reg.due', { limit: 9 });
          await ask('reg.drop', { keys: due.keys, wall: due.wall });
        }
      };
      await drop();
      await strayed(s, 5, 'k', [2, 3]);
      assert.equal(
        [2, 3].map((i) => s.stores.get(i)!.counts().opened),
        [0, 1],
      );
      w.kill(hosts[0]!, 'power');
      assert.is(await (await edge(2)).regs.read('k', duration.s(4)), 'was there');
      w.start(hosts[0]!);
      await boot(1);
      await pass(a, false);
      await wait(duration.s(1));
      assert.is((await pass(a, false)).ranges, 0, 'the opening was not overwritten');
    },
    { grace: duration.s(10) },
  ));
test('what was opened is like any other at rest: not listed by a sweep, dropped in time, and opened again', () =>
  withCluster(
    24,
    async ({ edge, pass, wait, stores }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      for (let i = 0; i < 30; i++) await a.regs.change(`k${i}`, put(i, duration.s(5)), duration.s(2), fresh);
      const r = await pass(a, false);
      assert.equal([r.complete, r.ranges, a.regs.counts().opened], [true, 0, 30]);
      assert.equal(await a.regs.extend(['k0', 'k1'], 4e15), []);
      await wait(duration.s(40));
      assert.is((await pass(a, false)).purged, 28);
      const group = encodeGroup(stores.get(1)!.group()!);
      const late = { to: 'k1', group, key: 'k9', op: 'x.1', ballot: [1, 'x'], next: [2, 'x'] };
      const held = { value: 'late', until: 4e15, ops: ['x.1'] };
      const q = await a.rpc.request<{ ok: boolean }>(at(1), 'reg.open', { ...late, held }, duration.s(1));
      assert.is(q.ok, false, 'an old opening came back');
      const b = await edge(2);
      await b.regs.change('warm', put(2));
      await wait(duration.s(1));
      await b.regs.change('k9', put('again'), duration.s(2), fresh);
      assert.is(b.regs.counts().opened, 1);
      assert.equal(await a.regs.readMany(['k0', 'k1', 'k9', 'k2']), [0, 1, 'again', undefined]);
    },
    { grace: duration.s(10) },
  ));

test.run();
