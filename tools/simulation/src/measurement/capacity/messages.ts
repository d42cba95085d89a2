// Messages of nodes without traffic on the simulated network, by the number of processes.
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { type Hollow, hollow, total } from '../hollow.js';
import { type Failed, type Part, type Slope, pick, slope } from './slope.js';

const meanOf = (h: Hollow, role: 'gateway' | 'agent' | 'store', of: (n: Hollow['nodes'][number]) => number): number => {
  const all = h.of(role).map(of);
  return all.reduce((a, b) => a + b, 0) / all.length;
};

/** What a gateway and its agent send and get, in the mean. */
const atNode = (h: Hollow, kinds: (kind: string) => boolean): { messages: number; bytes: number } => {
  const of = (what: 'messages' | 'bytes'): number => {
    const both = (n: Hollow['nodes'][number]): number =>
      total(n.tally.sent, kinds)[what] + total(n.tally.got, kinds)[what];
    return meanOf(h, 'gateway', both) + meanOf(h, 'agent', both);
  };
  return { messages: of('messages'), bytes: of('bytes') };
};

const isControl = (kind: string): boolean => !kind.startsWith('load') && !kind.startsWith('news.load');

/** For how long turns are stirred, in seconds. */
const stirred = 4;
/**
 * Turns that begin and end at every gateway, without a request: what runs changes all the time. `every` is the time
 * between two changes in milliseconds: few gateways show the phase of their timers if it divides the pause between
 * news.
 */
const stir = (h: Hollow, every: number): void => {
  const step = (i: number): void => {
    for (const n of h.of('gateway')) {
      const adm = n.node?.dataPlane?.admission;
      const worker = adm?.worker('worker-00000');
      if (!adm || !worker) continue;
      if (i % 2) adm.releaseSlot(worker.id, 'chat', null);
      else
        void adm.acquireSlot('chat', {
          preferred: worker.id,
          excluded: new Set(),
          force: true,
          limit: 0,
          service: 'model-0',
        });
    }
  };
  for (let i = 0; i * every < stirred * 1000; i++) h.w.scheduleAt(h.w.now() + i * duration.ms(every), () => step(i));
};

export const messages: Part = async (sizes) => {
  const failed: Failed[] = [];
  const rows: Record<string, Point[]> = {};
  const put = (name: string, x: number, y: number): void => void (rows[name] ??= []).push([x, y]);
  const span = sizes === 'small' ? 2 : 6;
  for (const edges of pick(sizes, [4, 8, 16, 32], [2, 4, 6, 8])) {
    const h = await hollow.open({ edges });
    if (!h) throw new Error(`${edges} edges did not come up`);
    const processes = h.nodes.length;
    put('a cold start, at the busiest seed', processes, h.started.bytes);
    await h.run(duration.s(2));
    h.clear();
    await h.run(duration.s(span));
    const both = (n: Hollow['nodes'][number], kinds: (k: string) => boolean): number =>
      (total(n.tally.sent, kinds).bytes + total(n.tally.got, kinds).bytes) / span;
    put(
      'heartbeats of a process',
      processes,
      meanOf(h, 'agent', (n) => both(n, (k) => k === 'beat')),
    );
    const others = (k: string): boolean => isControl(k) && k !== 'beat' && k !== 'news.workers';
    put(
      'an agent, idle, the rest',
      processes,
      meanOf(h, 'agent', (n) => both(n, others)),
    );
    put(
      'a gateway, idle, the rest',
      processes,
      meanOf(h, 'gateway', (n) => both(n, others)),
    );
    put('frames at a node, idle, heartbeats', processes, atNode(h, (k) => k === 'beat').messages / span);
    put('frames at a node, idle, the rest', processes, atNode(h, others).messages / span);
    put(
      'load, idle, at a gateway',
      edges,
      meanOf(h, 'gateway', (n) => both(n, (k) => !isControl(k))),
    );
    put(
      'load, idle, at an agent',
      edges,
      meanOf(h, 'agent', (n) => both(n, (k) => !isControl(k))),
    );
    put(
      'readiness asks at a store',
      edges,
      meanOf(h, 'store', (n) => total(n.tally.got, (k) => k === 'reg.read').messages / span),
    );
    h.clear();
    stir(h, sizes === 'small' ? 33 : 100);
    await h.run(duration.s(stirred));
    put(
      'load while turns change',
      edges,
      meanOf(h, 'gateway', (n) => total(n.tally.sent, (k) => k === 'load' || k === 'loads').messages / stirred),
    );
    h.clear();
    const took = await h.push();
    await h.run(duration.s(1));
    const all = h.nodes.map((n) => total(n.tally.got, (k) => k === 'news.uses').bytes);
    put('what gateways say of one change, at a process', processes, all.reduce((a, b) => a + b, 0) / all.length);
    put('one change in use everywhere', processes, duration.toMs(took));
    const times = atNode(h, (k) => k === 'news.order').messages;
    put('times that a version goes in and out of a node', processes, times);
  }
  for (const workers of pick(sizes, [50, 200, 800, 3200], [50, 100, 150, 200])) {
    const h = await hollow.open({ edges: sizes === 'small' ? 2 : 4, workers });
    if (!h) throw new Error('the hollow nodes did not come up');
    await h.run(duration.s(2));
    h.clear();
    await h.run(duration.s(span));
    put('the list of workers, at a node', workers, atNode(h, (k) => k === 'news.workers').bytes / span);
  }
  // How far the simulator goes: all of them in one roster, and nothing more.
  for (const edges of pick(sizes, [96], [])) {
    const h = await hollow.open({ edges, within: duration.s(60), bare: true });
    const what = `hollow nodes: ${2 * edges + 6} processes on the simulated net`;
    const why =
      'not in one roster after a minute of processor time: a round of heartbeats looks at every pair of nodes';
    if (h) put('a cold start, at the busiest seed', h.nodes.length, h.started.bytes);
    else failed.push({ what, why });
  }
  const line = (name: string, by: string, unit: string): Slope => slope(name, by, unit, 'simulated', rows[name]!);
  const flat = (name: string, unit: string): Slope => slope(name, 'process', unit, 'simulated', rows[name]!, 'flat');
  return {
    failed,
    slopes: [
      flat('heartbeats of a process', 'bytes a second'),
      flat('an agent, idle, the rest', 'bytes a second'),
      flat('a gateway, idle, the rest', 'bytes a second'),
      flat('frames at a node, idle, heartbeats', 'messages a second'),
      flat('frames at a node, idle, the rest', 'messages a second'),
      line('load, idle, at a gateway', 'gateway', 'bytes a second'),
      line('load, idle, at an agent', 'gateway', 'bytes a second'),
      line('load while turns change', 'gateway', 'messages a second'),
      line('readiness asks at a store', 'gateway', 'messages a second'),
      line('what gateways say of one change, at a process', 'process', 'bytes'),
      line('one change in use everywhere', 'process', 'ms'),
      flat('times that a version goes in and out of a node', 'messages'),
      line('the list of workers, at a node', 'worker', 'bytes a second'),
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
