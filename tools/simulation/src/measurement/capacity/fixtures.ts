// Nodes, configurations, state snapshots and load messages of given sizes, for the capacity figures.
import { admissionScheduler } from '@thornsail/admission-scheduler';
import {
  type AgreedState,
  type JoiningNode,
  type Snapshot,
  agreedState,
  configuration,
  snapshotCodec,
} from '@thornsail/consensus';
import type { GatewayLoad } from '@thornsail/data-plane';
import { rpc } from '@thornsail/rpc';
import { type Runtime, type Microseconds, duration } from '@thornsail/runtime';
import { type World, world } from '../../world/index.js';
import { workerList } from '../hollow.js';

/** A simulated network with the given one-way delay between zones. */
export const newWorld = (zoneDelay: Microseconds = duration.ms(1)): World =>
  world.open({ seed: 1, zoneDelay, clientDelay: duration.ms(1), clientIp: '127.0.9.9' });

/** Size of an encoded frame in bytes, with its length prefix of four bytes. */
export const frameBytes = async (kind: string, body: unknown): Promise<number> => {
  const sent: number[] = [];
  const sim = newWorld();
  const runtime = sim.runtime(sim.host('10.0.0.1', 'z1'));
  const net: Runtime['net'] = {
    ...runtime.net,
    openFrameTransport: (at) =>
      Promise.resolve({
        at,
        send: (_to, text) => void sent.push(Buffer.byteLength(text) + 4),
        close: () => Promise.resolve(),
      }),
  };
  const endpoint = await rpc.open({ ...runtime, net }, '10.0.0.1:7101');
  endpoint.notify('10.0.0.2:7101', kind, body);
  return sent[0]!;
};

/** The i-th node: three coordinators, 16 stores, then agents and gateways in turn. */
export const nodeOf = (i: number): JoiningNode => {
  const role = i < 19 ? (i < 3 ? 'coordinator' : 'store') : i % 2 ? 'agent' : 'gateway';
  const ip = `10.${20 + (i >> 8)}.${i & 255}.7`;
  const id = `${role}-${(i * 7_919 + 0x10000).toString(16).padStart(18, 'a1b2c3d4e5f6')}`;
  return { id, name: `${role}${i}`, role, place: `${ip}:7101`, http: `${ip}:7102`, zone: `z${i % 14}`, incarnation: 1 };
};

/** The agreed state after `n` nodes have joined. */
export const withRoster = (n: number): AgreedState => {
  let state = agreedState.initial();
  for (let i = 0; i < n; i++) state = agreedState.join(state, nodeOf(i), 1_790_000_000_000_000 + i).state;
  return state;
};

/** A configuration with the given numbers of classes, routes and services. */
export const configOf = (counts: { classes: number; routes: number; services: number }): Record<string, unknown> => ({
  classes: Object.fromEntries(
    Array.from({ length: counts.classes }, (_, i) => [
      `tenant-${i}`,
      { kind: 'model', service: `model-${i % counts.services}`, weight: 1, budgetTokens: 5_000_000, maxTokens: 4096 },
    ]),
  ),
  services: Array.from({ length: counts.services }, (_, i) => ({
    name: `model-${i}`,
    model: true,
    connections: 256,
    cacheTokens: 2_000_000,
  })),
  routes: Array.from({ length: counts.routes }, (_, i) => ({
    name: `route-${i}`,
    host: `tenant-${i % counts.classes}.example`,
    prefix: `/v1/${Math.floor(i / counts.classes)}/`,
    semantics: 'stream',
    targets: [{ service: `model-${i % counts.services}`, weight: 1 }],
    class: `tenant-${i % counts.classes}`,
    deadlineMs: 600_000,
    aimMs: 820,
  })),
});

/** The agreed state after ten pushes, which fill its history of configurations. Throws if a push is rejected. */
export const withConfig = (initial: AgreedState, config: Record<string, unknown>): AgreedState => {
  let state = initial;
  for (let i = 0; i < 10; i++) {
    const body = { ...config, limits: { onceKeepSeconds: 1000 + i } };
    const pushed = configuration.push(state, { id: `change-${i}`, base: i, how: 'whole', body }, 1_790_000_000_000_000);
    if (!pushed.result.ok) throw new Error(JSON.stringify(pushed.result));
    state = pushed.state;
  }
  return state;
};

const members = [0, 1, 2].map((i) => ({ id: nodeOf(i).id, at: nodeOf(i).place }));

/** A snapshot of the state, as it is sent to other nodes. */
export const version = (state: AgreedState): Snapshot<AgreedState> => ({ term: 3, index: 4711, members, state });

/** The dissemination message that carries a snapshot. */
export const updateOf = (snapshot: Snapshot<AgreedState>): unknown => [
  { name: 'order', mark: snapshot.index, value: snapshotCodec.encode(snapshot) },
];

/** Program names of a realistic length. */
export const programIds = (n: number): string[] =>
  Array.from({ length: n }, (_, i) => `session-${String(i).padStart(28, '0')}`);

/** The load report of an edge whose turns each run at a different worker. */
export const loadOf = (edge: number, running: number, workers: number): GatewayLoad => {
  const workerAt = (i: number): string => `worker-${String((edge * running + i * 16) % workers).padStart(5, '0')}`;
  const ids = [...new Set(Array.from({ length: running }, (_, i) => workerAt(i)))];
  return {
    load: { running: Object.fromEntries(ids.map((worker, i) => [worker, { [`tenant-${i % 300}`]: 1 }])), waiting: {} },
    tokens: Object.fromEntries(ids.map((worker, i) => [worker, 240_000 + i])),
    paused: 3,
    smallest: 52_000,
    took: [],
    uses: 4711,
  };
};

/** Workers of the design size. */
export const maxWorkers = 12_000;

/** A scheduler with this many programs, every second of them between two turns. */
export const programsOf = (programs: number, workers: number): ReturnType<typeof admissionScheduler.open> => {
  const scheduler = admissionScheduler.open({
    ...admissionScheduler.defaults(),
    maxPrograms: 1_000_000,
    maxTurns: 1_000_000,
  });
  const models = workerList(workers).map((worker) => ({ id: worker.id, capacity: 2_000_000, eligible: true }));
  admissionScheduler.step(scheduler, { type: 'workers-changed', workers: models }, 0);
  const limits = { timeLeft: duration.s(600), expectedService: duration.s(10), patience: duration.s(2) };
  for (let i = 0; i < programs; i++) {
    const known = { tokens: 240_000, worker: models[i % models.length]!.id };
    const arrival = {
      type: 'turn-arrived' as const,
      turn: `t${i}`,
      program: `p${i}`,
      tokens: 240_000,
      ...limits,
      known,
    };
    admissionScheduler.step(scheduler, arrival, 0);
    if (i % 2)
      admissionScheduler.step(
        scheduler,
        { type: 'turn-ended', turn: `t${i}`, tokens: 240_000, final: false, worker: null },
        0,
      );
  }
  return scheduler;
};
