import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { configOf, fill, openBalancer, openOneOf, workersOf } from './builders.js';

test("the other gateways' running turns count", () => {
  const balancer = openBalancer();
  balancer.setPeerLoads([{ id: 'x', load: { running: { a: { chat: 3 }, b: { chat: 1 } }, waiting: {} } }]);
  // Of the two free slots at b, past the reserve, one is dealt to the other gateway.
  assert.is(fill(balancer, 'chat').length, 1);
});
test('gateways that see the same free slots fill them once; the parts of idle ones go to one that waits', () => {
  const config = configOf({ classes: { chat: { kind: 'model', weight: 1 } }, slots: { model: 8, app: 1 } });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  const set = { config, workers: workersOf(['a', 'b', 'c']) };
  const acquired = new Map<string, number>();
  for (const self of gateways)
    for (const worker of fill(openOneOf(gateways, self, set), 'chat'))
      acquired.set(worker, (acquired.get(worker) ?? 0) + 1);
  assert.equal([...acquired.values()], [8, 8, 8]);
  // One gateway alone gets all, once it has waited for longer than the others would have kept silent.
  const one = openOneOf(gateways, 'e1', set);
  assert.ok(fill(one, 'chat').length < 8);
  assert.is(one.select('chat', { waitedFor: 0 }), null);
  fill(one, 'chat', 700_000);
  assert.is(
    Object.values(one.load().running).reduce((sum, byClass) => sum + byClass['chat']!, 0),
    24,
  );
});
test('with a least part no gateway waits for how free slots are dealt, and equal workers are taken in turn', () => {
  const config = configOf({
    classes: { call: { kind: 'app', weight: 1 } },
    slots: { model: 1, app: 6 },
    limits: { leastPart: 2 },
  });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];
  const firsts = new Set<string>();
  for (const self of gateways) {
    const balancer = openOneOf(gateways, self, { config, workers: workersOf(['a', 'b', 'c'], 'app') });
    firsts.add(balancer.select('call', {})!.id);
    assert.is(fill(balancer, 'call').length, 6, 'two at each of three workers, whichever parts are dealt');
  }
  assert.is(firsts.size, 3, 'gateways that see the same do not all begin at the same worker');
});
test('right after a rotation no gateway takes a slot beside a reserve that another one may have just taken', () => {
  const config = configOf({
    classes: { chat: { kind: 'model', weight: 1 }, alarm: { kind: 'model', weight: 1, urgent: true, reserve: 0.5 } },
    slots: { model: 4, app: 1 },
  });
  const gateways = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
  // None of them has heard yet of what the others took in the rotation before.
  const takenIn = (rotation: number): number =>
    gateways
      .map((self) =>
        fill(openOneOf(gateways, self, { config, workers: workersOf(['a']), rotation: () => rotation }), 'chat'),
      )
      .reduce((sum, { length }) => sum + length, 0);
  assert.is(takenIn(4.9), 2, 'two of four slots are no reserve');
  assert.is(takenIn(5.1), 1, 'only who had a part before uses one');
  assert.is(takenIn(5.7), 2, 'by now all have heard of it');
});
test.run();
