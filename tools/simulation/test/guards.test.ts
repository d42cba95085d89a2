// Every guard that is removed from the code must be detected by the test of its rule (§9.5).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { guardRunner, guards } from '../src/guards.js';

test('each removed guard is detected', async () => {
  const verdicts = await guardRunner.runAll(guards, () => undefined);
  assert.equal(
    verdicts
      .filter(({ noticed }) => !noticed)
      .map((verdict) => `${verdict.rule}: ${verdict.guard} (${verdict.evidence})`),
    [],
  );
  assert.is(verdicts.length, guards.length);
});
test.run();
