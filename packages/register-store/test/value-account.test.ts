// The account of the values of a store: what is refused, and what waits.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openValueAccount, type ValueAccount } from '../src/value-account.js';
import { ballot } from '../src/ballot.js';
import { registerErrors } from '../src/errors.js';
import type { Replica } from '../src/types.js';

const megabyte = 1 << 20;
const limits = { stored: 24 * megabyte, writing: 24 * megabyte, reading: 24 * megabyte };
const replicaOf = (size: number): Replica => ({
  promised: ballot.zero,
  accepted: ballot.zero,
  stored: { value: { input: 'x'.repeat(size), chain: [] }, expiresAt: 1, operations: [] },
  touched: 0,
});
const codeOf = (work: Promise<unknown>): Promise<unknown> =>
  work.then(
    () => 'done',
    (error: unknown) => registerErrors.codeOf(error),
  );
/** Writes values into an account, which holds the size of each by its key. */
const openWriter = (account: ValueAccount): ((key: string, size: number) => Promise<void>) => {
  const sizes = new Map<string, number>();
  return (key, size) => {
    const earlier = sizes.get(key) ?? 0;
    return account.write(replicaOf(size), earlier, () => {
      account.replace(earlier, size < 1024 ? 0 : size);
      sizes.set(key, size);
      return Promise.resolve();
    });
  };
};

test('values are refused beyond the limit on disk, and small ones never', async () => {
  const account = openValueAccount(limits);
  const write = openWriter(account);
  for (let i = 0; i < 6; i++) await write(`turn/${i}`, 4 * megabyte);
  assert.is(await codeOf(write('turn/6', 4 * megabyte)), 'no-space');
  assert.is(await codeOf(write('turn/6', 17_000)), 'no-space', 'a usual turn counts as well');
  await write('turn/0', 4 * megabyte);
  await write('small', 1000);
  account.replace(4 * megabyte, 0);
  await write('turn/6', 4 * megabyte);
  assert.is(account.stored(), 24 * megabyte);
});
test('writes in progress count, so that those of many gateways at once are refused', async () => {
  const account = openValueAccount(limits);
  const finish: (() => void)[] = [];
  const results = Array.from({ length: 8 }, () =>
    codeOf(account.write(replicaOf(4 * megabyte), 0, () => new Promise<void>((resolve) => finish.push(resolve)))),
  );
  await Promise.resolve();
  for (const done of finish) done();
  assert.equal((await Promise.all(results)).filter((result) => result !== 'done').length, 2);
});
test('writes of values that are there already are limited by the memory that they take, too', async () => {
  const account = openValueAccount({ ...limits, stored: 100 * megabyte });
  const never = (): Promise<void> => new Promise(() => undefined);
  for (let i = 0; i < 6; i++) void account.write(replicaOf(4 * megabyte), 4 * megabyte, never);
  assert.is(await codeOf(account.write(replicaOf(4 * megabyte), 4 * megabyte, never)), 'no-memory');
  assert.is(await codeOf(account.write(replicaOf(1000), 0, () => Promise.resolve())), 'done');
});
test('reads wait for memory, and one that is larger than the limit is read alone', async () => {
  const account = openValueAccount(limits);
  const finish: (() => void)[] = [];
  const startRead = (bytes: number): Promise<void> =>
    account.read(bytes, () => new Promise((resolve) => finish.push(resolve)));
  const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
  const reads = [16, 8, 4].map((size) => startRead(size * megabyte));
  await settle();
  assert.is(finish.length, 2);
  for (const done of finish.splice(0)) done();
  await settle();
  assert.is(finish.length, 1);
  reads.push(startRead(100 * megabyte));
  await settle();
  assert.is(finish.length, 1);
  finish.shift()!();
  await settle();
  assert.is(finish.length, 1);
  finish.shift()!();
  await Promise.all(reads);
});
test.run();
