// What a register change costs (docs/MEASUREMENTS.md): syncs, frames, bytes and added time in simulated time, and the
// CPU of real stores on loopback.
import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { Readable } from 'node:stream';
import { registers, store, type Group, type Registers } from '@thornsail/register-store';
import {
  real,
  seeded,
  time,
  duration,
  type Runtime,
  type Address,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, validate, type Rpc } from '@thornsail/rpc';
import { world } from '../world/index.js';

type Row = (...c: (string | number)[]) => void;
const ids = [1, 2, 3];
/** Values of 0.2 to 40 KB, small ones more often. */
const sizeOf = (r: Random): number => Math.round(200 * 200 ** r.next());
const valueOf = (size: number, n: number): unknown => ({
  messages: [
    { role: 'user', content: `${n} ${'ask '.repeat(Math.ceil(size / 16))}` },
    { role: 'assistant', content: 'say it "so" '.repeat(Math.ceil(size / 18)) },
  ],
});
const keep = (value: unknown) => (_v: unknown, w: { max: Microseconds }) => ({
  stored: { value, expiresAt: w.max + duration.s(60) },
  result: undefined,
});
type Work = { change: (key: string, value: unknown) => Promise<void> };
/**
 * One turn: a key claimed and recorded for some, a program's budget record changed twice, one exchange kept for some.
 */
const turn = async (x: Work, r: Random, n: number): Promise<number> => {
  const size = sizeOf(r);
  const once = n % 2 === 0;
  const program = `program/p${3 * r.int(100) + (n % 3)}`;
  let changes = 2;
  if (once) await x.change(`once/chat/k${n}`, { turn: n, done: null });
  await x.change(program, { spent: n });
  await x.change(program, { spent: n + 1 });
  if (once) {
    await x.change(`once/chat/k${n}`, { turn: n, done: valueOf(size, n) });
    changes += 2;
  }
  return changes;
};
const pct = (v: number[], p: number): number => {
  const s = [...v].sort((a, b) => a - b);
  return (s[Math.min(s.length - 1, Math.floor(s.length * p))] ?? 0) / 1000;
};

/** `syncTime` in the mean; a third of the changes are the first of their key. */
export const simulated = async (
  row: Row,
  o: { syncTime: Microseconds; rate: number; span: Microseconds },
): Promise<void> => {
  const w = world.open({
    seed: 1,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime: Math.round(o.syncTime / 0.6),
  });
  const at = (i: number): string => `127.0.2.${i}:7101`;
  const group: Group = { version: 1, members: ids.map((i) => ({ id: `k${i}`, at: at(i) })) };
  for (const i of ids) {
    const host = w.host(`127.0.2.${i}`, `z${i}`);
    const runtime = w.runtime(host);
    void rpc
      .open(runtime, at(i))
      .then(async (p) =>
        store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: `k${i}` }),
      );
  }
  const edges: Registers[] = [];
  for (const e of ids) {
    const runtime = w.runtime(w.host(`127.0.1.${e}`, `z${e}`));
    void rpc
      .open(runtime, `127.0.1.${e}:7101`)
      .then((p) => (edges[e - 1] = registers.open({ runtime, rpc: p, clientId: `edge${e}`, group: () => group })));
  }
  await w.run(duration.ms(200));
  const took: number[] = [];
  let failed = 0;
  let started = 0;
  const r = seeded(5);
  const timed = (e: Registers): Work => ({
    change: async (key, value) => {
      const from = w.now();
      started += 1;
      await e.change(key, keep(value), duration.s(2)).then(
        () => took.push(w.now() - from),
        () => (failed += 1),
      );
    },
  });
  const before = { syncs: w.syncs(), frames: w.frames(), bytes: w.zoneBytes() };
  const turns = Math.round((o.rate / 3) * (o.span / 1e6));
  for (let n = 0; n < turns; n++)
    w.scheduleAt(w.now() + Math.round((n * o.span) / turns), () => void turn(timed(edges[n % 3]!), r, n));
  await w.run(w.now() + o.span + duration.s(6));
  const all = Math.max(1, started);
  row(
    `${o.syncTime / 1000} ms`,
    o.rate,
    started,
    failed,
    ((w.syncs() - before.syncs) / all / ids.length).toFixed(2),
    ((w.frames() - before.frames) / all).toFixed(2),
    Math.round((w.zoneBytes() - before.bytes) / all),
    pct(took, 0.5).toFixed(1),
    pct(took, 0.99).toFixed(1),
  );
};
export const simulatedHead = [
  'a sync',
  'changes a second',
  'changes',
  'failed',
  'syncs per change and store',
  'frames per change',
  'bytes between zones per change',
  'a change, p50 ms',
  'p99 ms',
];

// Real stores, each a process of its own on loopback.
/** Addresses of this process's own, by its id, so that two runs on one machine don't take each other's. */
const host = (i: number): string => `127.${160 + ((process.pid >> 8) & 63)}.${process.pid & 255}.${i}`;
export const benchAddress = (i: number): Address => `${host(i)}:7101`;
/** A store that listens at `at`, writes to `folder`, and ends when it is told so; it prints a line once it is up. */
export const benchStore = async (i: number, folder: string, at: Address): Promise<void> => {
  const runtime = real.runtime(folder);
  const p = await rpc.open(runtime, at);
  const durable = await durableStore.open(runtime.disk);
  await store.open({ runtime, rpc: p, durable, freshId: `k${i}` });
  p.on('bench.usage', validate.anything, () => ({
    cpu: process.cpuUsage(),
    rss: process.memoryUsage().rss,
    syncs: durable.counts().syncs,
  }));
  p.on('bench.end', validate.anything, () => void setTimeout(() => process.exit(0), 20));
  process.stdout.write('up\n');
};
type Usage = { cpu: { user: number; system: number }; rss: number; syncs: number };
const usage = (p: Rpc): Promise<Usage[]> =>
  Promise.all(ids.map((i) => p.request<Usage>(benchAddress(i), 'bench.usage', {}, duration.s(5))));

/** Resolves when the child says that it is up; a child that ends before is an error. */
export const isUp = (child: ChildProcessByStdio<null, Readable, Readable | null>): Promise<void> =>
  new Promise((up, failed) => {
    child.stdout.once('data', () => up());
    child.once('exit', (code) => failed(new Error(`a store of the measurement ended with ${code} before it was up`)));
  });

export const benchHead = [
  'changes a second',
  'changes',
  'failed',
  'store CPU per change, µs',
  'CPU of one core',
  'proposer CPU per change, µs',
  'syncs per change and store',
  'p50 ms',
  'p99 ms',
  'store RSS, MB',
];
export const bench = async (row: Row, o: { rate: number; span: Microseconds; cli: string }): Promise<void> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-bench-'));
  const children = ids.map((i) =>
    spawn(process.execPath, [o.cli, '--store', String(i), path.join(folder, `k${i}`), benchAddress(i)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    }),
  );
  try {
    await Promise.all(children.map(isUp));
    const runtime: Runtime = real.runtime(folder);
    const p = await rpc.open(runtime, benchAddress(9));
    const group: Group = { version: 1, members: ids.map((i) => ({ id: `k${i}`, at: benchAddress(i) })) };
    const regs = registers.open({ runtime, rpc: p, clientId: 'bench', group: () => group });
    const took: number[] = [];
    let failed = 0;
    let started = 0;
    const work: Work = {
      change: async (key, value) => {
        const from = runtime.clock.now();
        started += 1;
        await regs.change(key, keep(value), duration.s(2)).then(
          () => took.push(runtime.clock.now() - from),
          () => (failed += 1),
        );
      },
    };
    const r = seeded(5);
    const run = async (span: Microseconds): Promise<void> => {
      const begun = runtime.clock.now();
      const turns = Math.round((o.rate / 3) * (span / 1e6));
      const open: Promise<unknown>[] = [];
      for (let n = 0; n < turns; n++) {
        const due = begun + Math.round((n * span) / turns);
        if (due > runtime.clock.now()) await time.sleep(runtime.clock, due - runtime.clock.now());
        open.push(turn(work, r, n + started * 1000));
      }
      await Promise.all(open);
    };
    await run(duration.s(2));
    const [a, own] = [await usage(p), process.cpuUsage()];
    failed = 0;
    took.length = 0;
    started = 0;
    const begun = runtime.clock.now();
    await run(o.span);
    const ownUsed = process.cpuUsage(own);
    const b = await usage(p);
    const cpu = b.reduce((t, x, i) => t + x.cpu.user + x.cpu.system - a[i]!.cpu.user - a[i]!.cpu.system, 0) / 3;
    const syncs = b.reduce((t, x, i) => t + x.syncs - a[i]!.syncs, 0) / 3;
    row(
      o.rate,
      started,
      failed,
      Math.round(cpu / started),
      (cpu / (runtime.clock.now() - begun)).toFixed(2),
      Math.round((ownUsed.user + ownUsed.system) / started),
      (syncs / started).toFixed(2),
      pct(took, 0.5).toFixed(1),
      pct(took, 0.99).toFixed(1),
      Math.round(Math.max(...b.map((x) => x.rss)) / 1e6),
    );
    for (const i of ids) p.notify(benchAddress(i), 'bench.end', {});
    await time.sleep(runtime.clock, duration.ms(100));
    await p.close();
  } finally {
    for (const c of children) c.kill();
    rmSync(folder, { recursive: true, force: true });
  }
};
