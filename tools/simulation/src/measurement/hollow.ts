// Hollow nodes: real roles that run the complete control protocol but serve no traffic, many in one process, on the
// simulated network or on real sockets. Counts the frames on their connections (docs/CAPACITY.md).
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { configSchema } from '@thornsail/config-schema';
import { invariant, real, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from '../world/index.js';

type Traffic = { messages: number; bytes: number };
/** Traffic of one node by message kind. */
export type Tally = { sent: Map<string, Traffic>; got: Map<string, Traffic> };
type Role = 'coordinator' | 'store' | 'agent' | 'gateway';
/** A hollow node; `node` is null until it is up and after it was killed, `host` is null on real sockets. */
export type HollowNode = { name: string; role: Role; tally: Tally; node: Node | null; host: Host | null };

/** The message kind of an encoded frame; for a dissemination message `news.` and the first segment of its entry. */
export const kindOf = (text: string): string => {
  const kind = /"(?:tell|ask|result|fault)","([^"]*)"/.exec(text)?.[1] ?? 'other';
  return kind === 'beam.news' ? `news.${/"(order|core|workers|read|uses|load)\b/.exec(text)?.[1] ?? 'other'}` : kind;
};
const newTally = (): Tally => ({ sent: new Map(), got: new Map() });
const countFrame = (byKind: Map<string, Traffic>, text: string): void => {
  const kind = kindOf(text);
  const traffic = byKind.get(kind) ?? { messages: 0, bytes: 0 };
  traffic.messages += 1;
  // Each frame has a length prefix of four bytes (§3.1); TCP and IP headers are not counted.
  traffic.bytes += Buffer.byteLength(text) + 4;
  byKind.set(kind, traffic);
};
/** Wraps a runtime so that its frames are counted in `tally`. */
export const countingRuntime = (runtime: Runtime, tally: Tally): Runtime => ({
  ...runtime,
  net: {
    ...runtime.net,
    openFrameTransport: async (address, onFrame, onDown, onBad) => {
      const onCountedFrame = (from: Address, text: string): boolean => {
        countFrame(tally.got, text);
        return onFrame(from, text);
      };
      const transport = await runtime.net.openFrameTransport(address, onCountedFrame, onDown, onBad);
      return {
        ...transport,
        send: (to, text) => {
          countFrame(tally.sent, text);
          transport.send(to, text);
        },
      };
    },
  },
});

/** `n` workers, spread over the models round-robin, with every field that the platform's list may have (§3.8). */
export const workerList = (n: number, models = 33): WorkerEntry[] =>
  Array.from({ length: n }, (_, i) => ({
    id: `worker-${String(i).padStart(5, '0')}`,
    at: `10.${40 + (i >> 16)}.${(i >> 8) & 255}.${i & 255}:7300`,
    kind: 'model' as const,
    leaving: false,
    service: `model-${i % models}`,
    slots: 24,
    cacheTokens: 2_000_000,
    zone: `z${i % 14}`,
  }));
/** A configuration with one class, and a service for each model. */
export const hollowConfig = (models = 33): Record<string, unknown> => ({
  classes: { chat: { kind: 'model', service: 'model-0', weight: 1 } },
  services: Array.from({ length: models }, (_, i) => ({ name: `model-${i}`, model: true })),
});

const zones = 3;
type Spec = { name: string; role: Role; ip: string; zone: string };
const specs = (edges: number, net: string): Spec[] => {
  const zone = (i: number): string => `z${(i % zones) + 1}`;
  const specsOf = (role: Role, n: number, thirdOctet: number): Spec[] =>
    Array.from({ length: n }, (_, i) => ({
      name: `${role}${i + 1}`,
      role,
      ip: `${net}.${thirdOctet + Math.floor(i / 200)}.${(i % 200) + 1}`,
      zone: zone(i),
    }));
  return [
    ...specsOf('coordinator', 3, 3),
    ...specsOf('store', 3, 2),
    ...specsOf('agent', edges, 10),
    ...specsOf('gateway', edges, 60),
  ];
};
const port = 7101;
/** Settings of a node as in a deployment's files: three seeds, three founding coordinators. */
const optionsOf = (spec: Spec, allSpecs: Spec[]): Record<string, unknown> => {
  const addressOf = (peer: Spec): Address => `${peer.ip}:${port}`;
  const coordinators = allSpecs.filter((peer) => peer.role === 'coordinator').map(addressOf);
  const diskOptions = spec.role === 'coordinator' || spec.role === 'store' ? { data: 'data' } : {};
  return {
    name: spec.name,
    zone: spec.zone,
    place: addressOf(spec),
    http: `${spec.ip}:7102`,
    seeds: [
      coordinators[0],
      addressOf(allSpecs.find((peer) => peer.role === 'store')!),
      addressOf(allSpecs.find((peer) => peer.role === 'agent')!),
    ],
    ...diskOptions,
    ...(spec.role === 'coordinator' ? { founders: coordinators } : {}),
    ...(spec.role === 'agent' ? { platform: '127.0.0.9:7400' } : {}),
    ...(spec.role === 'gateway'
      ? { agent: addressOf(allSpecs.find((peer) => peer.name === spec.name.replace('gateway', 'agent'))!) }
      : {}),
  };
};
const boot = async (runtime: Runtime, spec: Spec, allSpecs: Spec[], workers: WorkerEntry[]): Promise<Node> => {
  const checked = configSchema.options(spec.role, optionsOf(spec, allSpecs));
  if (!checked.ok) throw new Error(JSON.stringify(checked.problems));
  const extra = spec.role === 'agent' ? { read: () => Promise.resolve(workers) } : {};
  return (roles[spec.role] as (runtime: Runtime, options: never, extra: object) => Promise<Node>)(
    runtime,
    checked.value as never,
    extra,
  );
};
/** Sums the traffic of the message kinds that the filter accepts. */
export const total = (byKind: Map<string, Traffic>, kinds: (kind: string) => boolean = () => true): Traffic =>
  [...byKind]
    .filter(([kind]) => kinds(kind))
    .reduce((a, [, traffic]) => ({ messages: a.messages + traffic.messages, bytes: a.bytes + traffic.bytes }), {
      messages: 0,
      bytes: 0,
    });
const clear = (nodes: HollowNode[]): void => {
  for (const node of nodes) for (const byKind of [node.tally.sent, node.tally.got]) byKind.clear();
};
const allAreMembers = (nodes: HollowNode[]): boolean =>
  nodes.every((n) => n.host?.alive === false || (n.node !== null && n.node.membership.isMember()));
const pushConfig = (node: HollowNode, base: number): Promise<unknown> => {
  const body = { ...hollowConfig(), limits: { onceKeepSeconds: 1000 + base } };
  return node.node!.membership.core.request(
    { type: 'push', push: { id: `c${base}`, base, how: 'whole', body } },
    duration.s(8),
  );
};
const allUseVersion = (nodes: HollowNode[], version: number): boolean =>
  nodes.filter((n) => n.role === 'gateway').every((n) => (n.node?.counts()['config_mark'] ?? 0) >= version);

/** A running cluster of hollow nodes on the simulated network. */
export type HollowCluster = {
  world: World;
  nodes: HollowNode[];
  nodesOf: (role: Role) => HollowNode[];
  run: (span: Microseconds) => Promise<void>;
  /** Runs until the condition holds; false if it did not within the limit or the processor time is used up. */
  until: (ok: () => boolean, limit: Microseconds) => Promise<boolean>;
  clear: () => void;
  /** Pushes a configuration, waits until all gateways use it, and returns the time that took. */
  push: () => Promise<Microseconds>;
  kill: (node: HollowNode) => void;
  leader: () => HollowNode | undefined;
  /** The time at which all nodes were members, and the bytes that the busiest of them had sent by then. */
  started: { at: Microseconds; bytes: number };
};
/** Hollow nodes on the simulated network; `open` returns undefined if they do not all join in time. */
export const hollowCluster = {
  open: async (options: {
    edges: number;
    workers?: number;
    seed?: number;
    zoneDelay?: Microseconds;
    /** Limit of the processor time of this process; `open` returns undefined if it needs more. */
    within?: Microseconds;
    /** Skips the push of a first configuration. */
    bare?: boolean;
  }): Promise<HollowCluster | undefined> => {
    invariant.clear();
    const zoneDelay = options.zoneDelay ?? duration.ms(1);
    const sim = world.open({ seed: options.seed ?? 1, zoneDelay, clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
    const allSpecs = specs(options.edges, '10.7');
    const workers = workerList(options.workers ?? 24);
    const cpuBefore = process.cpuUsage();
    const isOverBudget = (): boolean => {
      const used = process.cpuUsage(cpuBefore);
      return options.within !== undefined && used.user + used.system > options.within;
    };
    const nodes: HollowNode[] = allSpecs.map((spec) => {
      const host = sim.host(spec.ip, spec.zone);
      const hollowNode: HollowNode = { name: spec.name, role: spec.role, tally: newTally(), node: null, host };
      void boot(countingRuntime(sim.runtime(host), hollowNode.tally), spec, allSpecs, workers).then(
        (opened) => (hollowNode.node = opened),
      );
      return hollowNode;
    });
    const cluster: HollowCluster = {
      world: sim,
      nodes,
      nodesOf: (role) => nodes.filter((n) => n.role === role),
      run: (span) => sim.run(sim.now() + span),
      until: async (condition, limit) => {
        const endsAt = sim.now() + limit;
        while (!condition() && sim.now() < endsAt && !isOverBudget()) await sim.run(sim.now() + duration.ms(2));
        return condition();
      },
      clear: () => clear(nodes),
      push: async () => {
        const version = nodes.find((n) => n.node)!.node!.membership.state()!.config.mark;
        const startedAt = sim.now();
        void pushConfig(cluster.nodesOf('agent').at(-1)!, version).catch(() => undefined);
        await cluster.until(() => allUseVersion(nodes, version + 1), duration.s(10));
        return sim.now() - startedAt;
      },
      kill: (n) => {
        sim.kill(n.host!, 'power');
        n.node = null;
      },
      leader: () => cluster.nodesOf('coordinator').find((n) => n.node?.counts()['leads'] === 1),
      started: { at: 0, bytes: 0 },
    };
    if (!(await cluster.until(() => allAreMembers(nodes), duration.s(60)))) return undefined;
    cluster.started = { at: sim.now(), bytes: Math.max(...nodes.map((n) => total(n.tally.sent).bytes)) };
    if (options.bare) return cluster;
    await cluster.push();
    return isOverBudget() ? undefined : cluster;
  },
};

/** Resource usage: processor time in µs per second and node, resident bytes and open sockets of the whole process. */
export type ProcessUsage = { processes: number; cpu: number; rss: number; sockets: number };
/** Runs hollow nodes on real sockets, all in this process, and returns their resource usage while idle. */
export const runOnRealSockets = async (edges: number, span: Microseconds): Promise<ProcessUsage> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-hollow-'));
  try {
    const allSpecs = specs(edges, `127.${150 + (process.pid % 90)}`);
    const workers = workerList(24);
    const nodes: HollowNode[] = await Promise.all(
      allSpecs.map(async (spec) => {
        const node = await boot(real.runtime(path.join(folder, spec.name)), spec, allSpecs, workers);
        return { name: spec.name, role: spec.role, tally: newTally(), node, host: null };
      }),
    );
    const sleep = (time: Microseconds): Promise<void> =>
      new Promise((resolve) => void setTimeout(resolve, time / 1000));
    for (let i = 0; i < 400 && !allAreMembers(nodes); i++) await sleep(duration.ms(50));
    await pushConfig(nodes[0]!, 0).catch(() => undefined);
    await sleep(span / 3);
    const cpuBefore = process.cpuUsage();
    await sleep(span);
    const cpuUsed = process.cpuUsage(cpuBefore);
    const sockets = process.getActiveResourcesInfo().filter((resource) => resource === 'TCPSocketWrap').length;
    if (!allAreMembers(nodes)) throw new Error('not all hollow nodes became members');
    const cpu = ((cpuUsed.user + cpuUsed.system) / span / nodes.length) * 1e6;
    return { processes: nodes.length, cpu, rss: process.memoryUsage().rss, sockets };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};
