// A simulated process with the machine it runs on: its disk, its clock's skew, and what listens at its addresses.
import { fault, type Address, type HttpHandler, type HttpServer, type Microseconds } from '@thornsail/runtime';
import type { WireHandler } from '@thornsail/test-harness';
import { simulatedDisk, type DiskState } from './disk.js';

/** Something that is to run at a time; dropped when its host has ended or started again by then. */
export type ScheduledEvent = {
  at: Microseconds;
  /** Events of one time run in the order in which they were scheduled. */
  sequence: number;
  /** Null for what the test itself does to the world. */
  host: Host | null;
  incarnation: number;
  run: () => void;
};

/** The frames that a process exchanges at one of its addresses. */
export type FrameListener = {
  receive: (from: Address, text: string) => boolean;
  onDown: (to: Address) => void;
  /** Addresses that frames were sent to: connections to them may break. */
  peers: Set<Address>;
};

/** What listens for HTTP at an address. `admit`: counts a connection in or out; whether it is within the limit. */
export type HttpListener = {
  handler: HttpHandler;
  wire: WireHandler;
  idleFor: () => Microseconds;
  admit: (change: 1 | -1) => boolean;
};

/** A process and its machine. */
export type Host = {
  ip: string;
  zone: string;
  alive: boolean;
  /** Without power nobody says that the process has ended. */
  poweredOff: boolean;
  /** Counts the starts of the process. */
  incarnation: number;
  frozen: boolean;
  /** Events that came due while the process was frozen. */
  deferred: ScheduledEvent[];
  files: Map<string, string>;
  disk: DiskState;
  skew: Microseconds;
  frames: Map<Address, FrameListener>;
  http: Map<Address, HttpListener>;
  /** Connections that this host has a part in; told when its process ends, or that it fell silent. */
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
  skew: 0,
  frames: new Map(),
  http: new Map(),
  connections: new Set(),
});

/** Starts to listen at an address of the host; `mostConnections`: those beyond it are reset. */
const listen = (
  host: Host,
  at: Address,
  listener: Omit<HttpListener, 'admit'>,
  mostConnections = Infinity,
): HttpServer => {
  if (host.http.has(at)) throw fault.make({ step: 'http.bind', peer: at }, 'address in use');
  let connections = 0;
  const admit = (change: 1 | -1): boolean => (connections += change) <= mostConnections;
  host.http.set(at, { ...listener, admit });
  const { incarnation } = host;
  return {
    at,
    close: () => {
      if (host.incarnation === incarnation) host.http.delete(at);
      return Promise.resolve();
    },
  };
};

/** Simulated hosts. */
export const simulatedHost = { create, listen };
