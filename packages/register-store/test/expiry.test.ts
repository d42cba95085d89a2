// Dropping of expired replicas, and the floor that protects later values of their keys (§6.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeGroup } from '@thornsail/register-store';
import { duration } from '@thornsail/runtime';
import { storeAddress, withCluster, put, append, wallTimeIn } from './builders.js';

test('the grace period before a replica is dropped can be set, to 10 s at least', async () => {
  await withCluster(
    10,
    async ({ stores, openClient, runSweep, wait, world, hosts }) => {
      const client1 = await openClient(1);
      for (let i = 0; i < 1000; i++) await client1.registers.change(`k${i}`, put(i, duration.s(15)));
      for (let i = 0; i < 5; i++) await client1.registers.change(`long${i}`, put(i, duration.s(9000)));
      await client1.registers.extend(['k3'], wallTimeIn(world, duration.s(300)));
      assert.is((await runSweep(client1, false)).purged, 0);
      await wait(duration.s(45));
      const result = await runSweep(client1, false);
      assert.ok(result.complete && result.purged === 999 && result.seen === 0, JSON.stringify(result));
      assert.equal(
        [1, 2, 3].map((i) => stores.get(i)!.size()),
        [6, 6, 6],
      );
      assert.is(await client1.registers.read('k3'), 3);
      assert.ok(stores.get(1)!.counts().longest < 400, 'one step scanned too many replicas');
      // The ballots of a dropped replica are not used again.
      assert.equal(await client1.registers.change('k4', append('x')), []);
      assert.is((await runSweep(client1, false)).seen, 0);
      world.kill(hosts[0]!, 'power');
      assert.equal(await client1.registers.read('k4'), ['x']);
    },
    { grace: duration.s(20) },
  );
  for (const grace of [duration.s(9), 0, NaN, 1.5e7 + 0.5]) {
    let failure = '';
    await withCluster(11, () => Promise.resolve(), { grace }).catch(
      (error: { actual?: unknown }) => (failure = String(error.actual)),
    );
    assert.match(failure, /grace/);
  }
});
test('a store drops a replica only with the given ballot and after its grace period by its own clock as well', () =>
  withCluster(
    13,
    async ({ world, hosts, stores, openClient, runSweep, wait }) => {
      const client1 = await openClient(1);
      for (const key of ['x', 'y', 'z']) await client1.registers.change(key, put(key, duration.s(5)));
      const group = encodeGroup(stores.get(1)!.group()!);
      type Due = { keys: [string, [number, string]][] };
      const request = <T>(message: string, body: object): Promise<T> =>
        client1.rpc.request<T>(storeAddress(1), message, { to: 'k1', group, ...body }, duration.s(1));
      const due = async (): Promise<Due['keys']> => (await request<Due>('reg.due', { limit: 10 })).keys;
      await wait(duration.s(10));
      assert.equal(await due(), []);
      // The grace period starts when a replica was last needed: 'z' is changed once more, and not due yet.
      await client1.registers.change('z', put('z', duration.s(5)));
      await wait(duration.s(15));
      const keys = await due();
      assert.equal(keys.map(([key]) => key).sort(), ['x', 'y']);
      const dropped = async (body: object): Promise<number> =>
        (await request<{ dropped: number }>('reg.drop', { wall: wallTimeIn(world, 0), ...body })).dropped;
      const [[firstKey, firstBallot], [secondKey]] = keys as [Due['keys'][0], Due['keys'][0]];
      assert.is(await dropped({ keys: [[firstKey, [99, 'other']]] }), 0, 'dropped a replica with another ballot');
      assert.is(
        await dropped({ keys: [[firstKey, firstBallot]], wall: wallTimeIn(world, -duration.s(20)) }),
        0,
        "dropped before the grace period was over by the sweep's wall clock",
      );
      assert.is(await dropped({ keys: [['z', firstBallot]] }), 0);
      await client1.registers.change(secondKey, put('again', duration.s(500)));
      assert.is(await dropped({ keys }), 1, 'dropped a key that was changed after it was listed');
      assert.is(stores.get(1)!.size(), 2);
      await wait(duration.s(30));
      // By the clock of store 3, which is behind, the grace period is not over yet.
      hosts[2]!.clockSkew = -duration.s(300);
      assert.is((await runSweep(client1, false)).purged, 0);
      hosts[2]!.clockSkew = 0;
      await wait(duration.s(40));
      assert.ok((await runSweep(client1, false)).purged >= 1);
      assert.is(await client1.registers.read(secondKey), 'again');
    },
    { grace: duration.s(15) },
  ));
test('a replica that was dropped on all stores but one does not hide a value written later', async () => {
  for (let seed = 1; seed <= 6; seed++)
    await withCluster(
      seed,
      async ({ world, hosts, openClient, runSweep, wait }) => {
        const client1 = await openClient(1);
        // Many changes give the replica a high ballot.
        for (let i = 0; i < 20; i++) await client1.registers.change('k', put(i, duration.s(5)));
        await wait(duration.s(40));
        // Store 3 reports the key as due, and the request to drop it does not reach the store.
        let heal = (): void => undefined;
        world.scheduleAt(
          world.now() + duration.ms(4) + world.rand.int(duration.ms(3)),
          () => (heal = world.partition([client1.host], [hosts[2]!])),
        );
        await runSweep(client1, false);
        heal();
        const client2 = await openClient(2);
        await client2.registers.change('k', put('again', duration.s(500)));
        for (const i of [0, 1, 2]) {
          const healOne = world.partition([client2.host], [hosts[i]!]);
          assert.is(await client2.registers.read('k'), 'again', `seed ${seed}, without store ${i + 1}`);
          healOne();
        }
      },
      { grace: duration.s(20) },
    );
});

test.run();
