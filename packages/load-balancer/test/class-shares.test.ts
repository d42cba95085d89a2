import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fill, openBalancer, twoClasses } from './builders.js';

test('the share of an idle class is lent, the reserve of an urgent class is not', () => {
  const balancer = openBalancer();
  assert.is(fill(balancer, 'chat').length, 6);
  assert.is(fill(balancer, 'alarm').length, 2);
});
test('a class above its share gets no further slot while a class below its share has waiting turns', () => {
  const balancer = openBalancer();
  const config = twoClasses();
  config.classes['alarm']!.weight = 3;
  balancer.setConfig(config);
  for (let i = 0; i < 4; i++) balancer.acquire(balancer.select('chat', {})!.id, 'chat');
  assert.ok(balancer.select('chat', {}), 'a class above its share may borrow while no turn waits');
  balancer.enqueue('alarm');
  assert.is(balancer.select('chat', {}), null);
  balancer.dequeue('alarm');
  assert.ok(balancer.select('chat', {}));
});
test('forced turns may overcommit a worker without using up the reserve of the urgent class', () => {
  const balancer = openBalancer();
  for (let i = 0; i < 20; i++) balancer.acquire(balancer.select('chat', { force: true })!.id, 'chat');
  assert.is(fill(balancer, 'alarm').length, 2);
});
test.run();
