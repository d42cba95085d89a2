// How gateways send each other their load (§3.5): over a grid where they are many, directly where they are few.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { loadPaths, type GatewayPeer } from '@thornsail/data-plane';
import { invariant, duration } from '@thornsail/runtime';
import { hollowCluster, total, type HollowCluster, type HollowNode } from '../src/measurement/hollow.js';

const makePeers = (count: number, zones = 3): GatewayPeer[] =>
  Array.from({ length: count }, (_, i) => ({ id: `e${i}`, place: `10.0.0.${i}:1`, zone: `z${i % zones}` }));
const idOf = (allPeers: GatewayPeer[], place: string): string => allPeers.find((peer) => peer.place === place)!.id;

test('few gateways send their load to each other directly', () => {
  const allPeers = makePeers(16);
  for (const { id } of allPeers) {
    const paths = loadPaths.compute(allPeers, id);
    assert.is(paths.row.length, 15);
    assert.equal(paths.otherRows, []);
  }
});

test('each of many gateways gets each other load once, and messages grow with the square root of their number', () => {
  for (const count of [17, 18, 23, 31, 47, 66, 75, 100, 380]) {
    const allPeers = makePeers(count, 4);
    const paths = new Map(allPeers.map((peer) => [peer.id, loadPaths.compute(allPeers, peer.id)]));
    const rowOf = (id: string): string[] => [id, ...paths.get(id)!.row.map((place) => idOf(allPeers, place))];
    const sourcesById = new Map<string, string[]>(allPeers.map((peer) => [peer.id, []]));
    for (const { id } of allPeers) {
      for (const place of paths.get(id)!.row) sourcesById.get(idOf(allPeers, place))!.push(id);
      for (const place of paths.get(id)!.otherRows) sourcesById.get(idOf(allPeers, place))!.push(...rowOf(id));
      const sent = paths.get(id)!.row.length + paths.get(id)!.otherRows.length;
      assert.ok(sent <= 2 * Math.ceil(Math.sqrt(count)) + 2, `${sent} messages of ${count} gateways`);
    }
    for (const [id, sources] of sourcesById) {
      assert.is(new Set(sources).size, count - 1, `${id} of ${count} gets the load of all others`);
      assert.is(sources.length, count - 1, `${id} of ${count} gets each load once`);
    }
  }
});

test('a gateway that is not in the membership yet sends its load to all', () => {
  assert.is(loadPaths.compute(makePeers(66), 'newcomer').row.length, 66);
});

const edgeCount = 24;
const worker = 'worker-00000';
const openCluster = async (): Promise<HollowCluster> => {
  const cluster = await hollowCluster.open({ edges: edgeCount, workers: 33 });
  assert.ok(cluster);
  await cluster.run(duration.s(2));
  return cluster;
};
const beginTurn = (node: HollowNode): void =>
  void node.node!.dataPlane!.admission.acquireSlot('chat', {
    preferred: worker,
    excluded: new Set(),
    force: true,
    limit: 0,
  });
/** Turns of all gateways that a gateway counts as running at the worker. */
const runningSeenBy = (node: HollowNode): number => node.node!.dataPlane!.admission.runningAt(worker);

/** Begins a turn at a gateway; returns the time until all gateways count it. */
const timeUntilKnown = async (cluster: HollowCluster, node: HollowNode): Promise<number> => {
  const gateways = cluster.nodesOf('gateway');
  const before = runningSeenBy(node);
  const startedAt = cluster.world.now();
  beginTurn(node);
  assert.ok(
    await cluster.until(() => gateways.every((gateway) => runningSeenBy(gateway) === before + 1), duration.s(2)),
    'known everywhere',
  );
  const elapsed = cluster.world.now() - startedAt;
  await cluster.run(duration.s(1));
  return elapsed;
};

test('a turn at one of many gateways is known at all others within 0.46 s while slots are free', async () => {
  const cluster = await openCluster();
  for (const index of [0, 11, 23]) {
    const elapsed = await timeUntilKnown(cluster, cluster.nodesOf('gateway')[index]!);
    assert.ok(elapsed <= duration.ms(460), `known everywhere after ${duration.toMs(elapsed)} ms`);
  }
  assert.equal(invariant.breaches(), []);
});

test('a turn at one of many gateways is known at all others within 0.26 s while another turn waits', async () => {
  const cluster = await openCluster();
  const gateways = cluster.nodesOf('gateway');
  for (let slot = 0; slot < 24; slot++) beginTurn(gateways[2]!);
  await cluster.run(duration.s(1));
  const waiting = gateways[3]!.node!.dataPlane!.admission;
  waiting.acquireSlot('chat', { preferred: null, excluded: new Set(), force: false, limit: duration.s(60) });
  assert.ok(waiting.hasWaitingTurns(), 'a turn waits');
  await cluster.run(duration.s(2));
  for (const index of [0, 11, 23]) {
    const elapsed = await timeUntilKnown(cluster, gateways[index]!);
    assert.ok(elapsed <= duration.ms(260), `known everywhere after ${duration.toMs(elapsed)} ms`);
  }
});

test('a gateway whose grid neighbour died gets load by dissemination until the membership changes', async () => {
  const cluster = await openCluster();
  const gateways = cluster.nodesOf('gateway');
  cluster.kill(gateways[7]!);
  const survivors = gateways.filter((gateway) => gateway.node !== null);
  const before = runningSeenBy(survivors[0]!);
  beginTurn(survivors[3]!);
  const isKnown = (): boolean => survivors.every((gateway) => runningSeenBy(gateway) === before + 1);
  assert.ok(await cluster.until(isKnown, duration.s(4)), 'known everywhere');
});

test('load reports of many gateways take few messages at a gateway, an agent and a coordinator', async () => {
  const cluster = await openCluster();
  const seconds = 4;
  cluster.clear();
  for (let step = 0; step < seconds * 10; step++) {
    if (step % 2 === 0) for (const gateway of cluster.nodesOf('gateway')) beginTurn(gateway);
    else
      for (const gateway of cluster.nodesOf('gateway'))
        gateway.node!.dataPlane!.admission.releaseSlot(worker, 'chat', null);
    await cluster.run(duration.ms(100));
  }
  /** Mean number of messages per second at a node of a role. */
  const rate = (
    role: 'gateway' | 'agent' | 'coordinator',
    counter: 'sent' | 'got',
    matches: (kind: string) => boolean,
  ): number => {
    const nodes = cluster.nodesOf(role);
    return nodes.reduce((sum, node) => sum + total(node.tally[counter], matches).messages, 0) / nodes.length / seconds;
  };
  const isLoad = (kind: string): boolean => kind === 'load' || kind === 'loads';
  const isLoadUpdate = (kind: string): boolean => kind === 'news.load';
  // Sent directly they would be 23 each way, five times a second.
  assert.ok(rate('gateway', 'sent', isLoad) < 60, `${rate('gateway', 'sent', isLoad)} a second sent`);
  assert.ok(rate('gateway', 'got', isLoad) < 60, `${rate('gateway', 'got', isLoad)} a second received`);
  // Forwarded one by one they would be 16 a second at each relay.
  assert.ok(rate('agent', 'got', isLoadUpdate) < 11, `${rate('agent', 'got', isLoadUpdate)} a second at an agent`);
  assert.ok(
    rate('coordinator', 'got', isLoadUpdate) < 11,
    `${rate('coordinator', 'got', isLoadUpdate)} a second at a coordinator`,
  );
});

test.run();
