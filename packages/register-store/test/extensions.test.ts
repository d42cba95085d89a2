// Extensions of the expiry, which are written to a majority without ballots (§6.4).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type Write } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, costOf, wallTimeIn } from './builders.js';

test('an extension delays the expiry with one frame to each store, and returns the keys without a value', () =>
  withCluster(8, async ({ world, openClient, wait }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    for (const key of ['x', 'y', 'z']) await client1.registers.change(key, put(key, duration.s(10)));
    await client1.registers.change('long', put('long', duration.s(5000)));
    await client1.registers.change('removed', put('r', duration.s(10)));
    await client1.registers.change('removed', () => ({ stored: null, result: undefined }));
    let missing: string[] = [];
    const extendCost = await costOf(world, async () => {
      missing = await client1.registers.extend(
        ['x', 'none', 'y', 'long', 'removed'],
        wallTimeIn(world, duration.s(100)),
      );
    });
    assert.equal(missing, ['none', 'removed']);
    assert.is(extendCost.frames, 6);
    await wait(duration.s(20));
    assert.equal(await client2.registers.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    // An extension to an earlier time changes nothing, and an expired value is not brought back.
    assert.equal(await client2.registers.extend(['x', 'z'], wallTimeIn(world, duration.s(1))), ['z']);
    await wait(duration.s(60));
    assert.equal(await client2.registers.readMany(['x', 'y', 'z', 'long']), ['x', 'y', undefined, 'long']);
    await wait(duration.s(30));
    assert.equal(await client2.registers.readMany(['x', 'y', 'z', 'long']), [undefined, undefined, undefined, 'long']);
  }));
test('an extension survives the loss of any store, a change by a client with a stale cache, and new groups', () =>
  withCluster(9, async ({ world, hosts, openClient, wait, startStore, setGroup, runSweep }) => {
    const client1 = await openClient(1);
    const client2 = await openClient(2);
    await client1.registers.change('k', put('v', duration.s(10)));
    await client1.registers.change('gone', put('w', duration.s(10)));
    // Client 2 caches the value with its old expiry; then the extension reaches stores 1 and 2 only.
    await client2.registers.change('k', put('v', duration.s(10)));
    const heal = world.partition([client1.host], [hosts[2]!]);
    assert.equal(await client1.registers.extend(['k', 'gone'], wallTimeIn(world, duration.s(4000))), []);
    await wait(duration.s(30));
    heal();
    // Read from each majority in turn, while one store is without power.
    for (const i of [0, 1, 2]) {
      world.kill(hosts[i]!, 'power');
      assert.is(await client1.registers.read('k'), 'v', `without store ${i + 1}`);
      world.start(hosts[i]!);
      await startStore(i + 1);
    }
    // The cache of client 2 shows the value as expired; it must run a prepare round before treating it as absent.
    let current: unknown = 'not called';
    let currentExpiry = 0;
    await client2.registers.change('k', (value, _walls, expiresAt) => {
      current = value;
      currentExpiry = expiresAt;
      return { stored: { value, expiresAt: 1 }, result: undefined };
    });
    assert.is(current, 'v');
    assert.ok(
      currentExpiry > wallTimeIn(world, duration.s(3900)),
      'the update function did not get the extended expiry',
    );
    assert.is(await client1.registers.read('k'), 'v', 'an earlier expiry cancelled the extension');
    // Stores 1 and 2 leave one after the other: the extension must be copied to the remaining stores.
    await startStore(4);
    setGroup(2, [2, 3]);
    assert.ok((await runSweep(client1, true)).complete);
    setGroup(3, [2, 3, 4]);
    assert.ok((await runSweep(client1, true)).complete);
    setGroup(4, [3, 4]);
    assert.ok((await runSweep(client1, true)).complete);
    for (const i of [0, 1]) world.kill(hosts[i]!, 'disk');
    assert.equal(await client1.registers.readMany(['k', 'gone'], duration.s(4)), ['v', 'w']);
  }));
test('a client whose cache has an older expiry runs a prepare round before treating the value as absent', () =>
  withCluster(12, async ({ world, openClient, wait }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client2.registers.change('k', put('v', duration.s(10)));
    assert.equal(await client1.registers.extend(['k'], wallTimeIn(world, duration.s(500))), []);
    await wait(duration.s(60));
    const seen: unknown[] = [];
    const write =
      (value: string) =>
      (current: unknown, walls: { max: Microseconds }): Write<void> => {
        seen.push(current);
        return { stored: { value, expiresAt: walls.max + duration.s(10) }, result: undefined };
      };
    await client2.registers.change('k', write('w'));
    // The client caches its own extensions, so that one round is enough.
    assert.equal(await client2.registers.extend(['k'], wallTimeIn(world, duration.s(2000))), []);
    await wait(duration.s(1000));
    const quick = client2.registers.counts().quick;
    await client2.registers.change('k', write('x'));
    assert.equal(seen, ['v', 'w']);
    assert.is(client2.registers.counts().quick, quick + 1);
    assert.is(await client1.registers.read('k'), 'x');
  }));
test('a removed value stays absent despite earlier extensions, which do not apply to values written later', () =>
  withCluster(16, async ({ world, openClient, wait, runSweep }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client1.registers.change('k', put('v', duration.s(10)));
    assert.equal(await client2.registers.extend(['k'], wallTimeIn(world, duration.s(500))), []);
    await client1.registers.change('k', () => ({ stored: null, result: undefined }));
    assert.is(await client2.registers.read('k'), undefined);
    assert.equal(await client2.registers.extend(['k'], wallTimeIn(world, duration.s(900))), ['k']);
    let current: unknown = 'not called';
    const quick = client1.registers.counts().quick;
    await client1.registers.change(
      'k',
      (value, walls) => (
        (current = value),
        { stored: { value: 'w', expiresAt: walls.max + duration.s(10) }, result: undefined }
      ),
    );
    assert.equal([current, client1.registers.counts().quick], [undefined, quick + 1]);
    assert.is(await client2.registers.read('k'), 'w');
    await client2.registers.change('k', (value) => ((current = value), { stored: null, result: undefined }));
    assert.is(current, 'w');
    await wait(duration.s(2000));
    await runSweep(client1, false);
    assert.is(await client1.registers.read('k'), undefined);
  }));
test('an extension on one store only: after one reader has got the value, every later reader gets it', async () => {
  let seedsWithValue = 0;
  for (let seed = 1; seed <= 12; seed++)
    await withCluster(seed, async ({ world, hosts, openClient, wait }) => {
      const client1 = await openClient(1);
      await client1.registers.change('k', put('v', duration.s(10)));
      const heal = world.partition([client1.host], [hosts[1]!, hosts[2]!]);
      assert.is(
        await codeOf(client1.registers.extend(['k'], wallTimeIn(world, duration.s(4000)), duration.ms(300))),
        'no-majority',
      );
      heal();
      await wait(duration.s(20));
      // Read from the three majorities, in an order that depends on the seed.
      const seen: unknown[] = [];
      const client2 = await openClient(2);
      for (let i = 0; i < 6; i++) {
        const healOne = world.partition([client2.host], [hosts[(seed + i) % 3]!]);
        // A change that keeps the value returns it as a read does.
        const keep = (): Promise<unknown> => client2.registers.change('k', (value) => ({ keep: true, result: value }));
        seen.push(await (seed % 2 ? client2.registers.read('k') : keep()));
        healOne();
        await wait(duration.ms(100));
      }
      const first = seen.indexOf('v');
      if (first >= 0) {
        seedsWithValue += 1;
        assert.ok(
          seen.slice(first).every((value) => value === 'v'),
          `${seed}: ${seen.join()}`,
        );
      }
    });
  assert.ok(seedsWithValue > 6, 'too few readers reached the store that has the extension');
});
test('acknowledged extensions hold while they race with changes and stores lose power', async () => {
  for (let seed = 1; seed <= 20; seed++)
    await withCluster(seed, async ({ world, hosts, openClient, wait, startStore }) => {
      const rand = world.rand;
      const clients = [await openClient(1), await openClient(2), await openClient(3)];
      const keys = ['p', 'q'];
      for (const key of keys) await clients[0]!.registers.change(key, append('0'));
      const extendedUntil = new Map<string, Microseconds>();
      const work: Promise<unknown>[] = [];
      for (let i = 0; i < 40; i++) {
        const client = clients[rand.int(3)]!;
        const key = keys[rand.int(2)]!;
        if (rand.int(2) === 0)
          work.push(client.registers.change(key, append(`${i}`), duration.ms(600)).catch(() => undefined));
        else {
          const until = wallTimeIn(world, duration.s(60 + rand.int(4000)));
          const extendedKeys = rand.int(2) ? keys : [key];
          work.push(
            client.registers.extend(extendedKeys, until, duration.ms(600)).then(
              (missing) => {
                assert.equal(missing, []);
                for (const extendedKey of extendedKeys)
                  extendedUntil.set(extendedKey, Math.max(extendedUntil.get(extendedKey) ?? 0, until));
              },
              () => undefined,
            ),
          );
        }
        if (i % 12 === 5) {
          const store = rand.int(3);
          world.kill(hosts[store]!, 'power');
          world.scheduleAt(world.now() + rand.int(duration.ms(300)), () => {
            world.start(hosts[store]!);
            void startStore(store + 1);
          });
          await wait(duration.ms(400));
        }
        await wait(rand.int(duration.ms(20)));
      }
      await Promise.all(work);
      await wait(duration.s(1));
      for (const key of [...keys].sort((a, b) => (extendedUntil.get(a) ?? 0) - (extendedUntil.get(b) ?? 0))) {
        const timeLeft = (extendedUntil.get(key) ?? 0) - wallTimeIn(world, 0);
        if (timeLeft > duration.s(2)) await wait(timeLeft - duration.s(1));
        for (let i = 0; i < 3; i++) {
          const heal = world.partition([clients[1]!.host], [hosts[i]!]);
          const value = (await clients[1]!.registers.read(key)) as string[] | undefined;
          assert.ok(value?.includes('0'), `seed ${seed}: ${key} expired before its extension, without store ${i + 1}`);
          heal();
        }
      }
    });
});

test.run();
