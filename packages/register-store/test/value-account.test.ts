// The account of a store's large values.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openLargeValues } from '../src/large-values.js';
import { ballot } from '../src/ballot.js';
import { registerErrors } from '../src/errors.js';
import type { Replica } from '../src/types.js';

const megabyte = 1 << 20;
const replicaOf = (size: number): Replica => ({
  promised: ballot.zero,
  accepted: ballot.zero,
  stored: { value: { input: 'x'.repeat(size), chain: [] }, expiresAt: 1, operations: [] },
  touched: 0,
});

test('large values are refused beyond their limit, and small ones never', async () => {
  const large = openLargeValues();
  const write = (key: string, size: number): Promise<void> =>
    large.write(key, replicaOf(size), () => {
      large.record(key, replicaOf(size));
      return Promise.resolve();
    });
  for (let i = 0; i < 6; i++) await write(`turn/${i}`, 4 * megabyte);
  const refused = await write('turn/6', 4 * megabyte).catch((error: unknown) => error);
  assert.is(registerErrors.codeOf(refused), 'no-memory');
  await write('turn/0', 4 * megabyte);
  await write('small', 1000);
  large.record('turn/0', undefined);
  await write('turn/6', 4 * megabyte);
  assert.is(large.size(), 24 * megabyte);
});
test('writes in progress count, so that those of many gateways at once are refused', async () => {
  const large = openLargeValues();
  const finish: (() => void)[] = [];
  const results = Array.from({ length: 8 }, (_, i) =>
    large
      .write(`turn/${i}`, replicaOf(4 * megabyte), () => new Promise((resolve) => finish.push(resolve)))
      .then(
        () => 'written',
        () => 'refused',
      ),
  );
  await Promise.resolve();
  for (const done of finish) done();
  assert.equal((await Promise.all(results)).filter((result) => result === 'refused').length, 2);
});
test.run();
