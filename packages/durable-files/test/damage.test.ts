// Torn last batches are discarded; any other damage means an empty folder (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { duration } from '@thornsail/runtime';
import { batchFiles, filled, open, finish, value } from './builders.js';

test('a torn or short last batch is discarded, and its number is used again', async () => {
  for (const cut of [0, 3, 12, 30]) {
    const { w, h } = await filled(2, 5);
    assert.is(batchFiles(h).length, 5);
    const whole = h.files.get(batchFiles(h)[4]!)!;
    h.files.set('b.000000000006', whole.slice(0, cut));
    const o = await finish(w, open(w, h));
    assert.ok(o.isValid);
    assert.is(o.at.size, 5);
    await finish(w, o.records.write('k6', value(6)));
    w.kill(h, 'power');
    w.start(h);
    const again = await finish(w, open(w, h));
    assert.ok(again.isValid && again.at.get('k6')?.value.n === 6);
    assert.is(batchFiles(h).length, 6);
  }
});
test('a batch that is damaged or missing in the middle means a damaged disk: emptied, and stays so', async () => {
  for (const how of ['torn', 'missing', 'other bytes'] as const) {
    const { w, h } = await filled(3, 5);
    const name = batchFiles(h)[2]!;
    const text = h.files.get(name)!;
    if (how === 'missing') h.files.delete(name);
    else h.files.set(name, how === 'torn' ? text.slice(0, 9) : text.replace('"k3"', '"k9"'));
    const o = await finish(w, open(w, h));
    assert.not.ok(o.isValid, how);
    assert.is(o.at.size, 0);
    assert.is(o.durable.counts().torn, 1);
    assert.equal([...h.files.keys()], []);
    await finish(w, o.records.write('new', value(1)));
    const again = await finish(w, open(w, h));
    assert.ok(again.isValid && again.at.size === 1);
  }
});
test('a loss of power while a damaged folder is emptied leaves nothing that could be taken for valid', async () => {
  let halves = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const { w, h } = await filled(seed, 12);
    const o = await finish(w, open(w, h));
    await finish(w, o.durable.write('identity', 1, { id: 'old' }));
    w.kill(h, 'power');
    w.start(h);
    h.files.set(batchFiles(h)[4]!, 'damaged');
    const before = h.files.size;
    void open(w, h);
    await w.run(w.now() + duration.ms(2) + w.rand.int(duration.ms(10)));
    w.kill(h, 'power');
    w.start(h);
    const left = h.files.size;
    const again = await finish(w, open(w, h));
    const identity = (await finish(w, again.durable.read<{ id: string }>('identity')))?.value.id;
    if (left > 0 && left < before) halves += 1;
    assert.ok(identity === undefined && again.at.size === 0, `seed ${seed}: ${left} files were left`);
  }
  assert.ok(halves > 10, `only ${halves} ends came in the middle`);
});

test.run();
