import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configOf, idle, openBalancer, openOneOf, workersOf } from './builders.js';

test('the preferred worker is selected if it has a free slot, else the least loaded; never a leaving worker', () => {
  const balancer = openBalancer();
  assert.is(balancer.select('chat', { preferred: 'b' })!.id, 'b');
  for (let i = 0; i < 3; i++) balancer.acquire('b', 'chat');
  assert.is(balancer.select('chat', { preferred: 'b' })!.id, 'a');
  const [a, b] = workersOf(['a', 'b']);
  balancer.setWorkers([{ ...a!, leaving: true }, b!]);
  assert.is(balancer.select('chat', { preferred: 'a' }), null);
  assert.is(balancer.select('chat', { preferred: 'a', force: true })!.id, 'b');
});
test('a turn returns to the worker with its context while that has a free slot, even one of another gateway', () => {
  const config = configOf({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  for (const self of gateways) {
    // Five of eight slots are in use on each worker, so three slots are divided among seven gateways.
    const load = { running: { a: { chat: 5 }, b: { chat: 5 }, c: { chat: 5 } }, waiting: {} };
    const loads = gateways.slice(1).map((_, i) => (i === 0 ? load : idle));
    const balancer = openOneOf(gateways, self, { config, workers: workersOf(['a', 'b', 'c']), loads });
    for (let i = 0; i < 3; i++) {
      const worker = balancer.select('chat', { preferred: 'b', preferredHasContext: true });
      assert.is(worker?.id, 'b', `${self}, turn ${i}`);
      balancer.acquire('b', 'chat');
    }
    // Without a free slot there another worker may be selected, also for a turn without a cached context.
    assert.is.not(balancer.select('chat', { preferred: 'b', preferredHasContext: true })?.id, 'b');
    assert.is.not(balancer.select('chat', { preferred: 'b' })?.id, 'b');
  }
});
test('if workers have a queue, a turn queues at the worker with its context instead of a prefill elsewhere', () => {
  const classes = { chat: { kind: 'model', weight: 1 } };
  const config = configOf({ classes, slots: { model: 8, app: 1 }, limits: { leastPart: 2 } });
  const balancer = openOneOf(['e1'], 'e1', { config, workers: workersOf(['a', 'b']) });
  const next = (): string | undefined => balancer.select('chat', { preferred: 'a', preferredHasContext: true })?.id;
  for (let i = 0; i < 10; i++) {
    assert.is(next(), 'a', `turn ${i}`);
    balancer.acquire('a', 'chat');
  }
  assert.is(next(), 'b', 'at most two turns are queued at the worker');
  assert.is(balancer.select('chat', { preferred: 'a' })?.id, 'b', 'a turn without a context there is not queued');
});
test('a worker that fails more than the others is not selected while another one is available', () => {
  const config = configOf({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  const balancer = openOneOf(['e1'], 'e1', { config, workers: workersOf(['a', 'b']) });
  for (let i = 0; i < 3; i++) balancer.recordExchange('a', false);
  assert.equal(balancer.ejected(), ['a']);
  for (let i = 0; i < 4; i++)
    assert.is(balancer.select('chat', { preferred: 'a', preferredHasContext: true })!.id, 'b');
  assert.is(
    balancer.select('chat', { excluded: new Set(['b']) })!.id,
    'a',
    'an ejected worker is selected if no other is available',
  );
});
test('an unhealthy worker is not selected until the given time, and an excluded worker is not selected', () => {
  const clock = { now: 0 };
  const config = configOf({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  const workers = workersOf(['a', 'b']);
  const balancer = openOneOf(['e1'], 'e1', { config, workers, now: () => clock.now });
  balancer.markUnhealthy('a', 1000);
  assert.is(balancer.select('chat', { preferred: 'a' })!.id, 'b');
  assert.is(balancer.select('chat', { preferred: 'a', excluded: new Set(['b']) }), null);
  clock.now = 1000;
  assert.is(balancer.select('chat', { preferred: 'a' })!.id, 'a');
  assert.is(balancer.select('chat', { preferred: 'a', excluded: new Set(['a']) })!.id, 'b');
});
test.run();
