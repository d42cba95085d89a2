// Hollow nodes: real roles that speak the whole control protocol and serve no traffic, many in one process, on the
// simulated net or on real sockets; what goes over their connections is counted (docs/CAPACITY.md).
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { configSchema } from '@thornsail/config-schema';
import { invariant, real, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from '../world/index.js';

type Sum = { messages: number; bytes: number };
export type Tally = { sent: Map<string, Sum>; got: Map<string, Sum> };
type Role = 'coordinator' | 'store' | 'agent' | 'gateway';
export type HollowNode = { name: string; role: Role; tally: Tally; node: Node | null; host: Host | null };

/** The kind of a frame, and for news the first word of its name, as they stand in the encoded text. */
export const kindOf = (text: string): string => {
  const kind = /"(?:tell|ask|result|fault)","([^"]*)"/.exec(text)?.[1] ?? 'other';
  return kind === 'beam.news' ? `news.${/"(order|core|workers|read|uses|load)\b/.exec(text)?.[1] ?? 'other'}` : kind;
};
const newTally = (): Tally => ({ sent: new Map(), got: new Map() });
const add = (m: Map<string, Sum>, text: string): void => {
  const k = kindOf(text);
  const s = m.get(k) ?? { messages: 0, bytes: 0 };
  s.messages += 1;
  // A frame goes with four bytes of its length (§3.1); what TCP and IP add is not counted.
  s.bytes += Buffer.byteLength(text) + 4;
  m.set(k, s);
};
export const counted = (runtime: Runtime, t: Tally): Runtime => ({
  ...runtime,
  net: {
    ...runtime.net,
    openFrameTransport: async (at, onFrame, onDown, onBad) => {
      const got = (from: Address, text: string): boolean => {
        add(t.got, text);
        return onFrame(from, text);
      };
      const f = await runtime.net.openFrameTransport(at, got, onDown, onBad);
      return {
        ...f,
        send: (to, text) => {
          add(t.sent, text);
          f.send(to, text);
        },
      };
    },
  },
});

/** Workers of so many models in turn, with all that a platform's list may say of them (§3.8). */
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
export const hollowConfig = (models = 33): Record<string, unknown> => ({
  classes: { chat: { kind: 'model', service: 'model-0', weight: 1 } },
  services: Array.from({ length: models }, (_, i) => ({ name: `model-${i}`, model: true })),
});

const zones = 3;
type Spec = { name: string; role: Role; ip: string; zone: string };
const specs = (edges: number, net: string): Spec[] => {
  const zone = (i: number): string => `z${(i % zones) + 1}`;
  const some = (role: Role, n: number, third: number): Spec[] =>
    Array.from({ length: n }, (_, i) => ({
      name: `${role}${i + 1}`,
      role,
      ip: `${net}.${third + Math.floor(i / 200)}.${(i % 200) + 1}`,
      zone: zone(i),
    }));
  return [
    ...some('coordinator', 3, 3),
    ...some('store', 3, 2),
    ...some('agent', edges, 10),
    ...some('gateway', edges, 60),
  ];
};
const port = 7101;
/** Settings as a deployment's files would have them: three seeds, three founders. */
const optionsOf = (s: Spec, all: Spec[]): Record<string, unknown> => {
  const at = (x: Spec): Address => `${x.ip}:${port}`;
  const coordinators = all.filter((x) => x.role === 'coordinator').map(at);
  const disk = s.role === 'coordinator' || s.role === 'store' ? { data: 'data' } : {};
  return {
    name: s.name,
    zone: s.zone,
    place: at(s),
    http: `${s.ip}:7102`,
    seeds: [coordinators[0], at(all.find((x) => x.role === 'store')!), at(all.find((x) => x.role === 'agent')!)],
    ...disk,
    ...(s.role === 'coordinator' ? { founders: coordinators } : {}),
    ...(s.role === 'agent' ? { platform: '127.0.0.9:7400' } : {}),
    ...(s.role === 'gateway' ? { agent: at(all.find((x) => x.name === s.name.replace('gateway', 'agent'))!) } : {}),
  };
};
const boot = async (runtime: Runtime, s: Spec, all: Spec[], list: WorkerEntry[]): Promise<Node> => {
  const c = configSchema.options(s.role, optionsOf(s, all));
  if (!c.ok) throw new Error(JSON.stringify(c.problems));
  const extra = s.role === 'agent' ? { read: () => Promise.resolve(list) } : {};
  return (roles[s.role] as (l: Runtime, o: never, extra: object) => Promise<Node>)(runtime, c.value as never, extra);
};
export const total = (m: Map<string, Sum>, kinds: (kind: string) => boolean = () => true): Sum =>
  [...m]
    .filter(([k]) => kinds(k))
    .reduce((a, [, s]) => ({ messages: a.messages + s.messages, bytes: a.bytes + s.bytes }), { messages: 0, bytes: 0 });
const clear = (nodes: HollowNode[]): void => {
  for (const n of nodes) for (const m of [n.tally.sent, n.tally.got]) m.clear();
};
const inRoster = (nodes: HollowNode[]): boolean =>
  nodes.every((n) => n.host?.alive === false || (n.node !== null && n.node.membership.isMember()));
const push = (n: HollowNode, base: number): Promise<unknown> => {
  const body = { ...hollowConfig(), limits: { onceKeepSeconds: 1000 + base } };
  return n.node!.membership.core.request(
    { type: 'push', push: { id: `c${base}`, base, how: 'whole', body } },
    duration.s(8),
  );
};
const configured = (nodes: HollowNode[], mark: number): boolean =>
  nodes.filter((n) => n.role === 'gateway').every((n) => (n.node?.counts()['config_mark'] ?? 0) >= mark);

export type Hollow = {
  w: World;
  nodes: HollowNode[];
  of: (role: Role) => HollowNode[];
  run: (span: Microseconds) => Promise<void>;
  /** False if it did not come true within the time. */
  until: (ok: () => boolean, limit: Microseconds) => Promise<boolean>;
  clear: () => void;
  /** Pushes a configuration and waits until all gateways use it; gives how long that took. */
  push: () => Promise<Microseconds>;
  kill: (n: HollowNode) => void;
  head: () => HollowNode | undefined;
  /** When all were in the roster, and the bytes that the busiest of them had sent by then. */
  started: { at: Microseconds; bytes: number };
};
/** On the simulated net. `within` bounds the processor time in microseconds; one that needs more gives undefined. */
export const hollow = {
  open: async (o: {
    edges: number;
    workers?: number;
    seed?: number;
    zoneDelay?: Microseconds;
    within?: Microseconds;
    /** Without a first configuration. */
    bare?: boolean;
  }): Promise<Hollow | undefined> => {
    invariant.clear();
    const zoneDelay = o.zoneDelay ?? duration.ms(1);
    const w = world.open({ seed: o.seed ?? 1, zoneDelay, clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
    const all = specs(o.edges, '10.7');
    const list = workerList(o.workers ?? 24);
    const spent = process.cpuUsage();
    const over = (): boolean => {
      const c = process.cpuUsage(spent);
      return o.within !== undefined && c.user + c.system > o.within;
    };
    const nodes: HollowNode[] = all.map((s) => {
      const host = w.host(s.ip, s.zone);
      const n: HollowNode = { name: s.name, role: s.role, tally: newTally(), node: null, host };
      void boot(counted(w.runtime(host), n.tally), s, all, list).then((x) => (n.node = x));
      return n;
    });
    const h: Hollow = {
      w,
      nodes,
      of: (role) => nodes.filter((n) => n.role === role),
      run: (span) => w.run(w.now() + span),
      until: async (ok, limit) => {
        const end = w.now() + limit;
        while (!ok() && w.now() < end && !over()) await w.run(w.now() + duration.ms(2));
        return ok();
      },
      clear: () => clear(nodes),
      push: async () => {
        const mark = nodes.find((n) => n.node)!.node!.membership.state()!.config.mark;
        const begun = w.now();
        void push(h.of('agent').at(-1)!, mark).catch(() => undefined);
        await h.until(() => configured(nodes, mark + 1), duration.s(10));
        return w.now() - begun;
      },
      kill: (n) => {
        w.kill(n.host!, 'power');
        n.node = null;
      },
      head: () => h.of('coordinator').find((n) => n.node?.counts()['leads'] === 1),
      started: { at: 0, bytes: 0 },
    };
    if (!(await h.until(() => inRoster(nodes), duration.s(60)))) return undefined;
    h.started = { at: w.now(), bytes: Math.max(...nodes.map((n) => total(n.tally.sent).bytes)) };
    if (o.bare) return h;
    await h.push();
    return over() ? undefined : h;
  },
};

export type RealUse = { processes: number; cpu: number; rss: number; sockets: number };
/** On real sockets of this machine, all in this process: what each of them costs while nothing happens. */
export const realHollow = async (edges: number, span: Microseconds): Promise<RealUse> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-hollow-'));
  try {
    const all = specs(edges, `127.${150 + (process.pid % 90)}`);
    const list = workerList(24);
    const nodes: HollowNode[] = await Promise.all(
      all.map(async (s) => {
        const node = await boot(real.runtime(path.join(folder, s.name)), s, all, list);
        return { name: s.name, role: s.role, tally: newTally(), node, host: null };
      }),
    );
    const wait = (t: Microseconds): Promise<void> => new Promise((fin) => void setTimeout(fin, t / 1000));
    for (let i = 0; i < 400 && !inRoster(nodes); i++) await wait(duration.ms(50));
    await push(nodes[0]!, 0).catch(() => undefined);
    await wait(span / 3);
    const before = process.cpuUsage();
    await wait(span);
    const used = process.cpuUsage(before);
    const sockets = process.getActiveResourcesInfo().filter((x) => x === 'TCPSocketWrap').length;
    if (!inRoster(nodes)) throw new Error('the hollow nodes did not find each other');
    const cpu = ((used.user + used.system) / span / nodes.length) * 1e6;
    return { processes: nodes.length, cpu, rss: process.memoryUsage().rss, sockets };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};
