// Values that a store keeps on disk only: changed, extended, read and repaired like those in memory (§6.1, §6.3).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { durableStore } from '@thornsail/durable-files';
import { store, sweep, type Registers } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { duration } from '@thornsail/runtime';
import { expectAbsent, put, storeAddress, wallTimeIn, withCluster, type Client } from './builders.js';

const turnOf = (n: number): string => `${n}:`.padEnd(17_000, '\u00e9');
const largeOf = (n: number): string => `${n}:`.padEnd(400_000, 'x');

test('values on disk are read, changed, extended and removed, and survive a loss of power of all stores', async () => {
  for (let seed = 21; seed <= 24; seed++)
    await withCluster(seed, async ({ world, hosts, stores, startStore, openClient, wait }) => {
      const [client1, client2] = [await openClient(1), await openClient(2)];
      for (let n = 0; n < 30; n++)
        await client1.registers.change(`t${n}`, put(turnOf(n), duration.s(50)), duration.s(2), expectAbsent);
      assert.ok(stores.get(1)!.counts().value_bytes > 30 * 17_000);
      // Another client has neither the value nor a promise: its prepare has to bring the value.
      await client2.registers.change('t1', put(turnOf(100)));
      await client2.registers.extend(['t2'], wallTimeIn(world, duration.s(500)));
      await client2.registers.change('t3', put('short'));
      const check = async ({ registers }: Client): Promise<void> => {
        assert.is(await registers.read('t0'), turnOf(0));
        assert.is(await registers.read('t1'), turnOf(100));
        assert.is(await registers.read('t3'), 'short');
        assert.equal(await registers.readMany(['t4', 'none', 't5'], duration.s(2), { once: true }), [
          turnOf(4),
          undefined,
          turnOf(5),
        ]);
      };
      await check(await openClient(3));
      for (const host of hosts.slice(0, 3)) world.kill(host, 'power');
      for (const host of hosts.slice(0, 3)) world.start(host);
      for (const i of [1, 2, 3]) await startStore(i);
      await check(await openClient(4));
      await wait(duration.s(100));
      const client5 = await openClient(5);
      assert.is(await client5.registers.read('t2'), turnOf(2));
      assert.is(await client5.registers.read('t0'), undefined);
    });
});

test('a store that leaves its group during a read neither keeps the replica nor answers that there is none', () =>
  withCluster(31, async ({ world, hosts, stores, openClient, wait }) => {
    const client1 = await openClient(1);
    await client1.registers.change('t', put(turnOf(1)));
    const host = hosts[0]!;
    world.kill(host, 'power');
    world.start(host);
    const runtime = world.runtime(host);
    const { readPart } = runtime.disk;
    const slowDisk = {
      ...runtime.disk,
      readPart: (...part: Parameters<typeof readPart>) => wait(duration.ms(200)).then(() => readPart(...part)),
    };
    const endpoint = await rpc.open(runtime, storeAddress(1));
    const reopened = await store.open({ runtime, rpc: endpoint, durable: await durableStore.open(slowDisk) });
    const group = reopened.group()!;
    const request = (message: string, body: object): Promise<{ ok: boolean }> =>
      client1.rpc.request(storeAddress(1), message, { group: 1, ...body }, duration.s(2));
    const until = wallTimeIn(world, duration.s(20_000));
    const requests = [
      request('reg.prepare', { key: 't', ballot: [9, 'other'], lean: true }),
      request('reg.read', { keys: ['t'] }),
      request('reg.read', { key: 't' }),
      request('reg.extend', { keys: ['t'], until }),
    ];
    await wait(duration.ms(20));
    assert.is(reopened.size(), 1);
    // A group is skipped, so what the store holds may be outdated: it removes everything.
    await reopened.adoptGroup({ version: 3, members: group.members });
    assert.is(reopened.size(), 0);
    assert.equal(
      (await Promise.all(requests)).map(({ ok }) => ok),
      [false, false, false, false],
    );
    assert.is(reopened.size(), 0);
    assert.is(stores.get(2)!.size(), 1);
  }));

test('a sweep settles no more bytes at once than its limit, and fills a new store with all values', () =>
  withCluster(25, async ({ world, hosts, stores, startStore, setGroup, openClient, runSweep }) => {
    const client1 = await openClient(1);
    const count = 60;
    for (let n = 0; n < count; n++) await client1.registers.change(`t${n}`, put(largeOf(n)), duration.s(5));
    for (let n = 0; n < 500; n++) await client1.registers.change(`s${n}`, put(n), duration.s(5));
    world.kill(hosts[2]!, 'disk');
    await startStore(4);
    const client2 = await openClient(2);
    let [inProgress, most, mostSmall, inProgressSmall] = [0, 0, 0, 0];
    const settleKey: Registers['settleKey'] = async (key, timeLeft) => {
      const bytes = key.startsWith('t') ? 400_000 : 0;
      inProgress += bytes;
      inProgressSmall += bytes ? 0 : 1;
      most = Math.max(most, inProgress);
      mostSmall = Math.max(mostSmall, inProgressSmall);
      await client2.registers.settleKey(key, timeLeft).finally(() => {
        inProgress -= bytes;
        inProgressSmall -= bytes ? 0 : 1;
      });
    };
    const sweeper = { ...client2, registers: { ...client2.registers, settleKey } };
    setGroup(2, [1, 2]);
    assert.ok((await runSweep(sweeper, true)).complete);
    setGroup(3, [1, 2, 4]);
    assert.ok((await runSweep(sweeper, true)).complete);
    const filled = await sweep.pass({
      clock: world.runtime(world.host('127.0.8.8', 'z9')).clock,
      rpc: client2.rpc,
      registers: sweeper.registers,
      group: { version: 3, members: [1, 2, 4].map((i) => ({ id: `k${i}`, at: storeAddress(i) })) },
      afterGroupChange: false,
      pause: 0,
      pace: 'change',
      shouldContinue: () => true,
    });
    assert.ok(filled.complete, JSON.stringify(filled));
    assert.is(stores.get(4)!.size(), stores.get(1)!.size());
    assert.is(stores.get(4)!.counts().value_bytes, stores.get(1)!.counts().value_bytes);
    assert.ok(most > 0 && most <= 4 << 20, `${most} bytes at once`);
    assert.ok(mostSmall > 16, 'small values are settled concurrently');
  }));
test.run();
