// Reads of many keys, values from the nearest store, and the bytes and frames that reads and changes send (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, costOf, expectAbsent } from './builders.js';

test('many keys are read with one frame to each store, and their values from the nearest store only', () =>
  withCluster(3, async ({ world, openClient }) => {
    const writer = await openClient(2);
    const big = 'v'.repeat(4000);
    const keys = Array.from({ length: 30 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.registers.change(key, put({ key, big }));
    // The client in zone 1 reads values from the store in zone 1, so no value is sent between zones.
    const client1 = await openClient(1, (id) => (id === 'k1' ? 0 : 1));
    await client1.registers.reachable();
    let values: unknown[] = [];
    const readCost = await costOf(world, async () => (values = await client1.registers.readMany([...keys, 'missing'])));
    assert.equal(values, [...keys.map((key) => ({ key, big })), undefined]);
    assert.is(readCost.frames, 6);
    assert.ok(readCost.bytes < 30 * 200, `${readCost.bytes} bytes between zones for 30 values of 4000`);
    assert.ok(readCost.took < duration.ms(4));
    const singleRead = await costOf(world, () => client1.registers.read('k7'));
    assert.ok(singleRead.bytes < 1000 && singleRead.frames === 6, JSON.stringify(singleRead));
    assert.equal(await client1.registers.readMany([]), []);
    assert.is(client1.registers.counts().fetched, 0);
  }));
test('a nearest store that is down, frozen or behind delays a read by milliseconds, never making it stale', () =>
  withCluster(4, async ({ world, hosts, openClient, startStore, wait }) => {
    const writer = await openClient(2);
    const client1 = await openClient(1, (id) => Number(id.slice(1)));
    const keys = Array.from({ length: 5 }, (_, i) => `k${i}`);
    for (const key of keys) await writer.registers.change(key, append('old'));
    await client1.registers.readMany(keys);
    world.kill(hosts[0]!, 'power');
    for (const key of keys) await writer.registers.change(key, append('new'));
    const newest = keys.map(() => ['old', 'new']);
    let values: unknown[] = [];
    const down = await costOf(world, async () => (values = await client1.registers.readMany(keys)));
    assert.equal(values, newest);
    assert.ok(down.took < duration.ms(12), `${down.took} with the nearest store down`);
    const next = await costOf(world, () => client1.registers.readMany(keys));
    assert.ok(next.took < duration.ms(5), `${next.took}: the read waited again for a store that was slow recently`);
    world.start(hosts[0]!);
    await startStore(1);
    await wait(duration.s(3));
    assert.equal(
      await client1.registers.readMany(keys),
      newest,
      'the read returned the old values of the restarted store',
    );
    await wait(duration.s(1));
    // That read repaired store 1, so stores 1 and 3 can now give the newest values without store 2.
    world.kill(hosts[1]!, 'power');
    assert.equal(await client1.registers.readMany(keys), newest);
    world.start(hosts[1]!);
    await startStore(2);
    await wait(duration.s(3));
    world.freeze(hosts[0]!);
    const frozen = await costOf(world, () => client1.registers.readMany(keys));
    assert.ok(frozen.took < duration.ms(12), `${frozen.took} with the nearest store frozen`);
    const change = await costOf(world, () => writer.registers.change('k1', append('x')));
    assert.ok(change.took < duration.ms(12), `${change.took} for a change`);
    world.thaw(hosts[0]!);
  }));
test('a read settles the keys on which the stores differ, and no others', () =>
  withCluster(5, async ({ world, hosts, openClient }) => {
    const client1 = await openClient(1);
    for (const key of ['x', 'y', 'z']) await client1.registers.change(key, append('1'));
    // The accept of a second append reaches store 3 only: the client is cut off from the other two.
    const client3 = await openClient(3);
    await client3.registers.reserve('y');
    const heal = world.partition([client3.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(client3.registers.change('y', append('2'), duration.ms(200))), 'no-majority');
    heal();
    const rounds = client1.registers.counts().rounds;
    const [valueX, valueY, valueZ] = (await client1.registers.readMany(['x', 'y', 'z'])) as string[][];
    assert.equal([valueX, valueZ], [['1'], ['1']]);
    assert.equal(valueY!.slice(0, 1), ['1']);
    assert.equal(await client1.registers.read('y'), valueY, 'a second read returned another value');
    // At most two prepare rounds: one that learns the other client's ballot, and one above it.
    assert.ok(client1.registers.counts().rounds - rounds <= 2, JSON.stringify(client1.registers.counts()));
  }));

test('replies omit values that the client has or does not need, and requests name the group by its version', () =>
  withCluster(6, async ({ world, openClient }) => {
    const client1 = await openClient(1);
    const client2 = await openClient(2);
    const big = 'v'.repeat(20_000);
    await client1.registers.change('k', put(big));
    const again = await costOf(world, () => client1.registers.change('k', put(big)));
    assert.ok(again.bytes > 40_000 && again.bytes < 43_000, `${again.bytes} bytes for two copies of 20 000`);
    // The other client has not read the value yet: one store sends it once, and the client caches it.
    await client2.registers.reachable();
    const first = await costOf(world, () => client2.registers.reserve('k'));
    assert.ok(first.bytes < 22_000, `${first.bytes} bytes for one value`);
    await client1.registers.change('small', put(1));
    const small = await costOf(world, () => client1.registers.change('small', put(2)));
    assert.is(small.frames, 6);
    assert.ok(small.bytes < 1100, `${small.bytes} bytes between zones for a change of a small value`);
  }));
test('with `once`, any replica of a key is read without a ballot, and a key without replicas is absent', async () => {
  for (const lost of [0, 1, 2])
    await withCluster(23, async ({ world, hosts, openClient, wait }) => {
      const client1 = await openClient(1);
      await client1.registers.change('warm', put(1));
      await wait(duration.s(1));
      await client1.registers.change('k', put('v'), duration.s(2), expectAbsent);
      assert.is(client1.registers.counts().opened, 1);
      // Store 2 alone has this key: its opening was neither decided nor acknowledged.
      const heal = world.partition([client1.host], [hosts[0]!, hosts[2]!]);
      await client1.registers.change('alone', put('w'), duration.ms(100), expectAbsent).catch(() => undefined);
      heal();
      world.kill(hosts[lost]!, 'power');
      const client2 = await openClient(2);
      const { rounds } = client2.registers.counts();
      const values = await client2.registers.readMany(['k', 'alone', 'none'], duration.s(2), { once: true });
      assert.equal(values, ['v', lost === 1 ? undefined : 'w', undefined], `without store ${lost + 1}`);
      assert.is(client2.registers.counts().rounds, rounds, 'the read used a ballot');
    });
});
test.run();
