// The slopes of docs/CAPACITY.md: each from at least four sizes. Bytes are those of real encodings, counts and times
// are simulated, processor time and memory are this machine's.
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { parse, stringify } from 'devalue';
import { beam, type Beam } from '@thornsail/dissemination';
import { berth, newsLag, type Load } from '@thornsail/load-balancer';
import { chart } from '@thornsail/config-schema';
import type { EdgeLoad, Fairway } from '@thornsail/data-plane';
import { registers, store, type Group, type Registers } from '@thornsail/register-store';
import { place, real, us, type Disk, type Lens, type Us } from '@thornsail/runtime';
import { logbook } from '@thornsail/durable-files';
import { lookout } from '@thornsail/failure-detector';
import { pilotage } from '@thornsail/admission-scheduler';
import { pipe } from '@thornsail/rpc';
import {
  core,
  coreClient,
  order,
  type CoreAsk,
  type CoreClient,
  type Marked,
  type NodeEntry,
  type Ordered,
  type PushResult,
} from '@thornsail/consensus';
import { fit, type Fit, type Point, type Shape } from './fit.js';
import { hollow, hollowConfig, total, workerList, type Hollow, type RealUse } from './hollow.js';
import { keeperAt } from './measure-registers.js';
import { world, type World } from './world.js';

export type Mark = 'measured' | 'simulated' | 'reckoned';
export type Slope = { name: string; by: string; unit: string; mark: Mark; points: Point[]; fit: Fit };
/** What was tried and did not come about. */
export type Failed = { what: string; why: string };
/** What came out of a check at several sizes, in words. */
export type Found = { what: string; by: string; points: [x: number, text: string][] };
export type Measured = { slopes: Slope[]; failed: Failed[]; found?: Found[] };
/** Small ones hold the measuring code in the tests; the page is made with the whole ones. */
export type Sizes = 'small' | 'whole';
type Part = (sizes: Sizes) => Promise<Measured>;

const slope = (name: string, by: string, unit: string, mark: Mark, points: Point[], shape: Shape = 'line'): Slope => ({
  name,
  by,
  unit,
  mark,
  points,
  fit: fit.of(points, shape),
});
const pick = (sizes: Sizes, whole: number[], small: number[]): number[] => (sizes === 'small' ? small : whole);
const newWorld = (zoneDelay: Us = us.ms(1)): World =>
  world.open({ seed: 1, zoneDelay, clientDelay: us.ms(1), clientIp: '127.0.9.9' });
const cpu = (): number => {
  const c = process.cpuUsage();
  return c.user + c.system;
};
/** Processor time of one call in microseconds: the least mean of a few runs, since others share the machine. */
const cpuOf = (fn: () => void, calls: number, runs = 3): number => {
  fn();
  const all = Array.from({ length: runs }, () => {
    const begun = cpu();
    for (let i = 0; i < calls; i++) fn();
    return (cpu() - begun) / calls;
  });
  return Math.min(...all);
};
setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;
const heap = (collections = 2): number => {
  for (let i = 0; i < collections; i++) collect();
  return process.memoryUsage().heapUsed;
};
/** Bytes of heap that what `make` gives takes, from several of them together. */
const heapOf = (make: () => unknown, copies: number): number => {
  const once = (): number => {
    const all: unknown[] = [make()];
    const before = heap(copies === 1 ? 1 : 2);
    for (let i = 0; i < copies; i++) all.push(make());
    const after = heap(copies === 1 ? 1 : 2);
    // Looked at afterwards, so that none is collected before.
    return (after - before) / all.filter((x) => x !== undefined).slice(1).length;
  };
  if (copies === 1) return once();
  return [once(), once(), once()].sort((a, b) => a - b)[1]!;
};

// --- state: bytes of what is sent whole

/** The bytes of one frame as `pipe` encodes it, with the four of its length. */
const frameBytes = async (kind: string, body: unknown): Promise<number> => {
  const sent: number[] = [];
  const w = newWorld();
  const lens = w.lens(w.host('10.0.0.1', 'z1'));
  const net: Lens['net'] = {
    ...lens.net,
    frames: (at) =>
      Promise.resolve({
        at,
        send: (_to, text) => void sent.push(Buffer.byteLength(text) + 4),
        close: () => Promise.resolve(),
      }),
  };
  const p = await pipe.open({ ...lens, net }, '10.0.0.1:7101');
  p.tell('10.0.0.2:7101', kind, body);
  return sent[0]!;
};
const nodeOf = (i: number): Omit<NodeEntry, 'standing' | 'since'> => {
  const role = i < 19 ? (i < 3 ? 'tower' : 'keeper') : i % 2 ? 'pilot' : 'front';
  const at = `10.${20 + (i >> 8)}.${i & 255}.7`;
  const id = `${role}-${(i * 7_919 + 0x10000).toString(16).padStart(18, 'a1b2c3d4e5f6')}`;
  return { id, name: `${role}${i}`, role, place: `${at}:7101`, http: `${at}:7102`, zone: `z${i % 14}`, inc: 1 };
};
const withRoster = (n: number): Ordered => {
  let s = order.initial();
  for (let i = 0; i < n; i++) s = order.join(s, nodeOf(i), 1_790_000_000_000_000 + i).state;
  return s;
};
const configOf = (o: { classes: number; routes: number; services: number }): Record<string, unknown> => ({
  classes: Object.fromEntries(
    Array.from({ length: o.classes }, (_, i) => [
      `tenant-${i}`,
      { kind: 'model', service: `model-${i % o.services}`, weight: 1, budgetTokens: 5_000_000, maxTokens: 4096 },
    ]),
  ),
  services: Array.from({ length: o.services }, (_, i) => ({
    name: `model-${i}`,
    model: true,
    connections: 256,
    cacheTokens: 2_000_000,
  })),
  routes: Array.from({ length: o.routes }, (_, i) => ({
    name: `route-${i}`,
    host: `tenant-${i % o.classes}.example`,
    prefix: `/v1/${Math.floor(i / o.classes)}/`,
    semantics: 'stream',
    targets: [{ service: `model-${i % o.services}`, weight: 1 }],
    class: `tenant-${i % o.classes}`,
    deadlineMs: 600_000,
    aimMs: 820,
  })),
});
/** The ordered state after ten pushes, so that its history of configurations is as full as it gets. */
const withConfig = (s: Ordered, config: Record<string, unknown>): Ordered => {
  let state = s;
  for (let i = 0; i < 10; i++) {
    const body = { ...config, limits: { onceKeepSeconds: 1000 + i } };
    const r = order.push(state, { id: `change-${i}`, base: i, how: 'whole', body }, 1_790_000_000_000_000);
    if (!r.result.ok) throw new Error(JSON.stringify(r.result));
    state = r.state;
  }
  return state;
};
const members = [0, 1, 2].map((i) => ({ id: nodeOf(i).id, at: nodeOf(i).place }));
const version = (state: Ordered): Marked<Ordered> => ({ view: 3, seq: 4711, members, state });
const newsOf = (v: Marked<Ordered>): unknown => [{ name: 'order', mark: v.seq, value: v }];
const points = async (xs: number[], y: (x: number) => number | Promise<number>): Promise<Point[]> => {
  const out: Point[] = [];
  for (const x of xs) out.push([x, await y(x)]);
  return out;
};
const takenIds = (n: number): string[] => Array.from({ length: n }, (_, i) => `session-${String(i).padStart(28, '0')}`);
/** What an edge tells when each of its turns runs at a worker of its own. */
const loadOf = (edge: number, running: number, workers: number): EdgeLoad => {
  const at = (i: number): string => `worker-${String((edge * running + i * 16) % workers).padStart(5, '0')}`;
  const ids = [...new Set(Array.from({ length: running }, (_, i) => at(i)))];
  return {
    load: { running: Object.fromEntries(ids.map((w, i) => [w, { [`tenant-${i % 300}`]: 1 }])), waiting: {} },
    tokens: Object.fromEntries(ids.map((w, i) => [w, 240_000 + i])),
    paused: 3,
    smallest: 52_000,
    took: [],
    uses: 4711,
  };
};
const mostWorkers = 12_000;
const state: Part = async (sizes) => {
  const bytes = (s: Ordered): Promise<number> => frameBytes('beam.news', newsOf(version(s)));
  const load = (l: EdgeLoad): Promise<number> => frameBytes('load', { from: nodeOf(20).id, mark: 99, load: l });
  const roster = pick(sizes, [50, 100, 200, 400, 800], [10, 20, 30, 40]);
  const few = withRoster(6);
  const by = (k: 'classes' | 'routes' | 'services', x: number): Ordered =>
    withConfig(few, configOf({ classes: 10, routes: 10, services: 10, [k]: x }));
  const counts = pick(sizes, [50, 100, 200, 400], [12, 14, 16, 18]);
  const turns = pick(sizes, [50, 100, 200, 400, 800], [5, 10, 15, 20]);
  const list = pick(sizes, [1500, 3000, 6000, 12_000], [50, 100, 150, 200]);
  const bareLoad = loadOf(0, 1, mostWorkers);
  const digest = (n: number): Promise<number> =>
    frameBytes('beam.digest', {
      digest: Object.fromEntries(Array.from({ length: n }, (_, i) => [`uses/${nodeOf(i + 19).id}`, 1000 + i])),
      leaf: false,
    });
  const line = (name: string, per: string, p: Point[]): Slope => slope(name, per, 'bytes', 'measured', p);
  return {
    failed: [],
    slopes: [
      line('a version, by roster', 'process', await points(roster, (n) => bytes(withRoster(n)))),
      line('a version, by classes', 'class', await points(counts, (n) => bytes(by('classes', n)))),
      line('a version, by routes', 'route', await points(counts, (n) => bytes(by('routes', n)))),
      line('a version, by services', 'service', await points(counts, (n) => bytes(by('services', n)))),
      line(
        'the list of workers',
        'worker',
        await points(list, (n) => {
          const value = { list: workerList(n) };
          return frameBytes('beam.news', [{ name: `workers/${nodeOf(21).id}`, mark: 9, value }]);
        }),
      ),
      line('a load message, by turns that run', 'turn', await points(turns, (n) => load(loadOf(0, n, mostWorkers)))),
      line(
        'a load message, by programs taken over',
        'program',
        await points(turns, (n) => load({ ...bareLoad, took: takenIds(n) })),
      ),
      line('a digest', 'lasting item', await points(roster, digest)),
    ],
  };
};

// --- messages: hollow nodes on the simulated net

const meanOf = (h: Hollow, role: 'front' | 'pilot' | 'keeper', of: (n: Hollow['nodes'][number]) => number): number => {
  const all = h.of(role).map(of);
  return all.reduce((a, b) => a + b, 0) / all.length;
};
/** What a front and its pilot send and get, in the mean. */
const atNode = (h: Hollow, kinds: (kind: string) => boolean): { messages: number; bytes: number } => {
  const of = (what: 'messages' | 'bytes'): number => {
    const both = (n: Hollow['nodes'][number]): number =>
      total(n.tally.sent, kinds)[what] + total(n.tally.got, kinds)[what];
    return meanOf(h, 'front', both) + meanOf(h, 'pilot', both);
  };
  return { messages: of('messages'), bytes: of('bytes') };
};
const isControl = (kind: string): boolean => !kind.startsWith('load') && !kind.startsWith('news.load');
/** Turns that begin and end at every front, ten times a second, without a request: what runs changes all the time. */
const stir = (h: Hollow): void => {
  const step = (i: number): void => {
    for (const n of h.of('front')) {
      const adm = n.node?.fairway?.admission;
      const worker = adm?.worker('worker-00000');
      if (!adm || !worker) continue;
      if (i % 2) adm.leave(worker.id, 'chat', null);
      else void adm.slot('chat', { hint: worker.id, not: new Set(), force: true, limit: 0, service: 'model-0' });
    }
  };
  for (let i = 0; i < 40; i++) h.w.at(h.w.now() + i * us.ms(100), () => step(i));
};
const messages: Part = async (sizes) => {
  const failed: Failed[] = [];
  const rows: Record<string, Point[]> = {};
  const put = (name: string, x: number, y: number): void => void (rows[name] ??= []).push([x, y]);
  const span = sizes === 'small' ? 2 : 6;
  const stirred = sizes === 'small' ? 1 : 4;
  for (const edges of pick(sizes, [4, 8, 16, 32], [2, 3, 4, 5])) {
    const h = await hollow.open({ edges });
    if (!h) throw new Error(`${edges} edges did not come up`);
    const processes = h.nodes.length;
    put('a cold start, at the busiest seed', processes, h.started.bytes);
    await h.run(us.s(2));
    h.clear();
    await h.run(us.s(span));
    const both = (n: Hollow['nodes'][number], kinds: (k: string) => boolean): number =>
      (total(n.tally.sent, kinds).bytes + total(n.tally.got, kinds).bytes) / span;
    put(
      'heartbeats of a process',
      processes,
      meanOf(h, 'pilot', (n) => both(n, (k) => k === 'beat')),
    );
    const others = (k: string): boolean => isControl(k) && k !== 'beat' && k !== 'news.workers';
    put(
      'a pilot, idle, the rest',
      processes,
      meanOf(h, 'pilot', (n) => both(n, others)),
    );
    put(
      'a front, idle, the rest',
      processes,
      meanOf(h, 'front', (n) => both(n, others)),
    );
    put('frames at a node, idle, heartbeats', processes, atNode(h, (k) => k === 'beat').messages / span);
    put('frames at a node, idle, the rest', processes, atNode(h, others).messages / span);
    put(
      'load, idle, at a front',
      edges,
      meanOf(h, 'front', (n) => both(n, (k) => !isControl(k))),
    );
    put(
      'load, idle, at a pilot',
      edges,
      meanOf(h, 'pilot', (n) => both(n, (k) => !isControl(k))),
    );
    put(
      'readiness asks at a keeper',
      edges,
      meanOf(h, 'keeper', (n) => total(n.tally.got, (k) => k === 'reg.read').messages / span),
    );
    h.clear();
    stir(h);
    await h.run(us.s(stirred));
    put(
      'load while turns change',
      edges,
      meanOf(h, 'front', (n) => total(n.tally.sent, (k) => k === 'load' || k === 'loads').messages / stirred),
    );
    h.clear();
    const took = await h.push();
    await h.run(us.s(1));
    const all = h.nodes.map((n) => total(n.tally.got, (k) => k === 'news.uses').bytes);
    put('what fronts say of one change, at a process', processes, all.reduce((a, b) => a + b, 0) / all.length);
    put('one change in use everywhere', processes, us.toMs(took));
    const times = atNode(h, (k) => k === 'news.order').messages;
    put('times that a version goes in and out of a node', processes, times);
  }
  for (const workers of pick(sizes, [50, 200, 800, 3200], [50, 100, 150, 200])) {
    const h = await hollow.open({ edges: sizes === 'small' ? 2 : 4, workers });
    if (!h) throw new Error('the hollow nodes did not come up');
    await h.run(us.s(2));
    h.clear();
    await h.run(us.s(span));
    put('the list of workers, at a node', workers, atNode(h, (k) => k === 'news.workers').bytes / span);
  }
  // How far the simulator goes: all of them in one roster, and nothing more.
  for (const edges of pick(sizes, [96], [])) {
    const h = await hollow.open({ edges, within: us.s(60), bare: true });
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
      flat('a pilot, idle, the rest', 'bytes a second'),
      flat('a front, idle, the rest', 'bytes a second'),
      flat('frames at a node, idle, heartbeats', 'messages a second'),
      flat('frames at a node, idle, the rest', 'messages a second'),
      line('load, idle, at a front', 'front', 'bytes a second'),
      line('load, idle, at a pilot', 'front', 'bytes a second'),
      line('load while turns change', 'front', 'messages a second'),
      line('readiness asks at a keeper', 'front', 'messages a second'),
      line('what fronts say of one change, at a process', 'process', 'bytes'),
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

// --- what is lost: versions for each dead process, and how long the core takes to say so
const losses: Part = async (sizes) => {
  const versions: Point[] = [];
  const took: Point[] = [];
  const edges = sizes === 'small' ? 5 : 24;
  for (const lost of pick(sizes, [1, 2, 4, 8], [1, 2, 3, 4])) {
    const h = await hollow.open({ edges });
    if (!h) throw new Error('the hollow nodes did not come up');
    const gone = [...h.of('pilot').slice(1, 1 + lost), ...h.of('front').slice(1, 1 + lost)];
    const ids = gone.map((n) => n.node!.id);
    const seq = (): number => Math.max(...h.of('tower').map((n) => n.node?.mooring.mark() ?? 0));
    const before = seq();
    const begun = h.w.now();
    for (const n of gone) h.kill(n);
    const roster = (): Ordered['roster'] => h.head()?.node?.mooring.state()?.roster ?? {};
    await h.until(() => ids.every((id) => roster()[id]?.standing === 'dead'), us.s(20));
    versions.push([2 * lost, seq() - before]);
    took.push([2 * lost, us.toMs(h.w.now() - begun)]);
  }
  return {
    failed: [],
    slopes: [
      slope('versions when processes are lost at once', 'process lost', 'versions', 'simulated', versions),
      slope('until the last of them is ruled dead', 'process lost', 'ms', 'simulated', took),
    ],
  };
};

/**
 * A core that is cut off from three fifths of the fronts, which serve on behind the cut (§7.2): whether it acknowledges
 * a change that they cannot hear of.
 */
const acknowledging: Part = async (sizes) => {
  const out: Found['points'] = [];
  for (const fronts of pick(sizes, [20, 40, 80, 160, 380], [20, 80])) {
    const w = newWorld();
    const founders = [0, 1, 2].map((i) => nodeOf(i).place);
    const using = new Map<string, number>();
    for (const i of [0, 1, 2]) {
      const lens = w.lens(w.host(place.host(founders[i]!), `z${i}`));
      void pipe.open(lens, founders[i]!).then(async (p) =>
        core.open({
          lens,
          pipe: p,
          book: await logbook.open(lens.disk),
          founders,
          onDone: () => undefined,
          uses: (id) => using.get(id) ?? 0,
        }),
      );
    }
    const lens = w.lens(w.host('10.1.0.1', 'z0'));
    let client: CoreClient | undefined;
    void pipe
      .open(lens, '10.1.0.1:1')
      .then((p) => (client = coreClient.open({ lens, pipe: p, towers: () => founders })));
    await w.run(us.s(3));
    const ask = async <T>(a: CoreAsk): Promise<T> => {
      let got: { value: T } | undefined;
      void client!.ask<T>(a, us.s(20)).then((r) => (got = r));
      for (let i = 0; i < 20_000 && !got; i++) await w.run(w.now() + us.ms(1));
      if (!got) throw new Error(`${a.op}: no answer`);
      return got.value;
    };
    const all = Array.from({ length: 2 * fronts }, (_, i) => nodeOf(19 + i));
    for (const node of all) await ask({ op: 'join', node });
    const cut = all.slice(0, 2 * Math.round(fronts * 0.6));
    const left = all.slice(cut.length);
    const by = left.slice(0, 2).map((n) => n.id);
    await ask({ op: 'suspect', list: cut.flatMap((n) => by.map((b) => ({ by: b, id: n.id, inc: 1 }))) });
    await w.run(w.now() + us.s(8));
    for (const n of left) using.set(n.id, 1);
    const body = hollowConfig(1);
    const r = await ask<PushResult>({ op: 'push', push: { id: 'c', base: 0, how: 'whole', body } });
    out.push([fronts, r.ok ? 'acknowledged' : r.why]);
  }
  const what = 'a change, with the core cut off from three fifths of the fronts, which serve on';
  return { slopes: [], failed: [], found: [{ what, by: 'front', points: out }] };
};

// --- times: news down the tree, a register between regions, a lost head
const spreading: Part = async (sizes) => {
  const out: Point[] = [];
  for (const n of pick(sizes, [13, 40, 121, 364], [4, 7, 10, 13])) {
    const w = newWorld(us.ms(30));
    const list = Array.from({ length: n }, (_, i) => ({ id: `r${i}`, place: `10.9.${i >> 8}.${i & 255}:1` }));
    const all: Beam[] = [];
    for (const [i, x] of list.entries()) {
      const lens = w.lens(w.host(x.place.split(':')[0]!, `z${i % 14}`));
      void pipe.open(lens, x.place).then((p) =>
        all.push(
          beam.open({
            lens,
            pipe: p,
            self: x.id,
            leaf: false,
            relays: () => list,
            attachTo: () => undefined,
            others: () => [],
            admits: () => true,
          }),
        ),
      );
    }
    await w.run(us.ms(100));
    const times: number[] = [];
    for (let m = 1; m <= 5; m++) {
      const begun = w.now();
      all[w.rand.int(n)]!.put('order', m, m);
      while (all.some((b) => (b.get('order')?.mark ?? 0) < m)) await w.run(w.now() + us.ms(1));
      times.push(us.toMs(w.now() - begun));
    }
    out.push([n, times.reduce((a, b) => a + b, 0) / times.length]);
  }
  const name = 'news down the tree, 30 ms a hop';
  return { failed: [], slopes: [slope(name, 'relay', 'ms', 'simulated', out, 'log')] };
};
const keeperGroup = (w: World, n: number): Group => {
  const group = { mark: 1, members: Array.from({ length: n }, (_, i) => ({ id: `k${i}`, at: `10.2.0.${i + 1}:1` })) };
  for (const [i, m] of group.members.entries()) {
    const lens = w.lens(w.host(`10.2.0.${i + 1}`, `z${i}`));
    void pipe
      .open(lens, m.at)
      .then(async (p) => store.open({ lens, pipe: p, book: await logbook.open(lens.disk), freshId: m.id }));
  }
  return group;
};
const proposerOf = async (w: World, lens: Lens, group: Group): Promise<Registers> => {
  let regs: Registers | undefined;
  void pipe
    .open(lens, '10.1.0.1:1')
    .then((p) => (regs = registers.open({ lens, pipe: p, by: 'edge', group: () => group })));
  while (!regs) await w.run(w.now() + us.ms(10));
  await w.run(w.now() + us.ms(100));
  return regs;
};
const written = (value: unknown) => (): { held: { value: unknown; until: Us }; result: undefined } => ({
  held: { value, until: 9e15 },
  result: undefined,
});
const regions: Part = async (sizes) => {
  const failed: Failed[] = [];
  const first: Point[] = [];
  const next: Point[] = [];
  const head: Point[] = [];
  for (const ms of pick(sizes, [1, 10, 30, 60], [1, 2, 3, 4])) {
    const w = newWorld(us.ms(ms));
    const regs = await proposerOf(w, w.lens(w.host('10.1.0.1', 'z0')), keeperGroup(w, 3));
    const took: number[][] = [[], []];
    for (let i = 0; i < 40; i++) {
      const begun = w.now();
      let done = false;
      void regs.change(`k${i >> 1}`, written(i)).then(() => (done = true));
      while (!done) await w.run(w.now() + 100);
      took[i % 2]!.push((w.now() - begun) / 1000);
    }
    const mean = (v: number[]): number => v.reduce((a, b) => a + b, 0) / v.length;
    first.push([ms, mean(took[0]!)]);
    next.push([ms, mean(took[1]!)]);
  }
  const tries = sizes === 'small' ? [1, 2, 3, 4] : [1, 10, 30, 60, 90, 120];
  for (const ms of tries) {
    const h = await hollow.open({ edges: 1, zoneDelay: us.ms(ms), within: us.s(30) });
    const lost = h?.head();
    if (!h || !lost) {
      failed.push({ what: `towers with ${ms} ms one way between them`, why: 'no head, or no configuration' });
      continue;
    }
    const begun = h.w.now();
    h.kill(lost);
    if (await h.until(() => h.head() !== undefined, us.s(20))) head.push([ms, us.toMs(h.w.now() - begun)]);
    else failed.push({ what: `a head lost with ${ms} ms one way between towers`, why: 'no new head within 20 s' });
  }
  return {
    failed,
    slopes: [
      slope('a first change of a register', 'ms one way', 'ms', 'simulated', first),
      slope('a further change by the same edge', 'ms one way', 'ms', 'simulated', next),
      slope('until another tower leads', 'ms one way', 'ms', 'simulated', head),
    ],
  };
};

// --- admission: how the parts of an edge grow
const service = 'model-0';
const berthAt = (edges: number, running: number, workers: number): ReturnType<typeof berth.open> => {
  const b = berth.open(
    () => 0,
    'e000',
    () => 0,
  );
  const c = chart.check({ ...hollowConfig(), classes: { chat: { kind: 'model', service, weight: 1 } } });
  if (!c.ok) throw new Error('the configuration of the measurement is wrong');
  b.config(c.value);
  b.workers(workerList(workers));
  b.siblings(
    Array.from({ length: edges - 1 }, (_, i) => ({
      id: `e${String(i + 1).padStart(3, '0')}`,
      load: loadOf(i + 1, running, workers).load,
    })),
  );
  return b;
};
/** Of the turns that have a worker which holds their context, how many get it: ten of 24 slots are free everywhere. */
const dealing: Part = async (sizes) => {
  const free = 10;
  const out: Point[] = [];
  for (const edges of pick(sizes, [16, 40, 80, 160, 380], [12, 16, 24, 48])) {
    const workers = workerList(24, 1);
    let now: Us = 0;
    const b = berth.open(
      () => now,
      'e000',
      () => Math.floor(now / newsLag),
    );
    const c = chart.check(hollowConfig(1));
    if (!c.ok) throw new Error('the configuration of the measurement is wrong');
    b.config(c.value);
    b.workers(workers);
    b.siblings(
      Array.from({ length: edges - 1 }, (_, i) => {
        const running: Load['running'] = {};
        for (const w of workers) {
          const n = Math.floor((24 - free) / (edges - 1)) + (i < (24 - free) % (edges - 1) ? 1 : 0);
          if (n > 0) running[w.id] = { chat: n };
        }
        return { id: `e${String(i + 1).padStart(3, '0')}`, load: { running, waiting: {} } };
      }),
    );
    let kept = 0;
    const tries = sizes === 'small' ? 400 : 4000;
    for (let i = 0; i < tries; i++) {
      now += newsLag;
      const hint = workers[i % workers.length]!.id;
      if (b.pick('chat', { hint })?.id === hint) kept += 1;
    }
    out.push([edges, (100 * kept) / tries]);
  }
  const name = 'turns that get the worker with their context';
  return { failed: [], slopes: [slope(name, 'front', '%', 'simulated', out, 'power')] };
};
const programsOf = (programs: number, workers: number): ReturnType<typeof pilotage.open> => {
  const s = pilotage.open({ ...pilotage.defaults(), maxPrograms: 1_000_000, maxTurns: 1_000_000 }, 0);
  const list = workerList(workers).map((w) => ({ id: w.id, capacity: 2_000_000, eligible: true }));
  pilotage.step(s, { kind: 'workers', list }, 0);
  const limits = { timeLeft: us.s(600), expected: us.s(10), silence: us.s(2) };
  for (let i = 0; i < programs; i++) {
    const known = { tokens: 240_000, worker: list[i % list.length]!.id };
    const e = { kind: 'arrive' as const, turn: `t${i}`, program: `p${i}`, tokens: 240_000, ...limits, known };
    pilotage.step(s, e, 0);
    if (i % 2) pilotage.step(s, { kind: 'end', turn: `t${i}`, tokens: 240_000, final: false, worker: null }, 0);
  }
  return s;
};
/** One turn of a program that is known: it arrives, grows and ends; one of a hundred programs waits paused. */
const turnCost = (programs: number, workers: number): number => {
  const s = programsOf(programs, workers);
  for (const p of s.programs.values())
    if (p.turn === null && Number(p.id.slice(1)) % 100 === 1) {
      p.standing = 'paused';
      p.tokens = 3_000_000;
    }
  let n = 0;
  return cpuOf(() => {
    const turn = `x${n}`;
    const limits = { timeLeft: us.s(600), expected: us.s(10), silence: us.s(2) };
    const program = `p${((n++ * 2 + 3) % programs) | 1}`;
    pilotage.step(s, { kind: 'arrive', turn, program, tokens: 240_000, ...limits }, us.s(1));
    pilotage.step(s, { kind: 'end', turn, tokens: 240_000, final: false, worker: null }, us.s(1));
    pilotage.step(s, { kind: 'gone', turn }, us.s(1));
  }, 100);
};
const processor: Part = async (sizes) => {
  const roster = pick(sizes, [50, 100, 200, 400, 800], [10, 20, 30, 40]);
  const round = async (n: number): Promise<number> => {
    const w = newWorld();
    const all = Array.from({ length: n }, (_, i) => ({ ...nodeOf(i), inc: 1 }));
    const lens = w.lens(w.host('10.0.0.1', 'z1'));
    const ticks: (() => void)[] = [];
    const clock: Lens['clock'] = {
      ...lens.clock,
      tick: (_after, fn) => {
        ticks.push(fn);
        return () => undefined;
      },
    };
    const p = await pipe.open(lens, all[0]!.place);
    lookout.open({
      lens: { ...lens, clock },
      pipe: p,
      self: () => all[0]!,
      roster: () => all,
      report: () => undefined,
    });
    const rounds = Math.max(1, Math.round(40_000 / n ** 2));
    let best = Infinity;
    for (let r = 0; r < 3; r++) {
      const begun = cpu();
      for (let i = 0; i < rounds; i++) {
        ticks.shift()!();
        await new Promise((fin) => setImmediate(fin));
      }
      best = Math.min(best, (cpu() - begun) / rounds);
    }
    return best;
  };
  const taken = (n: number): number => {
    const text = stringify(newsOf(version(withRoster(n))));
    return cpuOf(() => {
      const [v] = parse(text) as { value: unknown }[];
      if (!order.sound(v!.value)) throw new Error('not sound');
      stringify([v]);
    }, 20);
  };
  /** Everything in the proportions of the size: 31.6 workers and 763 running turns for each front. */
  const scales = pick(sizes, [12, 24, 48, 95, 190], [2, 3, 4, 5]);
  const picks = (edges: number): number => {
    const b = berthAt(edges, 763, Math.round(edges * 31.6));
    const hint = b.list()[0]!.id;
    return cpuOf(() => void b.pick('chat', { hint }), 10);
  };
  const siblingsIn = async (edges: number): Promise<number> => {
    const h = await hollow.open({ edges: 1, workers: Math.round(edges * 31.6) });
    const adm = (h!.of('front')[0]!.node!.fairway as Fairway).admission;
    const l = Array.from({ length: edges - 1 }, (_, i) => ({
      ...loadOf(i + 1, 763, Math.round(edges * 31.6)),
      id: `e${i}`,
    }));
    return cpuOf(() => adm.siblings(l), 10);
  };
  const turns = pick(sizes, [1000, 4000, 8000, 16_000], [50, 100, 150, 200]);
  const workers = pick(sizes, [1500, 3000, 6000, 12_000], [50, 100, 150, 200]);
  const us_ = 'µs';
  return {
    failed: [],
    slopes: [
      slope('a round of heartbeats', 'process', us_, 'measured', await points(roster, round), 'power'),
      slope('a version read and passed on', 'process', us_, 'measured', await points(roster, taken)),
      slope('a worker picked', 'front', us_, 'measured', await points(scales, picks), 'power'),
      slope('loads of the other fronts taken in', 'front', us_, 'measured', await points(scales, siblingsIn)),
      slope(
        'a turn in the scheduler, by programs',
        'program',
        us_,
        'measured',
        await points(turns, (n) => turnCost(n, 500)),
      ),
      slope(
        'a turn in the scheduler, by workers',
        'worker',
        us_,
        'measured',
        await points(workers, (n) => turnCost(763, n)),
      ),
    ],
  };
};
const nowhere: Disk = {
  put: () => Promise.resolve(),
  create: (_name, text) => Promise.resolve(void text()),
  settle: () => Promise.resolve(),
  get: () => Promise.resolve(undefined),
  list: () => Promise.resolve([]),
  drop: () => Promise.resolve(),
};
const memory: Part = async (sizes) => {
  const n = pick(sizes, [200, 400, 800, 1600], [50, 100, 150, 200]);
  const many = pick(sizes, [5000, 10_000, 20_000, 40_000], [200, 400, 600, 800]);
  const again = (u: unknown): unknown => parse(stringify(u));
  const few = sizes === 'small' ? 1 : undefined;
  const programs = many.map((x) => x / 2);
  const w = newWorld();
  const lens = w.lens(w.host('10.2.0.1', 'z0'));
  const group: Group = { mark: 1, members: [{ id: 'k0', at: '10.2.0.1:1' }] };
  void pipe.open(lens, '10.2.0.1:1').then(async (p) => {
    await store.open({ lens: { ...lens, disk: nowhere }, pipe: p, book: await logbook.open(nowhere), freshId: 'k0' });
  });
  const regs = await proposerOf(w, w.lens(w.host('10.1.0.1', 'z0')), group);
  const held: Point[] = [];
  const empty = heap();
  let have = 0;
  for (const keys of many) {
    for (; have < keys; have++) {
      const once = { by: nodeOf(20).id, at: 1, turn: `turn-${have}`, done: null, sum: `sum-${have}-of-the-request` };
      void regs.change(`once/tenant/k${have}`, written(once)).catch(() => undefined);
      if (have % 200 === 199) await w.run(w.now() + us.ms(300));
    }
    await w.run(w.now() + us.s(3));
    held.push([keys, heap() - empty]);
  }
  const line = (name: string, by: string, p: Point[]): Slope => slope(name, by, 'bytes', 'measured', p);
  return {
    failed: [],
    slopes: [
      line('memory of the roster', 'process', await points(n, (x) => heapOf(() => again(withRoster(x)), few ?? 24))),
      line('memory of the list', 'worker', await points(many, (x) => heapOf(() => again(workerList(x)), few ?? 6))),
      line(
        'memory of the loads of others',
        'running turn',
        await points(n, (x) =>
          heapOf(() => Array.from({ length: 20 }, (_, i) => again(loadOf(i, x / 20, mostWorkers))), few ?? 12),
        ),
      ),
      line(
        'memory of the scheduler',
        'program',
        await points(programs, (x) => heapOf(() => programsOf(x, 500), few ?? 4)),
      ),
      line('memory of a keeper', 'claimed key', held),
    ],
  };
};

// --- processes of their own: one at a time beside this one, ended whatever happens
const here = path.dirname(fileURLToPath(import.meta.url));
const child = async (edges: number, seconds: number): Promise<RealUse | undefined> => {
  const c = spawn(process.execPath, [path.join(here, 'hollow-cli.js'), String(edges), String(seconds)], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  try {
    let text = '';
    c.stdout.on('data', (d: Buffer) => (text += d.toString()));
    const code = await new Promise((fin) => c.once('close', fin));
    return code === 0 ? (JSON.parse(text) as RealUse) : undefined;
  } finally {
    c.kill();
  }
};
const sockets: Part = async (sizes) => {
  const failed: Failed[] = [];
  const all: RealUse[] = [];
  for (const edges of pick(sizes, [1, 3, 7, 15], [1, 2, 3, 4])) {
    const r = await child(edges, sizes === 'small' ? 0.3 : 6);
    if (r) all.push(r);
    else failed.push({ what: `hollow nodes: ${2 * edges + 6} processes on real sockets`, why: 'did not come up' });
  }
  const p = (y: (r: RealUse) => number): Point[] => all.map((r) => [r.processes, y(r)]);
  return {
    failed,
    slopes: [
      slope(
        'a process on real sockets, idle',
        'process',
        'µs of processor time a second',
        'measured',
        p((r) => r.cpu),
      ),
      slope(
        'memory of all hollow nodes together',
        'process',
        'bytes',
        'measured',
        p((r) => r.rss),
      ),
      slope(
        'connections of all of them',
        'process',
        'sockets',
        'measured',
        p((r) => r.sockets),
        'power',
      ),
    ],
  };
};
type Usage = { cpu: { user: number; system: number } };
const keeping: Part = async (sizes) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-capacity-'));
  const at = keeperAt(11);
  const args = [path.join(here, 'registers-cli.js'), '--keeper', '11', path.join(folder, 'k')];
  const c = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  const ended = new Promise((fin) => c.once('close', fin));
  try {
    await new Promise((up) => c.stdout.once('data', up));
    const lens = real.lens(folder);
    const p = await pipe.open(lens, keeperAt(19));
    const group: Group = { mark: 1, members: [{ id: 'k11', at }] };
    const regs = registers.open({ lens, pipe: p, by: 'capacity', group: () => group });
    const used = async (): Promise<number> => {
      const u = await p.ask<Usage>(at, 'bench.usage', {}, us.s(5));
      return u.cpu.user + u.cpu.system;
    };
    const atKeeper: Point[] = [];
    const atFront: Point[] = [];
    const changes = sizes === 'small' ? 100 : 1000;
    const load = async (kb: number, n: number): Promise<void> => {
      const value = { text: 'say it "so" '.repeat(Math.round((kb * 1000) / 14)) };
      let i = 0;
      const one = async (): Promise<void> => {
        for (let k = i++; k < n; k = i++) await regs.change(`k${kb}-${k % 100}`, written(value), us.s(5));
      };
      await Promise.all(Array.from({ length: 16 }, one));
    };
    await load(1, changes);
    for (const kb of [1, 4, 16, 40]) {
      const [a, own] = [await used(), cpu()];
      await load(kb, changes);
      atFront.push([kb, (cpu() - own) / changes]);
      atKeeper.push([kb, ((await used()) - a) / changes]);
    }
    p.tell(at, 'bench.end', {});
    await new Promise((fin) => setTimeout(fin, 100));
    await p.close();
    return {
      failed: [],
      slopes: [
        slope('a change at a keeper', 'KB of value', 'µs', 'measured', atKeeper),
        slope('a change at its front, for each keeper', 'KB of value', 'µs', 'measured', atFront),
      ],
    };
  } finally {
    c.kill();
    await ended;
    rmSync(folder, { recursive: true, force: true });
  }
};

export const parts: Record<string, Part> = {
  state,
  messages,
  acknowledging,
  losses,
  spreading,
  regions,
  dealing,
  processor,
  memory,
  sockets,
  keeping,
};
/** Those that wait for a process of their own. */
const apart = new Set(['sockets', 'keeping']);
export const measure = async (sizes: Sizes, only: string[] = Object.keys(parts)): Promise<Required<Measured>> => {
  const out = new Map<string, Measured>();
  const run = async (names: string[]): Promise<void> => {
    for (const name of names) out.set(name, await parts[name]!(sizes));
  };
  // At small sizes the figures do not matter: what waits for a process runs beside the rest.
  if (sizes === 'whole') await run(only);
  else await Promise.all([run(only.filter((n) => !apart.has(n))), run(only.filter((n) => apart.has(n)))]);
  const all = only.map((name) => out.get(name)!);
  return {
    slopes: all.flatMap((r) => r.slopes),
    failed: all.flatMap((r) => r.failed),
    found: all.flatMap((r) => r.found ?? []),
  };
};
