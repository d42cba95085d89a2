// Migration of records from the former storage format, one document per record (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { durableStore } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { openRecords, openHost, finish, value } from './builders.js';

test('a folder in the former format is migrated to base files; interruptions lose nothing', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const { world, host } = openHost(seed);
    const store = await finish(world, durableStore.open(world.runtime(host).disk));
    const largePad = 'y'.repeat(30_000);
    await finish(
      world,
      Promise.all(Array.from({ length: 60 }, (_, i) => store.write(`reg:k/${i}`, 3, { n: i, pad: largePad }))),
    );
    const name = 'reg%3Ak%2F7.000000000003';
    const text = host.files.get(name)!;
    world.kill(host, 'power');
    for (let run = 0; run < 3; run++) {
      world.start(host);
      void openRecords(world, host);
      await world.run(world.now() + world.rand.int(duration.ms(20)));
      world.kill(host, world.rand.int(2) ? 'power' : 'process');
    }
    world.start(host);
    const opened = await finish(world, openRecords(world, host));
    assert.ok(opened.isValid && opened.entries.size === 60, `seed ${seed}: ${opened.entries.size} records`);
    assert.ok(
      [...opened.entries].every(([key, entry]) => key === `k/${entry.value.n}` && entry.value.pad === largePad),
    );
    // A legacy file that reappears after its record was changed or removed is ignored.
    await world.run(world.now() + duration.s(1));
    assert.not.ok(
      [...host.files.keys()].some((file) => file.startsWith('reg%3A')),
      'legacy files are left',
    );
    await finish(world, opened.records.remove('k/7'));
    await finish(world, opened.records.write('k/8', value(1)));
    world.kill(host, 'power');
    host.files.set(name, text);
    world.start(host);
    const reopened = await finish(world, openRecords(world, host));
    assert.ok(reopened.isValid && !reopened.entries.has('k/7') && reopened.entries.get('k/8')?.value.n === 1);
  }
});

test.run();
