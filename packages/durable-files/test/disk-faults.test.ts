// A disk that is full, fails or hangs (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { codeOf, open, openHost, tight, finish, value } from './builders.js';

test('a full disk refuses before anything has changed, and serves again when there is room', async () => {
  const { w, h } = openHost(4);
  const o = await finish(w, open(w, h));
  await finish(w, o.records.write('a', value(1)));
  h.disk.full = true;
  const codes = await finish(w, Promise.all(['a', 'b', 'c'].map((k) => codeOf(o.records.write(k, value(2))))));
  assert.equal(codes, ['full', 'full', 'full']);
  assert.is(o.at.get('a')?.value.n, 1);
  assert.is(o.at.size, 1);
  h.disk.full = false;
  await finish(w, o.records.write('a', value(3)));
  w.kill(h, 'power');
  w.start(h);
  const again = await finish(w, open(w, h));
  assert.ok(again.isValid && again.at.get('a')?.value.n === 3 && again.at.size === 1);
  assert.is(o.stopped.length, 0);
});
test('a sync that fails acknowledges none of its batch, and nothing is written after it', async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const { w, h } = openHost(seed);
    const o = await finish(w, open(w, h));
    await finish(w, o.records.write('a', value(1)));
    h.disk.fail.sync = 1;
    const codes = await finish(w, Promise.all(['a', 'b'].map((k) => codeOf(o.records.write(k, value(2))))));
    assert.equal(codes, ['failed', 'failed']);
    h.disk.fail.sync = 0;
    assert.is(await finish(w, codeOf(o.records.write('c', value(3)))), 'failed');
    assert.is(await finish(w, codeOf(o.durable.write('doc', 1, {}))), 'failed');
    assert.is(o.stopped.length, 1);
    assert.is(o.at.get('a')?.value.n, 1);
    w.kill(h, 'process');
    w.start(h);
    const again = await finish(w, open(w, h));
    assert.ok(again.isValid && !again.at.has('c'));
  }
});
test('a disk that hangs for seconds delays its replies and loses none', async () => {
  const { w, h } = openHost(5);
  const o = await finish(w, open(w, h));
  h.disk.hangsUntil = w.now() + duration.s(4);
  let done = 0;
  for (let i = 0; i < 40; i++) void o.records.write(`k${i}`, value(i)).then(() => (done += 1));
  await w.run(w.now() + duration.s(3.9));
  assert.is(done, 0);
  await w.run(w.now() + duration.s(1));
  assert.is(done, 40);
});

test('a merge on a full disk is left for later; one whose rename fails stops the durable store', async () => {
  const { w, h } = openHost(8);
  const o = await finish(w, open(w, h, tight));
  for (let i = 0; i < 3; i++) await finish(w, o.records.write(`k${i}`, value(i)));
  h.disk.full = true;
  assert.is(await finish(w, codeOf(o.records.write('x', value(1)))), 'full');
  h.disk.full = false;
  for (let i = 0; i < 12; i++) await finish(w, o.records.write(`k${i}`, value(i)));
  assert.ok(o.records.counts().merges > 0);
  h.disk.fail.rename = 1;
  let failed = '';
  for (let i = 0; i < 60 && failed === ''; i++) {
    const code = await finish(w, codeOf(o.records.write(`m${i}`, value(i))));
    if (code !== 'ok') failed = code;
  }
  assert.is(failed, 'failed');
  assert.is(o.stopped.length, 1);
});
test.run();
