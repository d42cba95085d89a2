// Stores that are slow, cut off or whose disk hangs (§6.2, §8).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, cost } from './builders.js';

test('one store that is slow or cut off does not slow the others, and gets the value all the same', () =>
  withCluster(7, async ({ w, hosts, edge, wait }) => {
    const a = await edge(1);
    await a.regs.change('k', put(0));
    hosts[2]!.disk.hangsUntil = w.now() + duration.s(3);
    for (let i = 1; i <= 20; i++) {
      const c = await cost(w, () => a.regs.change('k', put(i)));
      assert.ok(c.took < duration.ms(8), `change ${i} took ${c.took}`);
    }
    await wait(duration.s(4));
    w.kill(hosts[0]!, 'power');
    assert.is(await a.regs.read('k'), 20);
    const b = await edge(3);
    assert.is(await b.regs.read('k'), 20);
  }));

test('a store whose disk hangs holds a bounded number of messages, and is brought up to date afterwards', () =>
  withCluster(17, async ({ w, hosts, stores, edge, wait, pass }) => {
    const a = await edge(1);
    await a.regs.change('warm', put(0));
    hosts[2]!.disk.hangsUntil = w.now() + duration.s(5);
    let most = 0;
    const work: Promise<unknown>[] = [];
    for (let i = 0; i < 2500; i++) {
      work.push(a.regs.change(`k${i}`, put(i)));
      if (i % 10 === 0) await wait(duration.ms(10));
      most = Math.max(most, stores.get(3)!.counts().waiting);
    }
    await Promise.all(work);
    assert.ok(most > 1500 && most <= 2000, `${most} messages waited`);
    assert.ok(stores.get(3)!.counts().refused > 0);
    await wait(duration.s(5));
    assert.is(stores.get(3)!.counts().waiting, 0);
    assert.ok((await pass(a, false)).complete);
    assert.is(stores.get(3)!.size(), 2501);
    w.kill(hosts[0]!, 'power');
    const b = await edge(2);
    const keys = Array.from({ length: 2500 }, (_, i) => `k${i}`);
    assert.equal(await b.regs.readMany(keys, duration.s(5)), [...keys.keys()]);
  }));
test.run();
