// A simulated process and the machine it runs on: its disk, its clock skew, and its listeners by address.
import { fault, type Address, type HttpHandler, type HttpServer, type Microseconds } from '@thornsail/runtime';
import type { FaultyHandler } from '@thornsail/test-harness';
import { simulatedDisk, type DiskState } from './disk.js';

/** A callback scheduled for a time; dropped if its host has ended or restarted by then. */
export type ScheduledEvent = {
  at: Microseconds;
  /** Events due at the same time run in scheduling order. */
  sequence: number;
  /** Null for an event of the test itself, which belongs to no host. */
  host: Host | null;
  /** The host's incarnation when the event was scheduled. */
  incarnation: number;
  run: () => void;
};

/** The frame transport of a process at one of its addresses. */
export type FrameListener = {
  receive: (from: Address, text: string) => boolean;
  onDown: (to: Address) => void;
  /** Addresses that frames were sent to; `onDown` reports broken connections to them. */
  peers: Set<Address>;
};

/**
 * An HTTP listener at an address. `wire` serves persistent connections, `handler` single calls. `admit` adds an opened
 * connection (1) or removes a closed one (-1), and returns whether the count is within the connection limit.
 */
export type HttpListener = {
  handler: HttpHandler;
  wire: FaultyHandler;
  idleTimeout: () => Microseconds;
  admit: (change: 1 | -1) => boolean;
};

/** A process and its machine. */
export type Host = {
  ip: string;
  zone: string;
  alive: boolean;
  /** Whether the machine has no power: peers then get no reset and no refusal. */
  poweredOff: boolean;
  /** Number of the process's current run; incremented when the process ends. */
  incarnation: number;
  frozen: boolean;
  /** Events that became due while the process was frozen. */
  deferred: ScheduledEvent[];
  /** Contents of the data folder by file name. */
  files: Map<string, string>;
  disk: DiskState;
  /** Added to the wall clock. */
  clockSkew: Microseconds;
  frames: Map<Address, FrameListener>;
  http: Map<Address, HttpListener>;
  /** Called when the process ends, one for each connection; `silent` if the machine lost power. */
  connections: Set<(silent: boolean) => void>;
};

const create = (ip: string, zone: string): Host => ({
  ip,
  zone,
  alive: true,
  poweredOff: false,
  incarnation: 1,
  frozen: false,
  deferred: [],
  files: new Map(),
  disk: simulatedDisk.state(),
  clockSkew: 0,
  frames: new Map(),
  http: new Map(),
  connections: new Set(),
});

/** Starts to listen at an address of the host; connections beyond `maxConnections` are reset. */
const listen = (
  host: Host,
  address: Address,
  listener: Omit<HttpListener, 'admit'>,
  maxConnections = Infinity,
): HttpServer => {
  if (host.http.has(address)) throw fault.make({ step: 'http.bind', peer: address }, 'address in use');
  let connections = 0;
  const admit = (change: 1 | -1): boolean => (connections += change) <= maxConnections;
  host.http.set(address, { ...listener, admit });
  const { incarnation } = host;
  return {
    at: address,
    close: () => {
      if (host.incarnation === incarnation) host.http.delete(address);
      return Promise.resolve();
    },
  };
};

/** Simulated hosts. */
export const simulatedHost = { create, listen };
