// Behaviour on a disk that is full, fails or hangs (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { codeOf, openRecords, openHost, smallLimits, finish, value } from './builders.js';

test('a full disk rejects writes without any change, and accepts them again when there is space', async () => {
  const { world, host } = openHost(4);
  const opened = await finish(world, openRecords(world, host));
  await finish(world, opened.records.write('a', value(1)));
  host.disk.full = true;
  const codes = await finish(
    world,
    Promise.all(['a', 'b', 'c'].map((key) => codeOf(opened.records.write(key, value(2))))),
  );
  assert.equal(codes, ['full', 'full', 'full']);
  assert.is(opened.entries.get('a')?.value.n, 1);
  assert.is(opened.entries.size, 1);
  host.disk.full = false;
  await finish(world, opened.records.write('a', value(3)));
  world.kill(host, 'power');
  world.start(host);
  const reopened = await finish(world, openRecords(world, host));
  assert.ok(reopened.isValid && reopened.entries.get('a')?.value.n === 3 && reopened.entries.size === 1);
  assert.is(opened.stopped.length, 0);
});
test('a failed sync rejects its whole batch, and nothing is written after it', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const { world, host } = openHost(seed);
    const opened = await finish(world, openRecords(world, host));
    await finish(world, opened.records.write('a', value(1)));
    host.disk.fail.sync = 1;
    const codes = await finish(
      world,
      Promise.all(['a', 'b'].map((key) => codeOf(opened.records.write(key, value(2))))),
    );
    assert.equal(codes, ['failed', 'failed']);
    host.disk.fail.sync = 0;
    assert.is(await finish(world, codeOf(opened.records.write('c', value(3)))), 'failed');
    assert.is(await finish(world, codeOf(opened.durable.write('doc', 1, {}))), 'failed');
    assert.is(opened.stopped.length, 1);
    assert.is(opened.entries.get('a')?.value.n, 1);
    world.kill(host, 'process');
    world.start(host);
    const reopened = await finish(world, openRecords(world, host));
    assert.ok(reopened.isValid && !reopened.entries.has('c'));
  }
});
test('a disk that hangs for seconds delays acknowledgements and loses none', async () => {
  const { world, host } = openHost(5);
  const opened = await finish(world, openRecords(world, host));
  host.disk.hangsUntil = world.now() + duration.s(4);
  let done = 0;
  for (let i = 0; i < 40; i++) void opened.records.write(`k${i}`, value(i)).then(() => (done += 1));
  await world.run(world.now() + duration.s(3.9));
  assert.is(done, 0);
  await world.run(world.now() + duration.s(1));
  assert.is(done, 40);
});

test('a compaction on a full disk is retried later; one whose rename fails stops the durable store', async () => {
  const { world, host } = openHost(8);
  const opened = await finish(world, openRecords(world, host, smallLimits));
  for (let i = 0; i < 3; i++) await finish(world, opened.records.write(`k${i}`, value(i)));
  host.disk.full = true;
  assert.is(await finish(world, codeOf(opened.records.write('x', value(1)))), 'full');
  host.disk.full = false;
  for (let i = 0; i < 12; i++) await finish(world, opened.records.write(`k${i}`, value(i)));
  assert.ok(opened.records.counts().merges > 0);
  host.disk.fail.rename = 1;
  let failed = '';
  for (let i = 0; i < 60 && failed === ''; i++) {
    const code = await finish(world, codeOf(opened.records.write(`m${i}`, value(i))));
    if (code !== 'ok') failed = code;
  }
  assert.is(failed, 'failed');
  assert.is(opened.stopped.length, 1);
});
test.run();
