// Messages of hollow nodes on the simulated network, by the number of processes.
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { type HollowCluster, hollowCluster, total } from '../hollow.js';
import { type FailedAttempt, type Part, type Slope, pick, slope } from './slope.js';

const meanOf = (
  cluster: HollowCluster,
  role: 'gateway' | 'agent' | 'store',
  valueOf: (n: HollowCluster['nodes'][number]) => number,
): number => {
  const values = cluster.nodesOf(role).map(valueOf);
  return values.reduce((a, b) => a + b, 0) / values.length;
};

/** Mean number of messages and bytes that a gateway and its agent send and receive together. */
const atNode = (cluster: HollowCluster, kinds: (kind: string) => boolean): { messages: number; bytes: number } => {
  const meanOfBoth = (what: 'messages' | 'bytes'): number => {
    const sentAndReceived = (n: HollowCluster['nodes'][number]): number =>
      total(n.tally.sent, kinds)[what] + total(n.tally.got, kinds)[what];
    return meanOf(cluster, 'gateway', sentAndReceived) + meanOf(cluster, 'agent', sentAndReceived);
  };
  return { messages: meanOfBoth('messages'), bytes: meanOfBoth('bytes') };
};

const isControl = (kind: string): boolean => !kind.startsWith('load') && !kind.startsWith('news.load');

/** How long `changeTurns` begins and ends turns, in seconds. */
const changeSeconds = 4;
/**
 * Begins and ends turns at every gateway, without requests, so that the load changes all the time. `periodMs` is the
 * time between two changes; with few gateways it must not divide the pause between load reports, since the result would
 * then depend on the phase of their timers.
 */
const changeTurns = (cluster: HollowCluster, periodMs: number): void => {
  const step = (i: number): void => {
    for (const n of cluster.nodesOf('gateway')) {
      const admission = n.node?.dataPlane?.admission;
      const worker = admission?.worker('worker-00000');
      if (!admission || !worker) continue;
      if (i % 2) admission.releaseSlot(worker.id, 'chat', null);
      else
        void admission.acquireSlot('chat', {
          preferred: worker.id,
          excluded: new Set(),
          force: true,
          limit: 0,
          service: 'model-0',
        });
    }
  };
  for (let i = 0; i * periodMs < changeSeconds * 1000; i++)
    cluster.world.scheduleAt(cluster.world.now() + i * duration.ms(periodMs), () => step(i));
};

/** Counts the control messages of idle nodes, of changing load, of a push and of the worker list. */
export const messages: Part = async (sizes) => {
  const failed: FailedAttempt[] = [];
  const rows: Record<string, Point[]> = {};
  const addPoint = (name: string, input: number, value: number): void => void (rows[name] ??= []).push([input, value]);
  const span = sizes === 'small' ? 2 : 6;
  for (const edges of pick(sizes, [4, 8, 16, 32], [2, 4, 6, 8])) {
    const cluster = await hollowCluster.open({ edges });
    if (!cluster) throw new Error(`${edges} edges did not start`);
    const processes = cluster.nodes.length;
    addPoint('a cold start, at the busiest seed', processes, cluster.started.bytes);
    await cluster.run(duration.s(2));
    cluster.clear();
    await cluster.run(duration.s(span));
    const trafficRate = (n: HollowCluster['nodes'][number], kinds: (kind: string) => boolean): number =>
      (total(n.tally.sent, kinds).bytes + total(n.tally.got, kinds).bytes) / span;
    addPoint(
      'heartbeats of a process',
      processes,
      meanOf(cluster, 'agent', (n) => trafficRate(n, (kind) => kind === 'beat')),
    );
    const others = (kind: string): boolean => isControl(kind) && kind !== 'beat' && kind !== 'news.workers';
    addPoint(
      'an agent, idle, the rest',
      processes,
      meanOf(cluster, 'agent', (n) => trafficRate(n, others)),
    );
    addPoint(
      'a gateway, idle, the rest',
      processes,
      meanOf(cluster, 'gateway', (n) => trafficRate(n, others)),
    );
    addPoint(
      'frames at a node, idle, heartbeats',
      processes,
      atNode(cluster, (kind) => kind === 'beat').messages / span,
    );
    addPoint('frames at a node, idle, the rest', processes, atNode(cluster, others).messages / span);
    addPoint(
      'load, idle, at a gateway',
      edges,
      meanOf(cluster, 'gateway', (n) => trafficRate(n, (kind) => !isControl(kind))),
    );
    addPoint(
      'load, idle, at an agent',
      edges,
      meanOf(cluster, 'agent', (n) => trafficRate(n, (kind) => !isControl(kind))),
    );
    addPoint(
      'readiness asks at a store',
      edges,
      meanOf(cluster, 'store', (n) => total(n.tally.got, (kind) => kind === 'reg.read').messages / span),
    );
    cluster.clear();
    changeTurns(cluster, sizes === 'small' ? 33 : 100);
    await cluster.run(duration.s(changeSeconds));
    addPoint(
      'load while turns change',
      edges,
      meanOf(
        cluster,
        'gateway',
        (n) => total(n.tally.sent, (kind) => kind === 'load' || kind === 'loads').messages / changeSeconds,
      ),
    );
    cluster.clear();
    const pushTime = await cluster.push();
    await cluster.run(duration.s(1));
    const receivedBytes = cluster.nodes.map((n) => total(n.tally.got, (kind) => kind === 'news.uses').bytes);
    addPoint(
      'what gateways say of one change, at a process',
      processes,
      receivedBytes.reduce((a, b) => a + b, 0) / receivedBytes.length,
    );
    addPoint('one change in use everywhere', processes, duration.toMs(pushTime));
    const forwardCount = atNode(cluster, (kind) => kind === 'news.order').messages;
    addPoint('times that a version goes in and out of a node', processes, forwardCount);
  }
  for (const workers of pick(sizes, [50, 200, 800, 3200], [50, 100, 150, 200])) {
    const cluster = await hollowCluster.open({ edges: sizes === 'small' ? 2 : 4, workers });
    if (!cluster) throw new Error('the hollow nodes did not start');
    await cluster.run(duration.s(2));
    cluster.clear();
    await cluster.run(duration.s(span));
    addPoint(
      'the list of workers, at a node',
      workers,
      atNode(cluster, (kind) => kind === 'news.workers').bytes / span,
    );
  }
  // The largest cluster that the simulator can run: all nodes become members, and nothing else happens.
  for (const edges of pick(sizes, [96], [])) {
    const cluster = await hollowCluster.open({ edges, within: duration.s(60), bare: true });
    const what = `hollow nodes: ${2 * edges + 6} processes on the simulated net`;
    const why =
      'not in one roster after a minute of processor time: a round of heartbeats looks at every pair of nodes';
    if (cluster) addPoint('a cold start, at the busiest seed', cluster.nodes.length, cluster.started.bytes);
    else failed.push({ what, why });
  }
  const lineSlope = (name: string, by: string, unit: string): Slope => slope(name, by, unit, 'simulated', rows[name]!);
  const flatSlope = (name: string, unit: string): Slope =>
    slope(name, 'process', unit, 'simulated', rows[name]!, 'flat');
  return {
    failed,
    slopes: [
      flatSlope('heartbeats of a process', 'bytes a second'),
      flatSlope('an agent, idle, the rest', 'bytes a second'),
      flatSlope('a gateway, idle, the rest', 'bytes a second'),
      flatSlope('frames at a node, idle, heartbeats', 'messages a second'),
      flatSlope('frames at a node, idle, the rest', 'messages a second'),
      lineSlope('load, idle, at a gateway', 'gateway', 'bytes a second'),
      lineSlope('load, idle, at an agent', 'gateway', 'bytes a second'),
      lineSlope('load while turns change', 'gateway', 'messages a second'),
      lineSlope('readiness asks at a store', 'gateway', 'messages a second'),
      lineSlope('what gateways say of one change, at a process', 'process', 'bytes'),
      lineSlope('one change in use everywhere', 'process', 'ms'),
      flatSlope('times that a version goes in and out of a node', 'messages'),
      lineSlope('the list of workers, at a node', 'worker', 'bytes a second'),
      slope(
        'a cold start, at the busiest seed',
        'process',
        'bytes',
        'simulated',
        rows['a cold start, at the busiest seed']!,
        'power',
      ),
    ],
  };
};
