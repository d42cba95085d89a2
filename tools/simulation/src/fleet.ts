// A whole deployment in the simulator (§9.2): its machines, roles, workers, platform and callers, with faults by name.
import { configSchema } from '@thornsail/config-schema';
import { invariant, duration, readText, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import {
  audit,
  callers,
  classNames,
  layout,
  requestLog,
  ports,
  shapes,
  silent,
  standIns,
  type Callers,
  type RequestLog,
  type Layout,
  type Shape,
  type ShapeName,
  type Listed,
  type Platform,
  type StandIn,
} from '@thornsail/test-harness';
import { root } from '@thornsail/admin-api';
import { roles, type Node } from '@thornsail/thornsail';
import { world, type Host, type World } from './world/index.js';

export type FleetProcess = {
  name: string;
  role: 'gateway' | 'agent' | 'coordinator' | 'store';
  host: Host;
  node: Node | null;
  options: Record<string, unknown>;
  seeds: Address[];
};
export type Fleet = {
  world: World;
  shape: Shape;
  layout: Layout;
  requestLog: RequestLog;
  processes: FleetProcess[];
  models: StandIn[];
  apps: StandIn[];
  callers: Callers;
  callerRuntime: Runtime;
  platform: Platform;
  process: (name: string) => FleetProcess;
  hostOf: (ip: string) => Host;
  kill: (name: string, how?: 'process' | 'power' | 'disk') => void;
  start: (name: string) => void;
  /** An empty machine at a new address in place of a lost one. */
  replace: (name: string, as: string, ip: string) => void;
  /** One more machine. */
  addEdge: (n: number) => void;
  addStore: (name: string, ip: string) => void;
  /** A worker of its own machine, not yet on the platform's list. */
  addWorker: (w: Listed) => Promise<StandIn>;
  freeze: (name: string, forUs: Microseconds) => void;
  partition: (a: string[], b: string[]) => () => void;
  /** Cuts a machine that is not one of the fleet's own (a worker, the platform) off from some hosts. */
  cutMachine: (ip: string, from: Host[]) => () => void;
  http: (
    at: Address,
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ) => Promise<{ status: number; body: Record<string, unknown>; headers: Record<string, string> }>;
  push: (config: unknown, base: number, id?: string, at?: Address) => Promise<{ status: number; mark: number }>;
  ready: () => number;
  /** Runs until the condition holds, or breaches. */
  until: (what: string, ok: () => boolean, limit: Microseconds) => Promise<Microseconds>;
  load: (o: { chats: number; kept: number; jobs: number; over: Microseconds }) => {
    all: Promise<unknown>;
    done: () => boolean;
  };
  breaches: () => string[];
  breachesOfItsOwn: string[];
};

export const fleet = {
  open: async (o: {
    seed: number;
    shape: ShapeName;
    models?: number;
    config?: (c: Record<string, unknown>) => Record<string, unknown>;
    capacity?: number;
    gap?: Microseconds;
    /** Places at each worker; else as many as the configuration has slots. */
    places?: { model: number; app: number };
    /** Workers that are slow or stall on purpose: silence within a stream is theirs, not the system's. */
    stalls?: boolean;
    noConfig?: boolean;
    log?: (line: string) => void;
    perToken?: Microseconds;
    firstToken?: Microseconds;
    plain?: boolean;
    callAt?: number;
  }): Promise<Fleet> => {
    invariant.clear();
    const shape = {
      ...shapes[o.shape],
      ...(o.capacity ? { capacity: o.capacity } : {}),
      ...(o.models ? { models: o.models } : {}),
      ...(o.perToken ? { perToken: o.perToken } : {}),
      ...(o.firstToken ? { firstToken: o.firstToken } : {}),
    };
    const lay = layout(shape);
    const w = world.open({
      seed: o.seed,
      zoneDelay: shape.zoneDelay,
      clientDelay: shape.clientDelay,
      clientIp: lay.callers,
    });
    if (o.log) w.onLog((at, ip, part, text) => o.log!(`${(at / 1e6).toFixed(3)} ${ip} ${part}: ${text}`));
    const recorded = requestLog.open();
    const hosts = new Map<string, Host>();
    const host = (ip: string, zone: string): Host => {
      const h = hosts.get(ip) ?? w.host(ip, zone);
      hosts.set(ip, h);
      return h;
    };
    const extraBreaches: string[] = [];
    shape.config = o.config ? o.config(structuredClone(shape.config)) : shape.config;
    const places = o.places ?? { model: 16, app: 16, ...(shape.config['slots'] as object) };
    /** When a fault had hold of a machine: what its own callers bear meanwhile is no breach (§9.3). */
    const trouble = new Map<Host, { from: Microseconds; to: Microseconds }[]>();
    const strike = (h: Host, from: Microseconds = w.now()): { from: Microseconds; to: Microseconds } => {
      const t = { from, to: Infinity };
      trouble.set(h, [...(trouble.get(h) ?? []), t]);
      return t;
    };
    const troubled = (h: Host, since: Microseconds): boolean =>
      !h.alive || (trouble.get(h) ?? []).some((t) => t.to + duration.ms(300) >= since);

    const models: StandIn[] = [];
    const apps: StandIn[] = [];
    const startWorker = async (x: Listed, zone: string): Promise<StandIn> => {
      const runtime = w.runtime(host(x.at.split(':')[0]!, zone));
      const own = { id: x.id, at: x.at, requestLog: recorded, rand: runtime.rand };
      const { capacity, firstToken, perToken } = shape;
      const speed = { capacity, firstToken, perToken, perPrefill: 60 };
      const s =
        x.kind === 'model'
          ? await standIns.model(runtime, { ...own, ...speed, places: places.model })
          : await standIns.app(runtime, { ...own, takes: duration.ms(15), places: places.app });
      (x.kind === 'model' ? models : apps).push(s);
      return s;
    };
    for (const [i, x] of lay.workers.entries()) await startWorker(x, `z${(i % 3) + 1}`);
    const platform = await standIns.platform(w.runtime(host(lay.platform.split(':')[0]!, 'z1')), {
      at: lay.platform,
      workers: lay.workers,
    });

    const procs: FleetProcess[] = [];
    const add = (
      name: string,
      role: FleetProcess['role'],
      ip: string,
      zone: string,
      options: Record<string, unknown>,
    ): void => {
      procs.push({
        name,
        role,
        host: host(ip, zone),
        node: null,
        options: { name, zone, ...options },
        seeds: lay.seeds,
      });
    };
    const addEdge = (name: string, ip: string, zone: string): void => {
      const common = { place: `${ip}:${ports.sibling}`, http: `${ip}:${ports.http}` };
      const own = ip.replace('.1.', '.11.');
      add(`agent-${name}`, 'agent', ip, zone, { ...common, platform: lay.platform });
      add(`gateway-${name}`, 'gateway', own, zone, {
        place: `${own}:${ports.gatewaySibling}`,
        http: `${own}:${ports.gatewayHttp}`,
        agent: common.place,
      });
    };
    for (const m of lay.machines) {
      const common = { place: `${m.host}:${ports.sibling}`, http: `${m.host}:${ports.http}` };
      if (m.kind === 'coordinator')
        add(m.name, 'coordinator', m.host, m.zone, { ...common, data: 'data', founders: lay.founders });
      else if (m.kind === 'store') add(m.name, 'store', m.host, m.zone, { ...common, data: 'data' });
      else addEdge(m.name, m.host, m.zone);
    }
    const proc = (name: string): FleetProcess => {
      const p = procs.find((x) => x.name === name);
      if (!p) throw new Error(`no process ${name}`);
      return p;
    };
    const boot = (p: FleetProcess): void => {
      const c = configSchema.options(p.role, { ...p.options, seeds: p.seeds });
      if (!c.ok) throw new Error(JSON.stringify(c.problems));
      const inc = p.host.incarnation;
      (roles[p.role] as (l: Runtime, x: never, extra: object) => Promise<Node>)(w.runtime(p.host), c.value as never, {
        plain: o.plain ?? false,
      }).then(
        (node) => {
          if (p.host.incarnation !== inc) return;
          p.node = node;
          node.onFailed(() => f.kill(p.name));
        },
        (e) => {
          // One that cannot read its disk ends with an error; so it must.
          if (p.host.disk.fail.read > 0) f.kill(p.name);
          else extraBreaches.push(`${p.name} did not start: ${String(e)}`);
        },
      );
    };
    const f: Fleet = {
      world: w,
      shape,
      layout: lay,
      requestLog: recorded,
      processes: procs,
      models,
      apps,
      platform,
      hostOf: (ip) => host(ip, 'z1'),
      callers: undefined as unknown as Callers,
      callerRuntime: w.runtime(host(lay.callers, 'c')),
      process: proc,
      breachesOfItsOwn: extraBreaches,
      kill: (name, how = 'process') => {
        const p = proc(name);
        strike(p.host).to = w.now();
        w.kill(p.host, how);
        p.node = null;
      },
      start: (name) => {
        const p = proc(name);
        w.start(p.host);
        boot(p);
      },
      replace: (name, as, ip) => {
        const p = proc(name);
        if (p.host.alive) {
          w.kill(p.host, 'disk');
          p.node = null;
        }
        procs.splice(procs.indexOf(p), 1);
        add(as, p.role, ip, p.host.zone, {
          ...p.options,
          name: as,
          place: `${ip}:${ports.sibling}`,
          http: `${ip}:${ports.http}`,
          ...(p.role === 'coordinator' ? { founders: [] } : {}),
        });
        proc(as).seeds = p.seeds;
        boot(proc(as));
      },
      addEdge: (n) => {
        addEdge(`edge${n}`, lay.machines[0]!.host.replace(/\d+$/, String(n)), 'z2');
        for (const p of procs.slice(-2)) {
          p.seeds = proc('agent-edge2').seeds;
          boot(p);
        }
      },
      addStore: (name, ip) => {
        add(name, 'store', ip, 'z1', { place: `${ip}:${ports.sibling}`, http: `${ip}:${ports.http}`, data: 'data' });
        boot(proc(name));
      },
      addWorker: (x) => startWorker(x, 'z1'),
      freeze: (name, forUs) => {
        const h = proc(name).host;
        const t = strike(h);
        w.freeze(h);
        w.scheduleAt(w.now() + forUs, () => {
          t.to = w.now();
          w.thaw(h);
        });
      },
      partition: (a, b) => {
        const hosts = [a, b].map((list) => list.map((x) => proc(x).host));
        const marks = hosts.flat().map((h) => strike(h));
        const heal = w.partition(hosts[0]!, hosts[1]!);
        return () => {
          heal();
          for (const t of marks) t.to = w.now();
        };
      },
      cutMachine: (ip, from) => w.partition([host(ip, 'z1')], from),
      http: async (at, method, path, body, headers = {}) => {
        const r = await f.callerRuntime.net.call({
          at,
          method,
          path,
          timeLeft: duration.s(8),
          headers: { 'content-type': 'application/json', ...headers },
          ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        const text = await readText(r.body);
        return {
          status: r.status,
          headers: r.headers,
          body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text },
        };
      },
      push: async (config, base, id, at) => {
        const r = await f.http(at ?? `${lay.machines[0]!.host}:${ports.http}`, 'PUT', `${root}/config`, config, {
          'if-match': String(base),
          ...(id ? { 'push-id': id } : {}),
        });
        return { status: r.status, mark: Number(r.body['mark'] ?? -1) };
      },
      ready: () => procs.filter((p) => p.role === 'gateway' && p.host.alive && p.node?.ready().ok).length,
      until: async (what, ok, limit) => {
        const begun = w.now();
        while (!ok()) {
          if (w.now() - begun > limit) {
            extraBreaches.push(`${what}: not within ${duration.toMs(limit)} ms`);
            return w.now() - begun;
          }
          await w.run(w.now() + duration.ms(50));
        }
        return w.now() - begun;
      },
      load: ({ chats, kept, jobs, over }) => {
        const work: Promise<void>[] = [];
        const later = (fn: () => Promise<void>): void => {
          work.push(
            new Promise((fin) => {
              w.scheduleAt(
                w.now() + w.rand.int(over),
                () =>
                  void fn().then(fin, (e) => {
                    extraBreaches.push(`a caller failed: ${String(e)}`);
                    fin();
                  }),
              );
            }),
          );
        };
        const tag = `${w.now().toString(36)}`;
        for (let i = 0; i < chats; i++)
          later(() => f.callers.chat({ turns: 2 + w.rand.int(3), kept: false, program: `p${tag}-${i}` }));
        for (let i = 0; i < kept; i++)
          later(() => f.callers.chat({ turns: 6 + w.rand.int(3), kept: true, program: `k${tag}-${i}` }));
        for (let i = 0; i < jobs; i++)
          later(() => f.callers.job({ urgent: i % 2 === 0, once: i % 4 < 2, key: `j${tag}-${i}` }));
        let finished = false;
        const all = Promise.all(work).then(() => {
          finished = true;
        });
        return { all, done: () => finished };
      },
      breaches: () => {
        const budget = (program: string): number => {
          const cls = shape.config['classes'] as Record<string, { budgetTokens?: number }>;
          const nm = classNames[o.shape];
          return (program.startsWith('k') ? cls[nm.kept] : cls[nm.chat])?.budgetTokens ?? 1_000_000;
        };
        return [
          ...invariant.breaches(),
          ...extraBreaches,
          ...f.callers.summary.breaches,
          ...silent(recorded, f.callers.summary.silences, shape.firstToken).breaches,
          ...audit({ requestLog: recorded, keys: f.callers.keys, budgets: budget, leftAt: platform.leftAt }),
        ];
      },
    };
    f.callers = callers.open({
      runtime: f.callerRuntime,
      rand: f.callerRuntime.rand,
      classes: classNames[o.shape],
      chatTimeLeft: shape.chatTimeLeft,
      pushTimeLeft: shape.pushTimeLeft,
      gap: o.gap ?? duration.ms(400),
      excused: (at, since) => {
        const p = procs.find((x) => x.options['http'] === at);
        return p === undefined || troubled(p.host, since);
      },
      stalls: o.stalls ?? false,
      gateways: () => {
        const up = procs.filter((p) => p.role === 'gateway' && p.host.alive).map((p) => p.options['http'] as string);
        return up.slice(0, o.callAt ?? up.length);
      },
    });
    for (const p of procs) boot(p);
    const config = shape.config;
    if (o.noConfig) return f;
    await f.until(
      'a view of coordinators',
      () => procs.some((p) => p.role === 'coordinator' && p.node?.counts()['leads'] === 1),
      duration.s(10),
    );
    let mark = 0;
    void f.push(config, 0, 'first').then(
      (r) => {
        mark = r.mark;
      },
      () => undefined,
    );
    await f.until('the first configuration', () => mark === 1, duration.s(8));
    await f.until('all gateways ready', () => f.ready() === 7, duration.s(15));
    return f;
  },
};
export type { World, Host } from './world/index.js';
