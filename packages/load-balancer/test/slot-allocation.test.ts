import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configOf, fill, openBalancer, openOneOf, workersOf } from './builders.js';

test("the other gateways' running turns occupy slots", () => {
  const balancer = openBalancer();
  balancer.setPeerLoads([{ id: 'x', load: { running: { a: { chat: 3 }, b: { chat: 1 } }, waiting: {} } }]);
  // Of the two slots on b that are neither in use nor reserved, one is allocated to the other gateway.
  assert.is(fill(balancer, 'chat').length, 1);
});
test('gateways that see the same free slots fill them once; the shares of idle ones go to a waiting one', () => {
  const config = configOf({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  const options = { config, workers: workersOf(['a', 'b', 'c']) };
  const acquired = new Map<string, number>();
  for (const self of gateways)
    for (const worker of fill(openOneOf(gateways, self, options), 'chat'))
      acquired.set(worker, (acquired.get(worker) ?? 0) + 1);
  assert.equal([...acquired.values()], [8, 8, 8]);
  // A single active gateway gets all slots once it has waited long enough for the others to report that they are idle.
  const gateway = openOneOf(gateways, 'e1', options);
  assert.ok(fill(gateway, 'chat').length < 8);
  assert.is(gateway.select('chat', { waitedFor: 0 }), null);
  fill(gateway, 'chat', 700_000);
  assert.is(
    Object.values(gateway.load().running).reduce((sum, byClass) => sum + byClass['chat']!, 0),
    24,
  );
});
test('with leastPart set every gateway has slots on each worker, and gateways start at different workers', () => {
  const config = configOf({
    classes: { call: { kind: 'app', weight: 1 } },
    slots: { model: 1, app: 6 },
    limits: { leastPart: 2 },
  });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];
  const firstWorkers = new Set<string>();
  for (const self of gateways) {
    const balancer = openOneOf(gateways, self, { config, workers: workersOf(['a', 'b', 'c'], 'app') });
    firstWorkers.add(balancer.select('call', {})!.id);
    assert.is(fill(balancer, 'call').length, 6, 'two slots on each of three workers, whatever the allocation');
  }
  assert.is(firstWorkers.size, 3, 'gateways with the same view do not all start at the same worker');
});
test('right after a rotation no gateway takes a slot that another one may have taken just before it', () => {
  const config = configOf({
    classes: { chat: { kind: 'model', weight: 1 }, alarm: { kind: 'model', weight: 1, urgent: true, reserve: 0.5 } },
    slots: { model: 4, app: 1 },
  });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  // No gateway has received reports of the slots that the others acquired in the previous rotation.
  const slotsAcquiredIn = (rotation: number): number =>
    gateways
      .map((self) =>
        fill(openOneOf(gateways, self, { config, workers: workersOf(['a']), rotation: () => rotation }), 'chat'),
      )
      .reduce((sum, { length }) => sum + length, 0);
  assert.is(slotsAcquiredIn(4.9), 2, 'two of four slots are not reserved');
  assert.is(slotsAcquiredIn(5.1), 1, 'only a gateway that also had a share in the previous rotation uses one');
  assert.is(slotsAcquiredIn(5.7), 2, 'by now the reports of the previous rotation have reached all gateways');
});
test.run();
