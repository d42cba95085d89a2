// Promises that a proposer has ahead of a change (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, cost } from './builders.js';

test('a reserved key takes one round to change; a new one and one that another edge had', () =>
  withCluster(1, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    await a.regs.change('warm', put(1));
    for (const key of ['new', 'taken']) {
      if (key === 'taken') await b.regs.change(key, append('b'));
      await a.regs.reserve(key);
      await wait(duration.s(1));
      const rounds = a.regs.counts().rounds;
      let saw: string[] = [];
      const c = await cost(w, async () => (saw = await a.regs.change(key, append('a'))));
      assert.is(a.regs.counts().rounds, rounds, 'a prepare was needed');
      assert.ok(c.took < duration.ms(5), `${key} took ${c.took}`);
      assert.equal(saw, key === 'taken' ? ['b'] : []);
    }
    // The promise is used up and renewed; a second reservation costs nothing.
    assert.is((await cost(w, () => a.regs.reserve('new'))).frames, 0);
  }));
test('a reservation that another edge has come before falls back, and nothing is lost or doubled', async () => {
  for (let seed = 1; seed <= 10; seed++)
    await withCluster(seed, async ({ edge, wait }) => {
      const [a, b] = [await edge(1), await edge(2)];
      await a.regs.reserve('k');
      await b.regs.reserve('k');
      const saw = await Promise.all([a.regs.change('k', append('a')), b.regs.change('k', append('b'))]);
      await wait(duration.s(1));
      const end = (await a.regs.read('k')) as string[];
      assert.equal([...end].sort(), ['a', 'b']);
      assert.equal(saw[0], end.slice(0, end.indexOf('a')));
      assert.equal(saw[1], end.slice(0, end.indexOf('b')));
      assert.ok(a.regs.counts().conflicts + b.regs.counts().conflicts > 0);
    });
});
test('a reservation without a majority fails in time, and one that stores lost with their disks is tried again', () =>
  withCluster(2, async ({ w, hosts, edge, boot, group }) => {
    const a = await edge(1);
    await a.regs.reserve('k');
    for (const i of [0, 1]) w.kill(hosts[i]!, 'power');
    const from = w.now();
    assert.is(await codeOf(a.regs.reserve('other', duration.ms(300))), 'no-majority');
    assert.ok(w.now() - from < duration.ms(800));
    for (const i of [0, 1]) {
      w.start(hosts[i]!);
      await boot(i + 1);
    }
    assert.equal(await a.regs.change('k', append('a')), []);
    group(2, [1, 2, 3]);
    assert.equal(await a.regs.change('k', append('b')), ['a'], 'a promise of an older group counted');
  }));

test('a promise that another edge has overtaken costs one refused round and no pause; one that is told so, none', () =>
  withCluster(24, async ({ w, edge, wait }) => {
    const [a, b] = [await edge(1), await edge(2)];
    for (const key of ['k', 'l']) {
      await a.regs.change(key, append('a'));
      await b.regs.change(key, append('b'));
    }
    await wait(duration.s(1));
    const plain = await cost(w, () => b.regs.change('l', append('b')));
    const refused = await cost(w, () => a.regs.change('k', append('a')));
    const told = await cost(w, () => a.regs.change('l', append('a'), duration.s(2), { past: 16 }));
    assert.equal([plain.frames, refused.frames, told.frames], [6, 18, 12]);
    assert.ok(refused.took < 3 * plain.took + duration.ms(1), `${refused.took} us, a usual change takes ${plain.took}`);
    assert.equal(await b.regs.read('k'), ['a', 'b', 'a']);
    assert.equal(await b.regs.read('l'), ['a', 'b', 'b', 'a']);
  }));
test.run();
