// A torn last batch is discarded; any other damage causes the folder to be erased (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { writtenBatchFiles, hostWithRecords, openRecords, finish, value } from './builders.js';

test('a torn or short last batch is discarded, and its number is reused', async () => {
  for (const cutAt of [0, 3, 12, 30]) {
    const { world, host } = await hostWithRecords(2, 5);
    assert.is(writtenBatchFiles(host).length, 5);
    const lastBatch = host.files.get(writtenBatchFiles(host)[4]!)!;
    host.files.set('b.000000000006', lastBatch.slice(0, cutAt));
    const opened = await finish(world, openRecords(world, host));
    assert.ok(opened.isValid);
    assert.is(opened.entries.size, 5);
    await finish(world, opened.records.write('k6', value(6)));
    world.kill(host, 'power');
    world.start(host);
    const reopened = await finish(world, openRecords(world, host));
    assert.ok(reopened.isValid && reopened.entries.get('k6')?.value.n === 6);
    assert.is(writtenBatchFiles(host).length, 6);
  }
});
test('a damaged or missing batch before the last one erases the folder, and nothing of it comes back', async () => {
  for (const damage of ['torn', 'missing', 'other bytes'] as const) {
    const { world, host } = await hostWithRecords(3, 5);
    const name = writtenBatchFiles(host)[2]!;
    const text = host.files.get(name)!;
    if (damage === 'missing') host.files.delete(name);
    else host.files.set(name, damage === 'torn' ? text.slice(0, 9) : text.replace('"k3"', '"k9"'));
    const opened = await finish(world, openRecords(world, host));
    assert.not.ok(opened.isValid, damage);
    assert.is(opened.entries.size, 0);
    assert.is(opened.durable.counts().torn, 1);
    assert.equal([...host.files.keys()], []);
    await finish(world, opened.records.write('new', value(1)));
    const reopened = await finish(world, openRecords(world, host));
    assert.ok(reopened.isValid && reopened.entries.size === 1);
  }
});
test('a power loss while a damaged folder is erased leaves nothing that could be treated as valid', async () => {
  let partlyErased = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const { world, host } = await hostWithRecords(seed, 12);
    const opened = await finish(world, openRecords(world, host));
    await finish(world, opened.durable.write('identity', 1, { id: 'old' }));
    world.kill(host, 'power');
    world.start(host);
    host.files.set(writtenBatchFiles(host)[4]!, 'damaged');
    const before = host.files.size;
    void openRecords(world, host);
    await world.run(world.now() + duration.ms(2) + world.rand.int(duration.ms(10)));
    world.kill(host, 'power');
    world.start(host);
    const left = host.files.size;
    const reopened = await finish(world, openRecords(world, host));
    const identity = (await finish(world, reopened.durable.read<{ id: string }>('identity')))?.value.id;
    if (left > 0 && left < before) partlyErased += 1;
    assert.ok(identity === undefined && reopened.entries.size === 0, `seed ${seed}: ${left} files were left`);
  }
  assert.ok(partlyErased > 10, `only ${partlyErased} power losses interrupted the erasing`);
});

test.run();
