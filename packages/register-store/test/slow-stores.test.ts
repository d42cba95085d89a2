// Stores whose disk hangs (§6.2, §8).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, costOf } from './builders.js';

test('a store whose disk hangs does not delay changes, and has their result afterwards', () =>
  withCluster(7, async ({ world, hosts, openClient, wait }) => {
    const client1 = await openClient(1);
    await client1.registers.change('k', put(0));
    hosts[2]!.disk.hangsUntil = world.now() + duration.s(3);
    for (let i = 1; i <= 20; i++) {
      const changeCost = await costOf(world, () => client1.registers.change('k', put(i)));
      assert.ok(changeCost.took < duration.ms(8), `change ${i} took ${changeCost.took}`);
    }
    await wait(duration.s(4));
    world.kill(hosts[0]!, 'power');
    assert.is(await client1.registers.read('k'), 20);
    const client3 = await openClient(3);
    assert.is(await client3.registers.read('k'), 20);
  }));

test('a store whose disk hangs queues a bounded number of messages, and a sweep repairs it afterwards', () =>
  withCluster(17, async ({ world, hosts, stores, openClient, wait, runSweep }) => {
    const client1 = await openClient(1);
    await client1.registers.change('warm', put(0));
    hosts[2]!.disk.hangsUntil = world.now() + duration.s(5);
    let maxWaiting = 0;
    const changes: Promise<unknown>[] = [];
    for (let i = 0; i < 2500; i++) {
      changes.push(client1.registers.change(`k${i}`, put(i)));
      if (i % 10 === 0) await wait(duration.ms(10));
      maxWaiting = Math.max(maxWaiting, stores.get(3)!.counts().waiting);
    }
    await Promise.all(changes);
    assert.ok(maxWaiting > 1500 && maxWaiting <= 2000, `${maxWaiting} messages waited`);
    assert.ok(stores.get(3)!.counts().refused > 0);
    await wait(duration.s(5));
    assert.is(stores.get(3)!.counts().waiting, 0);
    assert.ok((await runSweep(client1, false)).complete);
    assert.is(stores.get(3)!.size(), 2501);
    world.kill(hosts[0]!, 'power');
    const client2 = await openClient(2);
    const keys = Array.from({ length: 2500 }, (_, i) => `k${i}`);
    assert.equal(await client2.registers.readMany(keys, duration.s(5)), [...keys.keys()]);
  }));
test.run();
