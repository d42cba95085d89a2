// Changes that wait while a sync is under way share the next one (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { open, openHost, finish, value } from './builders.js';

test('changes that come together go into one file with one sync, and no reply comes before that sync', async () => {
  const { w, h } = openHost(1);
  const o = await finish(w, open(w, h));
  const before = w.syncs();
  const acked: { k: string; syncs: number }[] = [];
  const all = Array.from({ length: 200 }, (_, i) =>
    o.records.write(`k${i}`, value(i)).then(() => acked.push({ k: `k${i}`, syncs: w.syncs() - before })),
  );
  assert.is(o.at.size, 0, 'seen before it was synced');
  await finish(w, Promise.all(all));
  assert.ok(w.syncs() - before <= 2, `${w.syncs() - before} syncs for 200 changes`);
  assert.ok(acked.every((a) => a.syncs >= 1));
  assert.is(o.at.size, 200);
  // Those that come while a sync is under way wait for the next one, all together.
  const more: Promise<void>[] = [];
  for (let i = 0; i < 50; i++) w.scheduleAt(w.now() + i * 100, () => more.push(o.records.write(`m${i}`, value(i))));
  const mark = w.syncs();
  await w.run(w.now() + duration.ms(40));
  await finish(w, Promise.all(more));
  assert.is(o.at.size, 250);
  assert.ok(w.syncs() - mark <= 8, `${w.syncs() - mark} syncs`);
});

test.run();
