// Every guard that is taken out must be noticed by its rule's own test (§9.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { guardRunner, guards } from '../src/guards.js';

test('each guard taken out is noticed', async () => {
  const verdicts = await guardRunner.runAll(guards, () => undefined);
  assert.equal(
    verdicts.filter(({ noticed }) => !noticed).map((v) => `${v.rule}: ${v.guard} (${v.evidence})`),
    [],
  );
  assert.is(verdicts.length, guards.length);
});
test.run();
