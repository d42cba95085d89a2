// Nodes, configurations, versions and load messages of a given size, as the measurements encode them.
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

export const newWorld = (zoneDelay: Microseconds = duration.ms(1)): World =>
  world.open({ seed: 1, zoneDelay, clientDelay: duration.ms(1), clientIp: '127.0.9.9' });

/** The bytes of one frame as `connection` encodes it, with the four of its length. */
export const frameBytes = async (kind: string, body: unknown): Promise<number> => {
  const sent: number[] = [];
  const w = newWorld();
  const runtime = w.runtime(w.host('10.0.0.1', 'z1'));
  const net: Runtime['net'] = {
    ...runtime.net,
    openFrameTransport: (at) =>
      Promise.resolve({
        at,
        send: (_to, text) => void sent.push(Buffer.byteLength(text) + 4),
        close: () => Promise.resolve(),
      }),
  };
  const p = await rpc.open({ ...runtime, net }, '10.0.0.1:7101');
  p.notify('10.0.0.2:7101', kind, body);
  return sent[0]!;
};

export const nodeOf = (i: number): JoiningNode => {
  const role = i < 19 ? (i < 3 ? 'coordinator' : 'store') : i % 2 ? 'agent' : 'gateway';
  const at = `10.${20 + (i >> 8)}.${i & 255}.7`;
  const id = `${role}-${(i * 7_919 + 0x10000).toString(16).padStart(18, 'a1b2c3d4e5f6')}`;
  return { id, name: `${role}${i}`, role, place: `${at}:7101`, http: `${at}:7102`, zone: `z${i % 14}`, incarnation: 1 };
};

export const withRoster = (n: number): AgreedState => {
  let s = agreedState.initial();
  for (let i = 0; i < n; i++) s = agreedState.join(s, nodeOf(i), 1_790_000_000_000_000 + i).state;
  return s;
};

export const configOf = (o: { classes: number; routes: number; services: number }): Record<string, unknown> => ({
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
export const withConfig = (s: AgreedState, config: Record<string, unknown>): AgreedState => {
  let state = s;
  for (let i = 0; i < 10; i++) {
    const body = { ...config, limits: { onceKeepSeconds: 1000 + i } };
    const r = configuration.push(state, { id: `change-${i}`, base: i, how: 'whole', body }, 1_790_000_000_000_000);
    if (!r.result.ok) throw new Error(JSON.stringify(r.result));
    state = r.state;
  }
  return state;
};

const members = [0, 1, 2].map((i) => ({ id: nodeOf(i).id, at: nodeOf(i).place }));

export const version = (state: AgreedState): Snapshot<AgreedState> => ({ term: 3, index: 4711, members, state });

export const newsOf = (v: Snapshot<AgreedState>): unknown => [
  { name: 'order', mark: v.index, value: snapshotCodec.encode(v) },
];

export const takenIds = (n: number): string[] =>
  Array.from({ length: n }, (_, i) => `session-${String(i).padStart(28, '0')}`);

/** What an edge tells when each of its turns runs at a worker of its own. */
export const loadOf = (edge: number, running: number, workers: number): GatewayLoad => {
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

export const mostWorkers = 12_000;

export const programsOf = (programs: number, workers: number): ReturnType<typeof admissionScheduler.open> => {
  const s = admissionScheduler.open({
    ...admissionScheduler.defaults(),
    maxPrograms: 1_000_000,
    maxTurns: 1_000_000,
  });
  const models = workerList(workers).map((w) => ({ id: w.id, capacity: 2_000_000, eligible: true }));
  admissionScheduler.step(s, { type: 'workers-changed', workers: models }, 0);
  const limits = { timeLeft: duration.s(600), expectedService: duration.s(10), patience: duration.s(2) };
  for (let i = 0; i < programs; i++) {
    const known = { tokens: 240_000, worker: models[i % models.length]!.id };
    const e = { type: 'turn-arrived' as const, turn: `t${i}`, program: `p${i}`, tokens: 240_000, ...limits, known };
    admissionScheduler.step(s, e, 0);
    if (i % 2)
      admissionScheduler.step(s, { type: 'turn-ended', turn: `t${i}`, tokens: 240_000, final: false, worker: null }, 0);
  }
  return s;
};
