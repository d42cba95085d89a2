// A simulated deployment as the scenarios see it.
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import type { Callers, Layout, Listed, Platform, RequestLog, Shape, ShapeName, StandIn } from '@thornsail/test-harness';
import type { Node } from '@thornsail/thornsail';
import type { Host, World } from '../world/index.js';

/** One process of the program; `node` is null until it has started and after it has ended. */
export type FleetProcess = {
  name: string;
  role: 'gateway' | 'agent' | 'coordinator' | 'store';
  host: Host;
  node: Node | null;
  options: Record<string, unknown>;
  seeds: Address[];
};

/** The answer to a call of an operator. */
export type OperatorResponse = { status: number; body: Record<string, unknown>; headers: Record<string, string> };

/** How many callers of each kind begin, spread at random over a time. */
export type FleetLoad = { chats: number; kept: number; jobs: number; over: Microseconds };

/** A deployment and what a scenario may do to it. */
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
  addWorker: (worker: Listed) => Promise<StandIn>;
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
  ) => Promise<OperatorResponse>;
  push: (config: unknown, base: number, id?: string, at?: Address) => Promise<{ status: number; mark: number }>;
  /** How many gateways are ready. */
  ready: () => number;
  /** Runs until the condition holds, or breaches. */
  until: (what: string, ok: () => boolean, limit: Microseconds) => Promise<Microseconds>;
  load: (load: FleetLoad) => { all: Promise<unknown>; done: () => boolean };
  breaches: () => string[];
  /** Breaches that the fleet or a scenario found, beside those of the callers and the audit. */
  breachesOfItsOwn: string[];
};

/** What a scenario sets of its deployment; the rest comes from the shape. */
export type FleetOptions = {
  seed: number;
  shape: ShapeName;
  models?: number;
  config?: (config: Record<string, unknown>) => Record<string, unknown>;
  capacity?: number;
  /** The pause between the turns of a conversation. */
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
  /** Callers use only so many gateways. */
  callAt?: number;
};
