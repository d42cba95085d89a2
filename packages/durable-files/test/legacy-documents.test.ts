// Records of the form before batches, one document each (§6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { durableStore } from '@thornsail/durable-files';
import { duration } from '@thornsail/runtime';
import { open, openHost, finish, value } from './builders.js';

test('a folder of the former form is read and moved into base files; an end at any moment loses nothing', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const { w, h } = openHost(seed);
    const old = await finish(w, durableStore.open(w.runtime(h).disk));
    const big = 'y'.repeat(30_000);
    await finish(w, Promise.all(Array.from({ length: 60 }, (_, i) => old.write(`reg:k/${i}`, 3, { n: i, pad: big }))));
    const name = 'reg%3Ak%2F7.000000000003';
    const text = h.files.get(name)!;
    w.kill(h, 'power');
    for (let run = 0; run < 3; run++) {
      w.start(h);
      void open(w, h);
      await w.run(w.now() + w.rand.int(duration.ms(20)));
      w.kill(h, w.rand.int(2) ? 'power' : 'process');
    }
    w.start(h);
    const o = await finish(w, open(w, h));
    assert.ok(o.isValid && o.at.size === 60, `seed ${seed}: ${o.at.size} records`);
    assert.ok([...o.at].every(([k, s]) => k === `k/${s.value.n}` && s.value.pad === big));
    // A name that comes back after its record was changed and removed counts for nothing.
    await w.run(w.now() + duration.s(1));
    assert.not.ok(
      [...h.files.keys()].some((f) => f.startsWith('reg%3A')),
      'old files stay',
    );
    await finish(w, o.records.remove('k/7'));
    await finish(w, o.records.write('k/8', value(1)));
    w.kill(h, 'power');
    h.files.set(name, text);
    w.start(h);
    const again = await finish(w, open(w, h));
    assert.ok(again.isValid && !again.at.has('k/7') && again.at.get('k/8')?.value.n === 1);
  }
});

test.run();
