import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { warmUp } from '@thornsail/data-plane';
import { duration, invariant, real } from '@thornsail/runtime';

test('a warm-up serves all its requests, breaks no rule and keeps no process alive', async () => {
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 3,
    within: duration.s(10),
    goodEnough: 0,
    shouldContinue: () => true,
  });
  assert.equal(result, { requests: 3 * 4 * 3, failed: 0 });
  assert.equal(invariant.breaches(), []);
});
test('it ends as soon as it may not go on', async () => {
  let asked = 0;
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 1000,
    within: duration.s(10),
    goodEnough: 0,
    shouldContinue: () => ++asked <= 2,
  });
  assert.equal(result, { requests: 2 * 4 * 3, failed: 0 });
});
test('it ends once a request is fast enough', async () => {
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 1000,
    within: duration.s(10),
    goodEnough: duration.s(1),
    shouldContinue: () => true,
  });
  assert.equal(result, { requests: 4 * 3, failed: 0 });
});
test.run();
