// Changes queued while a sync is in progress share the next one (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { openRecords, openHost, finish, value } from './builders.js';

test('concurrent changes are written to one file with one sync, and none is acknowledged before it', async () => {
  const { world, host } = openHost(1);
  const opened = await finish(world, openRecords(world, host));
  const initialSyncs = world.syncs();
  const acknowledged: { key: string; syncs: number }[] = [];
  const writes = Array.from({ length: 200 }, (_, i) =>
    opened.records
      .write(`k${i}`, value(i))
      .then(() => acknowledged.push({ key: `k${i}`, syncs: world.syncs() - initialSyncs })),
  );
  assert.is(opened.entries.size, 0, 'indexed before it was synced');
  await finish(world, Promise.all(writes));
  assert.ok(world.syncs() - initialSyncs <= 2, `${world.syncs() - initialSyncs} syncs for 200 changes`);
  assert.ok(acknowledged.every((write) => write.syncs >= 1));
  assert.is(opened.entries.size, 200);
  // Changes that arrive during a sync are written together with the next one.
  const laterWrites: Promise<void>[] = [];
  for (let i = 0; i < 50; i++)
    world.scheduleAt(world.now() + i * 100, () => laterWrites.push(opened.records.write(`m${i}`, value(i))));
  const syncsBefore = world.syncs();
  await world.run(world.now() + duration.ms(40));
  await finish(world, Promise.all(laterWrites));
  assert.is(opened.entries.size, 250);
  assert.ok(world.syncs() - syncsBefore <= 8, `${world.syncs() - syncsBefore} syncs`);
});

test.run();
