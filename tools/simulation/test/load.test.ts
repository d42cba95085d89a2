// How the edges tell each other of load (§3.5): over a grid where there are many, directly where there are few.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { loadPaths, type GatewayPeer } from '@thornsail/data-plane';
import { invariant, duration } from '@thornsail/runtime';
import { hollow, total, type Hollow, type HollowNode } from '../src/measurement/hollow.js';

const peers = (count: number, zones = 3): GatewayPeer[] =>
  Array.from({ length: count }, (_, i) => ({ id: `e${i}`, place: `10.0.0.${i}:1`, zone: `z${i % zones}` }));
const idAt = (all: GatewayPeer[], place: string): string => all.find((p) => p.place === place)!.id;

test('few edges tell each other directly', () => {
  const all = peers(16);
  for (const { id } of all) {
    const paths = loadPaths.compute(all, id);
    assert.is(paths.row.length, 15);
    assert.equal(paths.otherRows, []);
  }
});

test('of many edges each hears of each other one, once, and the messages grow with the root of their number', () => {
  for (const count of [17, 18, 23, 31, 47, 66, 75, 100, 380]) {
    const all = peers(count, 4);
    const paths = new Map(all.map((p) => [p.id, loadPaths.compute(all, p.id)]));
    const rowOf = (id: string): string[] => [id, ...paths.get(id)!.row.map((place) => idAt(all, place))];
    const heard = new Map<string, string[]>(all.map((p) => [p.id, []]));
    for (const { id } of all) {
      for (const place of paths.get(id)!.row) heard.get(idAt(all, place))!.push(id);
      for (const place of paths.get(id)!.otherRows) heard.get(idAt(all, place))!.push(...rowOf(id));
      const sent = paths.get(id)!.row.length + paths.get(id)!.otherRows.length;
      assert.ok(sent <= 2 * Math.ceil(Math.sqrt(count)) + 2, `${sent} messages of ${count} edges`);
    }
    for (const [id, from] of heard) {
      assert.is(new Set(from).size, count - 1, `${id} of ${count} hears of all others`);
      assert.is(from.length, count - 1, `${id} of ${count} hears of each once`);
    }
  }
});

test('an edge that the roster does not have yet tells all of them', () => {
  assert.is(loadPaths.compute(peers(66), 'newcomer').row.length, 66);
});

const edges = 24;
const worker = 'worker-00000';
const open = async (): Promise<Hollow> => {
  const h = await hollow.open({ edges, workers: 33 });
  assert.ok(h);
  await h.run(duration.s(2));
  return h;
};
const begin = (n: HollowNode): void =>
  void n.node!.dataPlane!.admission.acquireSlot('chat', {
    preferred: worker,
    excluded: new Set(),
    force: true,
    limit: 0,
  });
/** Turns that an edge takes to be running at the worker, at all edges. */
const runningSeenBy = (n: HollowNode): number => n.node!.dataPlane!.admission.runningAt(worker);

/** How long it takes until all edges know of a turn that begins at one. */
const untilKnown = async (h: Hollow, at: HollowNode): Promise<number> => {
  const gateways = h.of('gateway');
  const before = runningSeenBy(at);
  const began = h.w.now();
  begin(at);
  assert.ok(
    await h.until(() => gateways.every((f) => runningSeenBy(f) === before + 1), duration.s(2)),
    'known everywhere',
  );
  const took = h.w.now() - began;
  await h.run(duration.s(1));
  return took;
};

test('a turn at one of many edges is known at all others within 0.46 s while slots are plenty', async () => {
  const h = await open();
  for (const n of [0, 11, 23]) {
    const took = await untilKnown(h, h.of('gateway')[n]!);
    assert.ok(took <= duration.ms(460), `known everywhere after ${duration.toMs(took)} ms`);
  }
  assert.equal(invariant.breaches(), []);
});

test('while a turn waits at any of many edges it is known within 0.26 s', async () => {
  const h = await open();
  const gateways = h.of('gateway');
  for (let slot = 0; slot < 24; slot++) begin(gateways[2]!);
  await h.run(duration.s(1));
  const waiting = gateways[3]!.node!.dataPlane!.admission;
  waiting.acquireSlot('chat', { preferred: null, excluded: new Set(), force: false, limit: duration.s(60) });
  assert.ok(waiting.hasWaitingTurns(), 'a turn waits');
  await h.run(duration.s(2));
  for (const n of [0, 11, 23]) {
    const took = await untilKnown(h, gateways[n]!);
    assert.ok(took <= duration.ms(260), `known everywhere after ${duration.toMs(took)} ms`);
  }
});

test('an edge whose neighbour in the grid is cut off hears by the news, until the roster has ruled', async () => {
  const h = await open();
  const gateways = h.of('gateway');
  h.kill(gateways[7]!);
  const left = gateways.filter((n) => n.node !== null);
  const before = runningSeenBy(left[0]!);
  begin(left[3]!);
  const known = (): boolean => left.every((f) => runningSeenBy(f) === before + 1);
  assert.ok(await h.until(known, duration.s(4)), 'known everywhere');
});

test('at many edges load takes few messages at an edge, at an agent and at a coordinator', async () => {
  const h = await open();
  const span = 4;
  h.clear();
  for (let step = 0; step < span * 10; step++) {
    if (step % 2 === 0) for (const n of h.of('gateway')) begin(n);
    else for (const n of h.of('gateway')) n.node!.dataPlane!.admission.releaseSlot(worker, 'chat', null);
    await h.run(duration.ms(100));
  }
  /** Messages a second at a node of a role, in the mean. */
  const rate = (
    role: 'gateway' | 'agent' | 'coordinator',
    of: 'sent' | 'got',
    kinds: (k: string) => boolean,
  ): number => {
    const nodes = h.of(role);
    return nodes.reduce((sum, n) => sum + total(n.tally[of], kinds).messages, 0) / nodes.length / span;
  };
  const isLoad = (k: string): boolean => k === 'load' || k === 'loads';
  const isNews = (k: string): boolean => k === 'news.load';
  // Told directly they would be 23 to and fro, five times a second.
  assert.ok(rate('gateway', 'sent', isLoad) < 60, `${rate('gateway', 'sent', isLoad)} a second sent`);
  assert.ok(rate('gateway', 'got', isLoad) < 60, `${rate('gateway', 'got', isLoad)} a second received`);
  // Passed on one by one they are 16 a second at each relay.
  assert.ok(rate('agent', 'got', isNews) < 11, `${rate('agent', 'got', isNews)} a second at an agent`);
  assert.ok(rate('coordinator', 'got', isNews) < 11, `${rate('coordinator', 'got', isNews)} a second at a coordinator`);
});

test.run();
