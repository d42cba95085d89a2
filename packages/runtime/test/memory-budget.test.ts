// Memory for request bodies: order, waiting, and giving back.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { openMemoryBudget } from '../src/memory-budget.js';

test('bodies take memory in their order, wait for it, and give it back once', () => {
  const budget = openMemoryBudget(100, 10);
  const taken: string[] = [];
  const take = (name: string, bytes: number) => budget.take(bytes, () => void taken.push(name));
  const first = take('first', 60);
  const second = take('second', 60);
  const third = take('third', 30);
  take('small', 10);
  assert.equal(taken, ['first', 'small'], 'the third waits behind the second');
  second.release();
  assert.equal(taken, ['first', 'small', 'third'], 'one that gives up does not hold up the next');
  first.release();
  first.release();
  assert.equal(budget.counts(), { taken: 30, waiting: 0 });
  third.release();
  const large = take('large', 500);
  const next = take('next', 20);
  assert.equal(taken.slice(3), ['large'], 'a body over the limit is taken alone');
  large.shrinkTo(90);
  assert.equal(budget.counts(), { taken: 90, waiting: 1 });
  large.release();
  assert.equal(taken.slice(3), ['large', 'next']);
  next.release();
  assert.equal(budget.counts(), { taken: 0, waiting: 0 });
});
test.run();
