// Reads of many keys from the nearest store, and what is sent (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, cost, fresh } from './builders.js';

test('many keys are read with one frame to each store, their values from the nearest alone', () =>
  withCluster(3, async ({ w, edge }) => {
    const writer = await edge(2);
    const big = 'v'.repeat(4000);
    const keys = Array.from({ length: 30 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.regs.change(key, put({ key, big }));
    // The edge of zone 1 reads from the store of zone 1: no value crosses a zone.
    const a = await edge(1, (id) => (id === 'k1' ? 0 : 1));
    await a.regs.reachable();
    let got: unknown[] = [];
    const c = await cost(w, async () => (got = await a.regs.readMany([...keys, 'missing'])));
    assert.equal(got, [...keys.map((key) => ({ key, big })), undefined]);
    assert.is(c.frames, 6);
    assert.ok(c.bytes < 30 * 200, `${c.bytes} bytes between zones for 30 values of 4000`);
    assert.ok(c.took < duration.ms(4));
    const one = await cost(w, () => a.regs.read('k7'));
    assert.ok(one.bytes < 1000 && one.frames === 6, JSON.stringify(one));
    assert.equal(await a.regs.readMany([]), []);
    assert.is(a.regs.counts().fetched, 0);
  }));
test('a nearest store that is down, frozen or behind costs a few milliseconds, never the newest value', () =>
  withCluster(4, async ({ w, hosts, edge, boot, wait }) => {
    const writer = await edge(2);
    const a = await edge(1, (id) => Number(id.slice(1)));
    const keys = Array.from({ length: 5 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.regs.change(key, append('old'));
    await a.regs.readMany(keys);
    w.kill(hosts[0]!, 'power');
    for (const key of keys) await writer.regs.change(key, append('new'));
    const all = keys.map(() => ['old', 'new']);
    let got: unknown[] = [];
    const down = await cost(w, async () => (got = await a.regs.readMany(keys)));
    assert.equal(got, all);
    assert.ok(down.took < duration.ms(12), `${down.took} with the nearest one down`);
    const next = await cost(w, () => a.regs.readMany(keys));
    assert.ok(next.took < duration.ms(5), `${next.took}: one that was slow just now is not waited for again`);
    w.start(hosts[0]!);
    await boot(1);
    await wait(duration.s(3));
    assert.equal(await a.regs.readMany(keys), all, 'the store that came back is behind');
    await wait(duration.s(1));
    // It was mended by that read: it alone can give the value now, with any other for the majority.
    w.kill(hosts[1]!, 'power');
    assert.equal(await a.regs.readMany(keys), all);
    w.start(hosts[1]!);
    await boot(2);
    await wait(duration.s(3));
    w.freeze(hosts[0]!);
    const frozen = await cost(w, () => a.regs.readMany(keys));
    assert.ok(frozen.took < duration.ms(12), `${frozen.took} with the nearest one frozen`);
    const change = await cost(w, () => writer.regs.change('k1', append('x')));
    assert.ok(change.took < duration.ms(12), `${change.took} for a change`);
    w.thaw(hosts[0]!);
  }));
test('keys of which the stores differ are settled, the others of the same read are not', () =>
  withCluster(5, async ({ w, hosts, edge }) => {
    const a = await edge(1);
    for (const k of ['x', 'y', 'z']) await a.regs.change(k, append('1'));
    // The accept of a second append reaches store3 alone: the other two lose power before it comes.
    const b = await edge(3);
    await b.regs.reserve('y');
    const heal = w.partition([b.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(b.regs.change('y', append('2'), duration.ms(200))), 'no-majority');
    heal();
    const rounds = a.regs.counts().rounds;
    const [x, y, z] = (await a.regs.readMany(['x', 'y', 'z'])) as string[][];
    assert.equal([x, z], [['1'], ['1']]);
    assert.equal(y!.slice(0, 1), ['1']);
    assert.equal(await a.regs.read('y'), y, 'a second read sees something else');
    // One prepare that learns of the other's ballot, and one above it.
    assert.ok(a.regs.counts().rounds - rounds <= 2, JSON.stringify(a.regs.counts()));
  }));

test('what is sent back: no value to who has it or did not want it; a group is named by its mark', () =>
  withCluster(6, async ({ w, edge }) => {
    const a = await edge(1);
    const b = await edge(2);
    const big = 'v'.repeat(20_000);
    await a.regs.change('k', put(big));
    const again = await cost(w, () => a.regs.change('k', put(big)));
    assert.ok(again.bytes > 40_000 && again.bytes < 43_000, `${again.bytes} bytes for two copies of 20 000`);
    // The other edge has never seen it: one value comes, from one store; then it has it.
    await b.regs.reachable();
    const first = await cost(w, () => b.regs.reserve('k'));
    assert.ok(first.bytes < 22_000, `${first.bytes} bytes for one value`);
    await a.regs.change('small', put(1));
    const small = await cost(w, () => a.regs.change('small', put(2)));
    assert.is(small.frames, 6);
    assert.ok(small.bytes < 1100, `${small.bytes} bytes between zones for a change of a small value`);
  }));
test('what is written once is believed from any copy, without a ballot; what nobody shows is absent', async () => {
  for (const lost of [0, 1, 2])
    await withCluster(23, async ({ w, hosts, edge, wait }) => {
      const a = await edge(1);
      await a.regs.change('warm', put(1));
      await wait(duration.s(1));
      await a.regs.change('k', put('v'), duration.s(2), fresh);
      assert.is(a.regs.counts().opened, 1);
      // Store 2 alone has this one: its opening was never decided, nor told to be.
      const heal = w.partition([a.host], [hosts[0]!, hosts[2]!]);
      await a.regs.change('alone', put('w'), duration.ms(100), fresh).catch(() => undefined);
      heal();
      w.kill(hosts[lost]!, 'power');
      const b = await edge(2);
      const { rounds } = b.regs.counts();
      const got = await b.regs.readMany(['k', 'alone', 'none'], duration.s(2), { once: true });
      assert.equal(got, ['v', lost === 1 ? undefined : 'w', undefined], `without store ${lost + 1}`);
      assert.is(b.regs.counts().rounds, rounds, 'no ballot for it');
    });
});
test.run();
