// Every guard that is taken out must be noticed by its rule's own test (§9.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { guardRun, guards } from '../src/guards.js';

test('each guard taken out is noticed', async () => {
  const all = await guardRun.all(guards, () => undefined);
  assert.equal(
    all.filter((v) => !v.noticed).map((v) => `${v.rule}: ${v.guard} (${v.how})`),
    [],
  );
  assert.is(all.length, guards.length);
});
test.run();
