// Types of a fleet of real processes (§9.3).
import type { ChildProcess } from 'node:child_process';
import type { Address, Runtime } from '@thornsail/runtime';
import type { Callers } from './callers/index.js';
import type { Layout, Shape } from './shapes.js';
import type { Platform, RequestLog, StandInWorker } from './standins.js';

/** The roles of processes. */
export type Role = 'gateway' | 'agent' | 'coordinator' | 'store';
/** A process of the fleet. */
export type FleetProcess = {
  name: string;
  role: Role;
  /** Address of its HTTP interface. */
  http: Address;
  /** Its settings file, as an object. */
  options: Record<string, unknown>;
  /** Path of its data folder. */
  data: string;
  /** Null while the process does not run. */
  child: ChildProcess | null;
  /** Exit code of the latest run; null if a signal ended it. */
  exit: Promise<number | null>;
  /** True if the harness has stopped the process; an exit without this is a breach. */
  expectDown: boolean;
  /** The last 4000 characters of its standard error. */
  stderr: string;
};
/** A running fleet, its stand-ins, and what tests do with them. */
export type ProcessFleet = {
  runtime: Runtime;
  shape: Shape;
  layout: Layout;
  processes: FleetProcess[];
  callers: Callers;
  requestLog: RequestLog;
  models: StandInWorker[];
  apps: StandInWorker[];
  platform: Platform;
  /** Returns the process of this name; throws if there is none. */
  process: (name: string) => FleetProcess;
  /** Starts a process that does not run. */
  start: (proc: FleetProcess) => void;
  /** Sends a signal; after SIGKILL it also waits for the exit. */
  signal: (name: string, signal: NodeJS.Signals) => Promise<void>;
  /** Deletes the data folder of a process. */
  deleteData: (name: string) => void;
  /** Sends a GET request; the body is the JSON object, or `{ text }` if it is not JSON. */
  get: (at: Address, path: string) => Promise<{ status: number; body: Record<string, unknown> }>;
  /** Sends a request with a JSON body. */
  send: (
    at: Address,
    path: string,
    method: string,
    body: unknown,
    headers: Record<string, string>,
  ) => Promise<{ status: number; body: Record<string, unknown> }>;
  /** Polls until the condition holds; errors count as false. After `limitMs` it adds a breach and resolves. */
  waitFor: (description: string, condition: () => Promise<boolean>, limitMs: number) => Promise<void>;
  /** Sums of the counters of all running gateways. */
  nodeCounts: () => Promise<Record<string, number>>;
  /** Runs chats and jobs that start at random times within `spreadMs`; resolves when all have ended. */
  load: (amounts: { chats: number; storedChats: number; jobs: number; spreadMs: number }) => Promise<void>;
  /** All breaches so far: of the processes, the callers, and the request log of the workers. */
  breaches: () => string[];
  /** Stops all processes and stand-ins, and deletes their data. */
  stop: () => Promise<{ exitCodes: Record<string, number | null>; problems: string[] }>;
};
