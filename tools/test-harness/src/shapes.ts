// The two deployments' shapes, small enough for one machine: thirteen machines in three zones, their workers and loads.
import { duration, type Address, type Microseconds } from '@thornsail/runtime';

/** The names of the two deployments. */
export type ShapeName = 'lautoka' | 'granite';
/**
 * The form of a deployment: delays one way, in microseconds; `capacity` in tokens a worker; `chatTimeLeft` and
 * `pushTimeLeft` in milliseconds; `config` is the document that is pushed at its start.
 */
export type Shape = {
  name: ShapeName;
  zoneDelay: Microseconds;
  clientDelay: Microseconds;
  models: number;
  apps: number;
  appKind: string;
  capacity: number;
  firstToken: Microseconds;
  perToken: Microseconds;
  chatTimeLeft: number;
  pushTimeLeft: number;
  config: Record<string, unknown>;
};
/** The two deployments by their names. */
export const shapes: Record<ShapeName, Shape> = {
  lautoka: {
    name: 'lautoka',
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    models: 13,
    apps: 3,
    appKind: 'table',
    capacity: 6_000,
    firstToken: duration.ms(60),
    perToken: duration.ms(6),
    chatTimeLeft: 3000,
    pushTimeLeft: 2000,
    config: {
      classes: {
        chat: { kind: 'model', weight: 3, budgetTokens: 4000, maxTokens: 64, timeLeftMs: 3000, expectedMs: 400 },
        tutor: {
          kind: 'model',
          weight: 2,
          budgetTokens: 20_000,
          maxTokens: 96,
          timeLeftMs: 4000,
          expectedMs: 500,
          keepSeconds: 86_400,
        },
        push: { kind: 'app', weight: 4, urgent: true, reserve: 0.25, timeLeftMs: 2000, expectedMs: 30 },
        lobby: { kind: 'app', weight: 1, timeLeftMs: 2500, expectedMs: 30 },
      },
      slots: { model: 8, app: 16 },
    },
  },
  granite: {
    name: 'granite',
    zoneDelay: duration.ms(0.5),
    clientDelay: duration.ms(1),
    models: 6,
    apps: 3,
    appKind: 'intake',
    capacity: 14_000,
    firstToken: duration.ms(80),
    perToken: duration.ms(8),
    chatTimeLeft: 4000,
    pushTimeLeft: 1500,
    config: {
      classes: {
        diagnose: { kind: 'model', weight: 3, budgetTokens: 4000, maxTokens: 64, timeLeftMs: 4000, expectedMs: 500 },
        repair: {
          kind: 'model',
          weight: 2,
          budgetTokens: 20_000,
          maxTokens: 96,
          timeLeftMs: 5000,
          expectedMs: 600,
          keepSeconds: 604_800,
        },
        alarm: { kind: 'app', weight: 4, urgent: true, reserve: 0.25, timeLeftMs: 1500, expectedMs: 30 },
        status: { kind: 'app', weight: 1, timeLeftMs: 2500, expectedMs: 30 },
      },
      slots: { model: 16, app: 16 },
    },
  },
};
/** What each deployment calls its class of turns, of kept turns, of urgent calls, and of short calls. */
export const classNames: Record<ShapeName, { chat: string; kept: string; urgent: string; ping: string }> = {
  lautoka: { chat: 'chat', kept: 'tutor', urgent: 'push', ping: 'lobby' },
  granite: { chat: 'diagnose', kept: 'repair', urgent: 'alarm', ping: 'status' },
};

/** A machine, and the single process of the serving tier that it runs. */
export type Machine = { name: string; kind: 'edge' | 'store' | 'coordinator'; host: string; zone: string };
/** Where everything of a deployment listens: processes, the platform, workers and callers. */
export type Layout = {
  machines: Machine[];
  platform: Address;
  workers: { id: string; at: Address; kind: 'model' | 'app' }[];
  seeds: Address[];
  founders: Address[];
  callers: string;
};
const sibling = 7101;
const http = 7102;
const gatewaySibling = 7201;
const gatewayHttp = 7202;
/** The ports of the processes: stores and coordinators, and the gateways of edge machines. */
export const ports = { sibling, http, gatewaySibling, gatewayHttp };

/** The machines of a deployment in the network that begins with the two numbers `net`. */
export const layout = (shape: Shape, net = '127.77'): Layout => {
  const machines: Machine[] = [];
  for (let i = 0; i < 7; i++)
    machines.push({ name: `edge${i + 1}`, kind: 'edge', host: `${net}.1.${i + 1}`, zone: `z${(i % 3) + 1}` });
  for (let i = 0; i < 3; i++)
    machines.push({ name: `store${i + 1}`, kind: 'store', host: `${net}.2.${i + 1}`, zone: `z${i + 1}` });
  for (let i = 0; i < 3; i++)
    machines.push({ name: `coordinator${i + 1}`, kind: 'coordinator', host: `${net}.3.${i + 1}`, zone: `z${i + 1}` });
  const workers: Layout['workers'] = [];
  for (let i = 0; i < shape.models; i++)
    workers.push({ id: `model-${i + 1}`, at: `${net}.4.${i + 1}:7300`, kind: 'model' });
  for (let i = 0; i < shape.apps; i++)
    workers.push({ id: `${shape.appKind}-${i + 1}`, at: `${net}.5.${i + 1}:7300`, kind: 'app' });
  return {
    machines,
    workers,
    platform: `${net}.6.1:7400`,
    callers: `${net}.9.1`,
    seeds: [`${net}.1.1:${sibling}`, `${net}.2.1:${sibling}`, `${net}.3.1:${sibling}`],
    founders: machines.filter(({ kind }) => kind === 'coordinator').map(({ host }) => `${host}:${sibling}`),
  };
};
