// Openings: new keys are written in one round, without a prepare, if all members accept (§6.2, §6.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeGroup, type Ballot } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import {
  storeAddress,
  withCluster,
  put,
  append,
  codeOf,
  costOf,
  expectAbsent,
  leavePartialOpening,
} from './builders.js';

test('an opening writes a new key in one round with all members; for an existing key it falls back to a ballot', () =>
  withCluster(20, async ({ world, openClient, wait }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client1.registers.change('warm', put(1));
    await client2.registers.change('warm', put(2));
    await wait(duration.s(1));
    const changeCost = await costOf(world, () =>
      client1.registers.change('k', append('a'), duration.s(2), expectAbsent),
    );
    assert.equal([changeCost.frames, client1.registers.counts().opened], [6, 1]);
    assert.ok(changeCost.took < duration.ms(5), `${changeCost.took}`);
    assert.equal(await client2.registers.read('k'), ['a']);
    assert.equal(await client2.registers.change('k', append('b'), duration.s(2), expectAbsent), ['a']);
    assert.is(client2.registers.counts().opened, 0);
    // An opening also promises the next ballot, so the next change of the same client takes one round.
    await client1.registers.change('own', append('1'), duration.s(2), expectAbsent);
    await wait(duration.s(1));
    assert.is((await costOf(world, () => client1.registers.change('own', append('2')))).frames, 6);
    assert.equal(await client2.registers.read('own'), ['1', '2']);
  }));
test('a store that is lost, cut off or frozen delays one opening; then none are attempted for a while', async () => {
  for (const failure of ['lost', 'cut', 'frozen'] as const)
    await withCluster(21, async ({ world, hosts, openClient, wait }) => {
      const client1 = await openClient(1);
      await client1.registers.change('warm', put(1));
      await wait(duration.s(1));
      const took = async (key: string): Promise<Microseconds> =>
        (await costOf(world, () => client1.registers.change(key, append('x'), duration.s(2), expectAbsent))).took;
      const usual = (await costOf(world, () => client1.registers.change('usual', append('x')))).took;
      if (failure === 'lost') world.kill(hosts[2]!, 'power');
      else if (failure === 'cut') world.partition([client1.host], [hosts[2]!]);
      else world.freeze(hosts[2]!);
      const [first, next] = [await took('k1'), await took('k2')];
      assert.ok(first < usual + duration.ms(20), `${failure}: the first took ${first}, usual is ${usual}`);
      assert.ok(next < usual + duration.ms(3), `${failure}: the next took ${next}, usual is ${usual}`);
      assert.is(client1.registers.counts().openings, 1);
      const reader = await openClient(2);
      assert.equal(await reader.registers.read('k1'), ['x']);
    });
});
test('an opening that some members lack is decided by a ballot before a reader returns its value', () =>
  withCluster(22, async ({ world, hosts, openClient, wait, startStore }) => {
    const client1 = await openClient(1);
    await client1.registers.change('warm', put(1));
    await wait(duration.s(1));
    // Stores 1 and 2 accept the opening, store 3 does not receive it, and the client fails before the round ends.
    world.partition([client1.host], [hosts[2]!]);
    void client1.registers.change('k', append('a'), duration.s(2), expectAbsent).catch(() => undefined);
    await wait(duration.ms(4));
    world.kill(client1.host, 'power');
    // With store 1 down, store 2 alone shows the opening to the reader.
    const client2 = await openClient(2);
    world.kill(hosts[0]!, 'power');
    assert.equal(await client2.registers.read('k'), ['a']);
    assert.is(client2.registers.counts().done, 1, 'the read returned the value without a ballot');
    world.kill(hosts[1]!, 'power');
    world.start(hosts[0]!);
    await startStore(1);
    assert.equal(await client2.registers.read('k'), ['a']);
  }));
test('two openings of one proposer have different ballots', () =>
  withCluster(26, async ({ world, hosts, openClient, wait }) => {
    const [client1, client2, client3] = [
      await openClient(1),
      await openClient(2, (id) => (id === 'k3' ? 0 : 1)),
      await openClient(3),
    ];
    for (const client of [client1, client2, client3]) await client.registers.change('warm', put(1));
    await wait(duration.s(1));
    const heal = world.partition([client1.host], [hosts[0]!, hosts[1]!]);
    assert.is(await codeOf(client1.registers.change('k', append('1'), duration.ms(20), expectAbsent)), 'no-majority');
    heal();
    await wait(duration.s(1));
    void client1.registers.change('k', append('2'), duration.s(2), expectAbsent).catch(() => undefined);
    await wait(duration.ms(2));
    world.kill(client1.host, 'power');
    await wait(duration.ms(2));
    assert.is(client1.registers.counts().openings, 2);
    const [first, second] = [await client2.registers.read('k'), await client3.registers.read('k')];
    assert.equal(first, second, 'two readers returned different values');
  }));
test('a store that rejoins the group with its old disk does not bring back its old replicas', async () => {
  let openedOnStore3 = 0;
  for (let seed = 1; seed <= 8; seed++)
    await withCluster(seed, async (cluster) => {
      const { world, hosts, stores, openClient, setGroup, runSweep, startStore, wait } = cluster;
      await leavePartialOpening(cluster, 4 + seed, 'k', [3]);
      openedOnStore3 += stores.get(3)!.counts().opened;
      const client1 = await openClient(1);
      if (seed % 2) world.kill(hosts[2]!, 'power');
      setGroup(2, [1, 2]);
      assert.ok((await runSweep(client1, true)).complete);
      await client1.registers.change('warm', put(1));
      await wait(duration.s(1));
      await client1.registers.change('k', append('a'), duration.s(2), expectAbsent);
      assert.is(client1.registers.counts().opened, 1);
      if (seed % 2) {
        world.start(hosts[2]!);
        await startStore(3);
      }
      setGroup(3, [1, 2, 3]);
      world.kill(hosts[0]!, 'power');
      const client2 = await openClient(2);
      assert.equal(await client2.registers.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      assert.ok((await runSweep(client2, true)).complete);
      assert.equal(await client2.registers.read('k', duration.s(4)), ['a']);
    });
  assert.is(openedOnStore3, 8);
});
test('a new store accepts openings only after it is filled, and still does after a loss of power', async () => {
  for (let seed = 1; seed <= 8; seed++)
    await withCluster(seed, async (cluster) => {
      const { world, hosts, stores, openClient, setGroup, runSweep, startStore, wait } = cluster;
      const client1 = await openClient(1);
      await client1.registers.change('warm', put(1));
      await wait(duration.s(1));
      for (const key of ['k', 'l']) await client1.registers.change(key, append('a'), duration.s(2), expectAbsent);
      assert.is(client1.registers.counts().opened, 2);
      await startStore(4);
      setGroup(2, [2, 3]);
      assert.ok((await runSweep(client1, true)).complete);
      setGroup(3, [2, 3, 4]);
      assert.ok((await runSweep(client1, true)).complete);
      await leavePartialOpening(cluster, 5, 'k', [4]);
      assert.is(stores.get(4)!.counts().opened, 0, 'it accepted an opening before it was filled');
      world.kill(hosts[1]!, 'power');
      assert.equal(await (await openClient(2)).registers.read('k', duration.s(4)), ['a'], `seed ${seed}`);
      world.start(hosts[1]!);
      await startStore(2);
      await wait(duration.s(3));
      assert.ok((await runSweep(client1, false)).complete);
      for (const i of [2, 3, 4]) {
        world.kill(hosts[i - 1]!, 'power');
        world.start(hosts[i - 1]!);
        await startStore(i);
      }
      await wait(duration.s(3));
      await client1.registers.change('warm', put(1));
      await client1.registers.change('new', append('a'), duration.s(2), expectAbsent);
      assert.is(client1.registers.counts().opened, 3);
      assert.equal(await (await openClient(3)).registers.readMany(['k', 'l', 'new']), [['a'], ['a'], ['a']]);
    });
});
test('an opening on one store does not hide an older value on the others, even with a high floor', () =>
  withCluster(
    23,
    async (cluster) => {
      const { world, hosts, openClient, runSweep, wait, startStore } = cluster;
      const client1 = await openClient(1);
      // Dropping a key that was changed many times raises the floor.
      for (let i = 0; i < 9; i++) await client1.registers.change('other', put(i, duration.s(1)));
      world.kill(hosts[2]!, 'power');
      await client1.registers.change('k', put('was there'));
      world.start(hosts[2]!);
      await startStore(3);
      await wait(duration.s(60));
      // Drops expired keys as the sweep does, but without repairing 'k' on store 3.
      const drop = async (): Promise<void> => {
        const group = encodeGroup(cluster.stores.get(1)!.group()!);
        for (const i of [1, 2, 3]) {
          const request = <T>(message: string, body: object): Promise<T> =>
            client1.rpc.request<T>(storeAddress(i), message, { to: `k${i}`, group, ...body }, duration.s(1));
          const due = await request<{ keys: [string, Ballot][]; wall: Microseconds }>('reg.due', { limit: 9 });
          await request('reg.drop', { keys: due.keys, wall: due.wall });
        }
      };
      await drop();
      await leavePartialOpening(cluster, 5, 'k', [2, 3]);
      assert.equal(
        [2, 3].map((i) => cluster.stores.get(i)!.counts().opened),
        [0, 1],
      );
      world.kill(hosts[0]!, 'power');
      assert.is(await (await openClient(2)).registers.read('k', duration.s(4)), 'was there');
      world.start(hosts[0]!);
      await startStore(1);
      await runSweep(client1, false);
      await wait(duration.s(1));
      assert.is((await runSweep(client1, false)).ranges, 0, 'the opening was not overwritten');
    },
    { grace: duration.s(10) },
  ));
test('opened keys behave like others: equal in a sweep, dropped after expiry, and opened again', () =>
  withCluster(
    24,
    async ({ openClient, runSweep, wait, stores }) => {
      const client1 = await openClient(1);
      await client1.registers.change('warm', put(1));
      await wait(duration.s(1));
      for (let i = 0; i < 30; i++)
        await client1.registers.change(`k${i}`, put(i, duration.s(5)), duration.s(2), expectAbsent);
      const result = await runSweep(client1, false);
      assert.equal([result.complete, result.ranges, client1.registers.counts().opened], [true, 0, 30]);
      assert.equal(await client1.registers.extend(['k0', 'k1'], 4e15), []);
      await wait(duration.s(40));
      assert.is((await runSweep(client1, false)).purged, 28);
      const group = encodeGroup(stores.get(1)!.group()!);
      const delayed = { to: 'k1', group, key: 'k9', op: 'x.1', ballot: [1, 'x'], next: [2, 'x'] };
      const held = { value: 'late', until: 4e15, ops: ['x.1'] };
      const reply = await client1.rpc.request<{ ok: boolean }>(
        storeAddress(1),
        'reg.open',
        { ...delayed, held },
        duration.s(1),
      );
      assert.is(reply.ok, false, 'a delayed opening was accepted after its key was dropped');
      const client2 = await openClient(2);
      await client2.registers.change('warm', put(2));
      await wait(duration.s(1));
      await client2.registers.change('k9', put('again'), duration.s(2), expectAbsent);
      assert.is(client2.registers.counts().opened, 1);
      assert.equal(await client1.registers.readMany(['k0', 'k1', 'k9', 'k2']), [0, 1, 'again', undefined]);
    },
    { grace: duration.s(10) },
  ));

test.run();
