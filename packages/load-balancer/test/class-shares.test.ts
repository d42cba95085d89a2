import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fill, openBalancer, twoClasses } from './builders.js';

test('an idle class lends its share, but an urgent one keeps a reserve that is never lent', () => {
  const balancer = openBalancer();
  assert.is(fill(balancer, 'chat').length, 6);
  assert.is(fill(balancer, 'alarm').length, 2);
});
test('a borrower takes nothing more while the lender waits below its share', () => {
  const balancer = openBalancer();
  const config = twoClasses();
  config.classes['alarm']!.weight = 3;
  balancer.setConfig(config);
  for (let i = 0; i < 4; i++) balancer.acquire(balancer.select('chat', {})!.id, 'chat');
  assert.ok(balancer.select('chat', {}), 'above its share, and nobody waits');
  balancer.enqueue('alarm');
  assert.is(balancer.select('chat', {}), null);
  balancer.dequeue('alarm');
  assert.ok(balancer.select('chat', {}));
});
test('forced turns may overfill a worker, and its urgent reserve is there all the same', () => {
  const balancer = openBalancer();
  for (let i = 0; i < 20; i++) balancer.acquire(balancer.select('chat', { force: true })!.id, 'chat');
  assert.is(fill(balancer, 'alarm').length, 2);
});
test.run();
