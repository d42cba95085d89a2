// The cost of a register change (docs/MEASUREMENTS.md): syncs, frames, bytes and latency on the simulated network, and
// processor time of real stores on loopback.
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

type Row = (...cells: (string | number)[]) => void;
const storeIds = [1, 2, 3];
/** A random size of 0.2 to 40 KB, log-uniformly distributed. */
const randomSize = (rng: Random): number => Math.round(200 * 200 ** rng.next());
const valueOf = (size: number, n: number): unknown => ({
  messages: [
    { role: 'user', content: `${n} ${'ask '.repeat(Math.ceil(size / 16))}` },
    { role: 'assistant', content: 'say it "so" '.repeat(Math.ceil(size / 18)) },
  ],
});
const setValue = (value: unknown) => (_previous: unknown, now: { max: Microseconds }) => ({
  stored: { value, expiresAt: now.max + duration.s(60) },
  result: undefined,
});
type RegisterWriter = { change: (key: string, value: unknown) => Promise<void> };
/**
 * Makes the register changes of a turn: two of the program's budget, and for every second turn the claim and result of
 * an idempotency key. Resolves to the number of changes.
 */
const runTurn = async (writer: RegisterWriter, rng: Random, n: number): Promise<number> => {
  const size = randomSize(rng);
  const hasKey = n % 2 === 0;
  const program = `program/p${3 * rng.int(100) + (n % 3)}`;
  let changes = 2;
  if (hasKey) await writer.change(`once/chat/k${n}`, { turn: n, done: null });
  await writer.change(program, { spent: n });
  await writer.change(program, { spent: n + 1 });
  if (hasKey) {
    await writer.change(`once/chat/k${n}`, { turn: n, done: valueOf(size, n) });
    changes += 2;
  }
  return changes;
};
const quantileMs = (values: number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0) / 1000;
};

/** Simulates changes at `rate` a second; `syncTime` is the mean. A third of the changes are the first of their key. */
export const simulateChanges = async (
  row: Row,
  options: { syncTime: Microseconds; rate: number; span: Microseconds },
): Promise<void> => {
  const sim = world.open({
    seed: 1,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime: Math.round(options.syncTime / 0.6),
  });
  const addressOf = (i: number): string => `127.0.2.${i}:7101`;
  const group: Group = { version: 1, members: storeIds.map((i) => ({ id: `k${i}`, at: addressOf(i) })) };
  for (const i of storeIds) {
    const host = sim.host(`127.0.2.${i}`, `z${i}`);
    const runtime = sim.runtime(host);
    void rpc
      .open(runtime, addressOf(i))
      .then(async (endpoint) =>
        store.open({ runtime, rpc: endpoint, durable: await durableStore.open(runtime.disk), freshId: `k${i}` }),
      );
  }
  const proposers: Registers[] = [];
  for (const edge of storeIds) {
    const runtime = sim.runtime(sim.host(`127.0.1.${edge}`, `z${edge}`));
    void rpc.open(runtime, `127.0.1.${edge}:7101`).then(
      (endpoint) =>
        (proposers[edge - 1] = registers.open({
          runtime,
          rpc: endpoint,
          clientId: `edge${edge}`,
          group: () => group,
        })),
    );
  }
  await sim.run(duration.ms(200));
  const latencies: number[] = [];
  let failed = 0;
  let started = 0;
  const rng = seeded(5);
  const timedWriter = (proposer: Registers): RegisterWriter => ({
    change: async (key, value) => {
      const startedAt = sim.now();
      started += 1;
      await proposer.change(key, setValue(value), duration.s(2)).then(
        () => latencies.push(sim.now() - startedAt),
        () => (failed += 1),
      );
    },
  });
  const before = { syncs: sim.syncs(), frames: sim.frames(), bytes: sim.zoneBytes() };
  const turns = Math.round((options.rate / 3) * (options.span / 1e6));
  for (let n = 0; n < turns; n++)
    sim.scheduleAt(
      sim.now() + Math.round((n * options.span) / turns),
      () => void runTurn(timedWriter(proposers[n % 3]!), rng, n),
    );
  await sim.run(sim.now() + options.span + duration.s(6));
  const changes = Math.max(1, started);
  row(
    `${options.syncTime / 1000} ms`,
    options.rate,
    started,
    failed,
    ((sim.syncs() - before.syncs) / changes / storeIds.length).toFixed(2),
    ((sim.frames() - before.frames) / changes).toFixed(2),
    Math.round((sim.zoneBytes() - before.bytes) / changes),
    quantileMs(latencies, 0.5).toFixed(1),
    quantileMs(latencies, 0.99).toFixed(1),
  );
};
/** Column headings of the rows of `simulateChanges`. */
export const simulatedHeadings = [
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

// Real stores on loopback, each in its own process.
/** Loopback addresses derived from the process id, so that concurrent runs on one machine do not collide. */
const benchIp = (i: number): string => `127.${160 + ((process.pid >> 8) & 63)}.${process.pid & 255}.${i}`;
/** The address of store or proposer `i` of this process's benchmark. */
export const benchAddress = (i: number): Address => `${benchIp(i)}:7101`;
/** Runs a store that writes to `folder`; prints a line once it is up and exits at the message `bench.end`. */
export const benchStore = async (i: number, folder: string, address: Address): Promise<void> => {
  const runtime = real.runtime(folder);
  const endpoint = await rpc.open(runtime, address);
  const durable = await durableStore.open(runtime.disk);
  await store.open({ runtime, rpc: endpoint, durable, freshId: `k${i}` });
  endpoint.on('bench.usage', validate.anything, () => ({
    cpu: process.cpuUsage(),
    rss: process.memoryUsage().rss,
    syncs: durable.counts().syncs,
  }));
  endpoint.on('bench.end', validate.anything, () => void setTimeout(() => process.exit(0), 20));
  process.stdout.write('up\n');
};
type Usage = { cpu: { user: number; system: number }; rss: number; syncs: number };
const readUsages = (endpoint: Rpc): Promise<Usage[]> =>
  Promise.all(storeIds.map((i) => endpoint.request<Usage>(benchAddress(i), 'bench.usage', {}, duration.s(5))));

/** Resolves when the child prints its first line; rejects if it exits before. */
export const waitUntilUp = (child: ChildProcessByStdio<null, Readable, Readable | null>): Promise<void> =>
  new Promise((resolve, reject) => {
    child.stdout.once('data', () => resolve());
    child.once('exit', (code) => reject(new Error(`a benchmark store exited with code ${code} before it was ready`)));
  });

/** Column headings of the rows of `benchChanges`. */
export const benchHeadings = [
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
/** Runs three stores as child processes of `cli`, changes registers at `rate` per second, and prints a row. */
export const benchChanges = async (
  row: Row,
  options: { rate: number; span: Microseconds; cli: string },
): Promise<void> => {
  const folder = mkdtempSync(path.join(tmpdir(), 'thornsail-bench-'));
  const children = storeIds.map((i) =>
    spawn(process.execPath, [options.cli, '--store', String(i), path.join(folder, `k${i}`), benchAddress(i)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    }),
  );
  try {
    await Promise.all(children.map(waitUntilUp));
    const runtime: Runtime = real.runtime(folder);
    const endpoint = await rpc.open(runtime, benchAddress(9));
    const group: Group = { version: 1, members: storeIds.map((i) => ({ id: `k${i}`, at: benchAddress(i) })) };
    const proposer = registers.open({ runtime, rpc: endpoint, clientId: 'bench', group: () => group });
    const latencies: number[] = [];
    let failed = 0;
    let started = 0;
    const writer: RegisterWriter = {
      change: async (key, value) => {
        const startedAt = runtime.clock.now();
        started += 1;
        await proposer.change(key, setValue(value), duration.s(2)).then(
          () => latencies.push(runtime.clock.now() - startedAt),
          () => (failed += 1),
        );
      },
    };
    const rng = seeded(5);
    const runTurns = async (span: Microseconds): Promise<void> => {
      const startedAt = runtime.clock.now();
      const turns = Math.round((options.rate / 3) * (span / 1e6));
      const inFlight: Promise<unknown>[] = [];
      for (let n = 0; n < turns; n++) {
        const due = startedAt + Math.round((n * span) / turns);
        if (due > runtime.clock.now()) await time.sleep(runtime.clock, due - runtime.clock.now());
        inFlight.push(runTurn(writer, rng, n + started * 1000));
      }
      await Promise.all(inFlight);
    };
    await runTurns(duration.s(2));
    const [before, ownCpuBefore] = [await readUsages(endpoint), process.cpuUsage()];
    failed = 0;
    latencies.length = 0;
    started = 0;
    const startedAt = runtime.clock.now();
    await runTurns(options.span);
    const ownUsed = process.cpuUsage(ownCpuBefore);
    const after = await readUsages(endpoint);
    const cpu =
      after.reduce(
        (total, usage, i) => total + usage.cpu.user + usage.cpu.system - before[i]!.cpu.user - before[i]!.cpu.system,
        0,
      ) / 3;
    const syncs = after.reduce((total, usage, i) => total + usage.syncs - before[i]!.syncs, 0) / 3;
    row(
      options.rate,
      started,
      failed,
      Math.round(cpu / started),
      (cpu / (runtime.clock.now() - startedAt)).toFixed(2),
      Math.round((ownUsed.user + ownUsed.system) / started),
      (syncs / started).toFixed(2),
      quantileMs(latencies, 0.5).toFixed(1),
      quantileMs(latencies, 0.99).toFixed(1),
      Math.round(Math.max(...after.map((usage) => usage.rss)) / 1e6),
    );
    for (const i of storeIds) endpoint.notify(benchAddress(i), 'bench.end', {});
    await time.sleep(runtime.clock, duration.ms(100));
    await endpoint.close();
  } finally {
    for (const child of children) child.kill();
    rmSync(folder, { recursive: true, force: true });
  }
};
