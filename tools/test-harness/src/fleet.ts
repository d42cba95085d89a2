// The one-machine fleet (§9.3): real processes on separate loopback addresses, stand-ins in this process.
// It starts what it needs, waits on events, and ends every process that it started, by id.
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import os from 'node:os';
import path from 'node:path';
import { fault, real, seeded, time, duration, readText, type Runtime, type Address } from '@thornsail/runtime';
import { audit, callers, type Callers } from './callers/index.js';
import { classNames, layout, ports, shapes, type Layout, type Shape, type ShapeName } from './shapes.js';
import { requestLog, standIns, type RequestLog, type Platform, type StandIn } from './standins.js';

type Role = 'gateway' | 'agent' | 'coordinator' | 'store';
export type RealProc = {
  name: string;
  role: Role;
  http: Address;
  options: Record<string, unknown>;
  data: string;
  child: ChildProcess | null;
  exit: Promise<number | null>;
  expectDown: boolean;
  stderr: string;
};
export type RealFleet = {
  runtime: Runtime;
  shape: Shape;
  layout: Layout;
  procs: RealProc[];
  callers: Callers;
  requestLog: RequestLog;
  models: StandIn[];
  apps: StandIn[];
  platform: Platform;
  proc: (name: string) => RealProc;
  start: (p: RealProc) => void;
  signal: (name: string, sig: NodeJS.Signals) => Promise<void>;
  loseDisk: (name: string) => void;
  get: (at: Address, path: string) => Promise<{ status: number; body: Record<string, unknown> }>;
  put: (
    at: Address,
    path: string,
    method: string,
    body: unknown,
    headers: Record<string, string>,
  ) => Promise<{ status: number; body: Record<string, unknown> }>;
  waitFor: (what: string, ok: () => Promise<boolean>, limitMs: number) => Promise<void>;
  nodeCounts: () => Promise<Record<string, number>>;
  load: (o: { chats: number; kept: number; jobs: number; overMs: number }) => Promise<void>;
  breaches: () => string[];
  stop: () => Promise<{ exits: Record<string, number | null>; bad: string[] }>;
};
const bin = (): string =>
  createRequire(import.meta.url)
    .resolve('@thornsail/thornsail')
    .replace(/index\.js$/, 'bin.js');

export const realFleet = {
  open: async (o: {
    shape: ShapeName;
    seed: number;
    net?: string;
    say?: (text: string) => void;
    config?: (c: Record<string, unknown>) => Record<string, unknown>;
    capacity?: number;
  }): Promise<RealFleet> => {
    const say = o.say ?? ((): void => undefined);
    const shape: Shape = { ...shapes[o.shape], ...(o.capacity ? { capacity: o.capacity } : {}) };
    if (o.config) shape.config = o.config(structuredClone(shape.config));
    const lay = layout(shape, o.net ?? `127.${64 + (process.pid % 160)}`);
    const folder = mkdtempSync(path.join(os.tmpdir(), 'thornsail-fleet-'));
    const runtime = real.runtime(path.join(folder, 'harness'));
    const rand = seeded(o.seed);
    const recorded = requestLog.open();
    const problems: string[] = [];
    const slots = shape.config['slots'] as { model: number; app: number };
    const models: StandIn[] = [];
    const apps: StandIn[] = [];
    for (const x of lay.workers) {
      if (x.kind === 'model')
        models.push(
          await standIns.model(runtime, {
            id: x.id,
            at: x.at,
            capacity: shape.capacity,
            places: slots.model,
            firstToken: shape.firstToken,
            perToken: shape.perToken,
            perPrefill: 60,
            requestLog: recorded,
            rand,
          }),
        );
      else
        apps.push(
          await standIns.app(runtime, {
            id: x.id,
            at: x.at,
            takes: duration.ms(15),
            places: slots.app,
            requestLog: recorded,
            rand,
          }),
        );
    }
    const platform = await standIns.platform(runtime, { at: lay.platform, workers: lay.workers });
    const procs: RealProc[] = [];
    const add = (name: string, role: Role, options: Record<string, unknown>): void =>
      void procs.push({
        name,
        role,
        http: String(options['http']),
        options: { name, seeds: lay.seeds, ...options },
        data: path.join(folder, name),
        child: null,
        exit: Promise.resolve(null),
        expectDown: false,
        stderr: '',
      });
    for (const m of lay.machines) {
      const common = { place: `${m.host}:${ports.sibling}`, http: `${m.host}:${ports.http}`, zone: m.zone };
      if (m.kind === 'coordinator')
        add(m.name, 'coordinator', { ...common, data: path.join(folder, m.name), founders: lay.founders });
      else if (m.kind === 'store') add(m.name, 'store', { ...common, data: path.join(folder, m.name) });
      else {
        add(`agent-${m.name}`, 'agent', { ...common, platform: lay.platform });
        add(`gateway-${m.name}`, 'gateway', {
          place: `${m.host}:${ports.gatewaySibling}`,
          http: `${m.host}:${ports.gatewayHttp}`,
          zone: m.zone,
          agent: common.place,
        });
      }
    }
    const start = (p: RealProc): void => {
      const file = path.join(folder, `${p.name}.json`);
      writeFileSync(file, JSON.stringify(p.options));
      const child = spawn(process.execPath, [bin(), p.role, '--settings', file], {
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { ...process.env, DEBUG: process.env['FLEET_DEBUG'] ?? '' },
      });
      p.child = child;
      p.expectDown = false;
      child.stderr.on('data', (d: Buffer) => {
        p.stderr = (p.stderr + d.toString()).slice(-4000);
        if (process.env['FLEET_DEBUG']) process.stderr.write(`${p.name} ${d.toString()}`);
      });
      p.exit = new Promise((fin) =>
        child.on('exit', (code) => {
          if (!p.expectDown) problems.push(`${p.name} ended by itself with ${String(code)}: ${p.stderr.slice(-300)}`);
          p.child = null;
          fin(code);
        }),
      );
    };
    const body = async (r: {
      status: number;
      body: AsyncIterable<string>;
    }): Promise<{ status: number; body: Record<string, unknown> }> => {
      const text = await readText(r.body);
      return {
        status: r.status,
        body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text },
      };
    };
    const f: RealFleet = {
      runtime,
      shape,
      layout: lay,
      procs,
      requestLog: recorded,
      models,
      apps,
      platform,
      start,
      callers: callers.open({
        runtime,
        rand,
        classes: classNames[o.shape],
        chatTimeLeft: shape.chatTimeLeft,
        pushTimeLeft: shape.pushTimeLeft,
        gap: duration.ms(200),
        // A busy machine may be slow: real processes are held to order and safety, not to speed.
        excused: () => true,
        stalls: true,
        gateways: () => procs.filter((p) => p.role === 'gateway' && p.child && !p.expectDown).map((p) => p.http),
      }),
      proc: (name) => {
        const p = procs.find((x) => x.name === name);
        if (!p) throw new Error(`no process ${name}`);
        return p;
      },
      signal: async (name, sig) => {
        const p = f.proc(name);
        if (sig === 'SIGKILL' || sig === 'SIGTERM') p.expectDown = true;
        p.child?.kill(sig);
        if (sig === 'SIGKILL') await p.exit;
      },
      loseDisk: (name) => rmSync(f.proc(name).data, { recursive: true, force: true }),
      get: async (at, p) =>
        body(await runtime.net.request({ at, method: 'GET', path: p, headersTimeout: duration.s(6) })),
      put: async (at, p, method, b, headers) =>
        body(
          await runtime.net.request({
            at,
            method,
            path: p,
            body: JSON.stringify(b),
            headers: { 'content-type': 'application/json', ...headers },
            headersTimeout: duration.s(8),
          }),
        ),
      waitFor: async (what, ok, limitMs) => {
        const begun = runtime.clock.now();
        for (;;) {
          try {
            if (await ok()) return;
          } catch {
            /* Not yet. */
          }
          if (runtime.clock.now() - begun > duration.ms(limitMs)) {
            problems.push(`${what}: not within ${limitMs} ms`);
            return;
          }
          await time.sleep(runtime.clock, duration.ms(50));
        }
      },
      nodeCounts: async () => {
        const sum: Record<string, number> = {};
        for (const p of procs)
          if (p.role === 'gateway' && p.child)
            try {
              const r = await f.get(p.http, '/thornsail/v1/node');
              for (const [k, v] of Object.entries(r.body['counts'] as Record<string, number>))
                sum[k] = (sum[k] ?? 0) + v;
            } catch (e) {
              say(`no counts from ${p.name}: ${fault.text(e)}`);
            }
        return sum;
      },
      load: async ({ chats, kept, jobs, overMs }) => {
        const tag = rand.id().slice(0, 6);
        const work: Promise<void>[] = [];
        const later = async (fn: () => Promise<void>): Promise<void> => {
          await time.sleep(runtime.clock, duration.ms(rand.int(overMs)));
          await fn();
        };
        for (let i = 0; i < chats; i++)
          work.push(later(() => f.callers.chat({ turns: 2 + rand.int(3), kept: false, program: `p${tag}-${i}` })));
        for (let i = 0; i < kept; i++)
          work.push(later(() => f.callers.chat({ turns: 6 + rand.int(3), kept: true, program: `k${tag}-${i}` })));
        for (let i = 0; i < jobs; i++)
          work.push(later(() => f.callers.job({ urgent: i % 2 === 0, once: i % 4 < 2, key: `j${tag}-${i}` })));
        await Promise.all(work);
      },
      breaches: () => {
        const cls = shape.config['classes'] as Record<string, { budgetTokens?: number }>;
        const nm = classNames[o.shape];
        return [
          ...problems,
          ...f.callers.summary.breaches,
          ...audit({
            requestLog: recorded,
            keys: f.callers.keys,
            leftAt: platform.leftAt,
            budgets: (p) => (p.startsWith('k') ? cls[nm.kept] : cls[nm.chat])?.budgetTokens ?? 1_000_000,
          }),
        ];
      },
      stop: async () => {
        const exits: Record<string, number | null> = {};
        const bad: string[] = [];
        const up = procs.filter((p) => p.child);
        for (const r of ['gateway', 'agent', 'store', 'coordinator'])
          for (const p of up.filter((x) => x.role === r)) {
            p.expectDown = true;
            p.child?.kill('SIGCONT');
            p.child?.kill('SIGTERM');
          }
        await Promise.all(
          up.map(async (p) => {
            const late = setTimeout(() => {
              bad.push(`${p.name} did not end on SIGTERM`);
              p.child?.kill('SIGKILL');
            }, 15_000);
            exits[p.name] = await p.exit;
            clearTimeout(late);
            if (exits[p.name] !== 0) bad.push(`${p.name} ended with ${String(exits[p.name])}: ${p.stderr.slice(-300)}`);
          }),
        );
        await Promise.all([...models, ...apps, platform].map((s) => s.close()));
        rmSync(folder, { recursive: true, force: true });
        return { exits, bad };
      },
    };
    for (const p of procs) start(p);
    const edge = f.proc('agent-edge1').http;
    await f.waitFor(
      'a view of coordinators',
      async () => (await f.get(edge, '/thornsail/v1/status')).status === 200,
      30_000,
    );
    await f.waitFor(
      'the first configuration',
      async () =>
        (await f.put(edge, '/thornsail/v1/config', 'PUT', shape.config, { 'if-match': '0', 'push-id': 'first' }))
          .status === 200,
      20_000,
    );
    const gateways = procs.filter((p) => p.role === 'gateway');
    await f.waitFor(
      'all gateways ready',
      async () => (await Promise.all(gateways.map((p) => f.get(p.http, '/ready')))).every((r) => r.status === 200),
      30_000,
    );
    return f;
  },
};
