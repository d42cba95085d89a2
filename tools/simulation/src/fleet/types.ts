// The types of a simulated deployment, as the scenarios use it.
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import type {
  Callers,
  Layout,
  ListedWorker,
  Platform,
  RequestLog,
  Shape,
  ShapeName,
  StandInWorker,
} from '@thornsail/test-harness';
import type { Node } from '@thornsail/thornsail';
import type { Host, World } from '../world/index.js';

/** One process of the program; `node` is null until it has started and after it was killed. */
export type FleetProcess = {
  name: string;
  role: 'gateway' | 'agent' | 'coordinator' | 'store';
  host: Host;
  node: Node | null;
  options: Record<string, unknown>;
  seeds: Address[];
};

/** The response to a call of an operator; a body that is no JSON object is given as `text`. */
export type OperatorResponse = { status: number; body: Record<string, unknown>; headers: Record<string, string> };

/**
 * The number of callers of each kind, which start at random times within `spreadOver`. `chats` send their whole
 * conversation with each turn, those of `kept` conversations rely on the system to store it.
 */
export type FleetLoad = { chats: number; kept: number; jobs: number; spreadOver: Microseconds };

/** A deployment, and the operations of a scenario on it. */
export type Fleet = {
  world: World;
  shape: Shape;
  layout: Layout;
  requestLog: RequestLog;
  processes: FleetProcess[];
  models: StandInWorker[];
  apps: StandInWorker[];
  callers: Callers;
  callerRuntime: Runtime;
  platform: Platform;
  /** The process of a name; throws if there is none. */
  process: (name: string) => FleetProcess;
  /** The host of an IP. */
  hostOf: (ip: string) => Host;
  kill: (name: string, failure?: 'process' | 'power' | 'disk') => void;
  start: (name: string) => void;
  /** Replaces a process by an empty one at a new IP; a live process is killed and loses its disk. */
  replace: (name: string, newName: string, ip: string) => void;
  /** Adds the n-th edge machine. */
  addEdge: (n: number) => void;
  addStore: (name: string, ip: string) => void;
  /** Starts a worker on its own machine, which the platform does not list yet. */
  addWorker: (worker: ListedWorker) => Promise<StandInWorker>;
  /** Pauses a process for a period. */
  freeze: (name: string, period: Microseconds) => void;
  /** Partitions two sets of processes; returns a function that heals the partition. */
  partition: (a: string[], b: string[]) => () => void;
  /** Partitions a machine outside the deployment (a worker, the platform) from some hosts; returns how to heal it. */
  cutMachine: (ip: string, from: Host[]) => () => void;
  http: (
    address: Address,
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ) => Promise<OperatorResponse>;
  /** Pushes a configuration based on version `base`; resolves to the HTTP status and the new version, -1 if none. */
  push: (config: unknown, base: number, id?: string, address?: Address) => Promise<{ status: number; mark: number }>;
  /** Number of gateways that are ready. */
  ready: () => number;
  /** Runs until a condition holds; returns the time that it took, and reports a breach if it exceeds `limit`. */
  until: (what: string, condition: () => boolean, limit: Microseconds) => Promise<Microseconds>;
  /** Starts callers; `all` resolves and `done` is true when all have ended. */
  load: (load: FleetLoad) => { all: Promise<unknown>; done: () => boolean };
  /** All breaches found so far: of invariants, callers, the audit, and the reported ones. */
  breaches: () => string[];
  /** Breaches that the deployment or a scenario reported. */
  reportedBreaches: string[];
};

/** The settings of a deployment that override those of its shape. */
export type FleetOptions = {
  seed: number;
  shape: ShapeName;
  models?: number;
  /** Changes the shape's configuration. */
  config?: (config: Record<string, unknown>) => Record<string, unknown>;
  capacity?: number;
  /** Pause between the turns of a conversation. */
  gap?: Microseconds;
  /** Concurrent requests per worker; by default the number of slots in the configuration. */
  places?: { model: number; app: number };
  /** Whether workers are slow or stall on purpose, so that gaps within a stream are no fault of the system. */
  stalls?: boolean;
  /** Skips the push of the first configuration. */
  noConfig?: boolean;
  /** Receives the nodes' log lines. */
  log?: (line: string) => void;
  perToken?: Microseconds;
  firstToken?: Microseconds;
  /** Whether the gateways run without the admission scheduler. */
  plain?: boolean;
  /** Number of gateways that the callers use; by default all live ones. */
  gatewayLimit?: number;
};
