import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { warmUp } from '@thornsail/data-plane';
import { duration, invariant, real } from '@thornsail/runtime';

test('a warm-up serves all its requests, breaks no invariant and does not keep the process alive', async () => {
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 3,
    timeout: duration.s(10),
    targetRequestTime: 0,
    shouldContinue: () => true,
  });
  assert.equal(result, { requests: 3 * 4 * 3, failed: 0 });
  assert.equal(invariant.breaches(), []);
});
test('a warm-up ends when shouldContinue returns false', async () => {
  let calls = 0;
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 1000,
    timeout: duration.s(10),
    targetRequestTime: 0,
    shouldContinue: () => ++calls <= 2,
  });
  assert.equal(result, { requests: 2 * 4 * 3, failed: 0 });
});
test('a warm-up ends when requests are fast enough', async () => {
  const result = await warmUp.run({
    runtime: real.runtime('/nonexistent'),
    programs: 1000,
    timeout: duration.s(10),
    targetRequestTime: duration.s(1),
    shouldContinue: () => true,
  });
  assert.equal(result, { requests: 4 * 3, failed: 0 });
});
test.run();
