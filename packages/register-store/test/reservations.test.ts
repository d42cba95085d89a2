// Reservations: a proposer obtains a promise before a change, so that the change takes one round (§6.2).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { withCluster, put, append, codeOf, costOf } from './builders.js';

test('a change of a reserved key takes one round, for a new key and for one that another client wrote', () =>
  withCluster(1, async ({ world, openClient, wait }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    await client1.registers.change('warm', put(1));
    for (const key of ['new', 'taken']) {
      if (key === 'taken') await client2.registers.change(key, append('b'));
      await client1.registers.reserve(key);
      await wait(duration.s(1));
      const rounds = client1.registers.counts().rounds;
      let previous: string[] = [];
      const changeCost = await costOf(world, async () => (previous = await client1.registers.change(key, append('a'))));
      assert.is(client1.registers.counts().rounds, rounds, 'the change needed a prepare round');
      assert.ok(changeCost.took < duration.ms(5), `${key} took ${changeCost.took}`);
      assert.equal(previous, key === 'taken' ? ['b'] : []);
    }
    // The change used the promise and got the next one, so another reservation sends nothing.
    assert.is((await costOf(world, () => client1.registers.reserve('new'))).frames, 0);
  }));
test('when another client overrides a reservation, both changes take effect exactly once', async () => {
  for (let seed = 1; seed <= 10; seed++)
    await withCluster(seed, async ({ openClient, wait }) => {
      const [client1, client2] = [await openClient(1), await openClient(2)];
      await client1.registers.reserve('k');
      await client2.registers.reserve('k');
      const previous = await Promise.all([
        client1.registers.change('k', append('a')),
        client2.registers.change('k', append('b')),
      ]);
      await wait(duration.s(1));
      const final = (await client1.registers.read('k')) as string[];
      assert.equal([...final].sort(), ['a', 'b']);
      assert.equal(previous[0], final.slice(0, final.indexOf('a')));
      assert.equal(previous[1], final.slice(0, final.indexOf('b')));
      assert.ok(client1.registers.counts().conflicts + client2.registers.counts().conflicts > 0);
    });
});
test('a reservation without a majority fails by its deadline, and one of an older group is not used', () =>
  withCluster(2, async ({ world, hosts, openClient, startStore, setGroup }) => {
    const client1 = await openClient(1);
    await client1.registers.reserve('k');
    for (const i of [0, 1]) world.kill(hosts[i]!, 'power');
    const startedAt = world.now();
    assert.is(await codeOf(client1.registers.reserve('other', duration.ms(300))), 'no-majority');
    assert.ok(world.now() - startedAt < duration.ms(800));
    for (const i of [0, 1]) {
      world.start(hosts[i]!);
      await startStore(i + 1);
    }
    assert.equal(await client1.registers.change('k', append('a')), []);
    setGroup(2, [1, 2, 3]);
    assert.equal(await client1.registers.change('k', append('b')), ['a'], 'a promise of an older group was used');
  }));

test('a stale promise costs one refused round and no pause; with `skipBallots` the refused round is saved', () =>
  withCluster(24, async ({ world, openClient, wait }) => {
    const [client1, client2] = [await openClient(1), await openClient(2)];
    for (const key of ['k', 'l']) {
      await client1.registers.change(key, append('a'));
      await client2.registers.change(key, append('b'));
    }
    await wait(duration.s(1));
    const plain = await costOf(world, () => client2.registers.change('l', append('b')));
    const refused = await costOf(world, () => client1.registers.change('k', append('a')));
    const skipped = await costOf(world, () =>
      client1.registers.change('l', append('a'), duration.s(2), { skipBallots: 16 }),
    );
    assert.equal([plain.frames, refused.frames, skipped.frames], [6, 18, 12]);
    assert.ok(refused.took < 3 * plain.took + duration.ms(1), `${refused.took} us, a usual change takes ${plain.took}`);
    assert.equal(await client2.registers.read('k'), ['a', 'b', 'a']);
    assert.equal(await client2.registers.read('l'), ['a', 'b', 'b', 'a']);
  }));
test.run();
