// The simulator: one process, injected clock, network, disk and random source; the real role code runs on top (§9.2).
// The same seed gives the same events in the same order, folded into a trace hash.
import {
  duration,
  seeded,
  type Address,
  type Clock,
  type Microseconds,
  type Net,
  type Random,
  type Runtime,
} from '@thornsail/runtime';
import type { Wire, WireHandler } from '@thornsail/test-harness';
import { connect } from './connection.js';
import { simulatedDisk, type DiskEnd, type DiskGround } from './disk.js';
import { openEventLoop } from './event-loop.js';
import { hostFaults } from './faults.js';
import { openFrames } from './frames.js';
import { simulatedHost, type Host, type HttpListener } from './host.js';
import { callHttp } from './http-call.js';
import { httpMessage } from './http-message.js';
import { openNetwork, type Network, type NetworkOptions } from './network.js';
import { promiseOf } from './promise-of.js';

/** Hears each line that a node logs. */
export type LogListener = (at: Microseconds, ip: string, part: string, text: string) => void;
/** A simulated world and what a scenario may do to it. */
export type World = {
  rand: Random;
  now: () => Microseconds;
  hash: () => string;
  events: () => number;
  syncs: () => number;
  frames: () => number;
  /** Bytes of frames between zones. */
  zoneBytes: () => number;
  httpCalls: () => number;
  /** A process of its own; several may share a machine's address. */
  host: (ip: string, zone: string) => Host;
  runtime: (host: Host) => Runtime;
  /** Servers on this host that may misbehave. */
  wire: (host: Host) => Wire;
  run: (until: Microseconds) => Promise<void>;
  scheduleAt: (at: Microseconds, run: () => void) => void;
  kill: (host: Host, how: DiskEnd) => void;
  start: (host: Host) => void;
  freeze: (host: Host) => void;
  thaw: (host: Host) => void;
  /** Cuts all traffic between two sets of hosts; returns how to heal it. */
  partition: (a: Host[], b: Host[]) => () => void;
  /** Cuts what goes from one set of hosts to another, and not what comes back. */
  partitionOneWay: (from: Host[], to: Host[]) => () => void;
  /** Adds a delay to every message. */
  slow: (by: Microseconds) => void;
  /** Frames get lost with this chance, come twice with half of it, and overtake one another by up to `jumble`. */
  rough: (loss: number, jumble: Microseconds) => void;
  /** Whether frames that a partition holds up arrive once it is over, as TCP sends them again, or are lost. */
  holdFrames: (on: boolean) => void;
  onLog: (listener: LogListener) => void;
};
/** The network's delays; `diskTime` is the longest time of one sync. */
export type WorldOptions = NetworkOptions & { seed: number; diskTime?: Microseconds };

/** Wall-clock time at the start of a world, in microseconds since 1970. */
const wallClockStart: Microseconds = 1_790_000_000_000_000;
const usualIdleTimeout: Microseconds = duration.s(5);
const seedRange = 2 ** 31;

const listen = (
  network: Network,
  host: Host,
  at: Address,
  listener: Omit<HttpListener, 'admit'>,
  mostConnections?: number,
): ReturnType<typeof simulatedHost.listen> => {
  const server = simulatedHost.listen(host, at, listener, mostConnections);
  network.bind(at, host);
  return server;
};

const clockOf = ({ loop }: Network, host: Host): Clock => ({
  now: loop.now,
  wallTime: () => wallClockStart + loop.now() + host.skew,
  schedule: (after, run) => {
    let isCancelled = false;
    loop.schedule(after, host, () => {
      if (!isCancelled) run();
    });
    return () => {
      isCancelled = true;
    };
  },
});

const netOf = (network: Network, host: Host): Net => ({
  openFrameTransport: (...args) => openFrames(network, host, ...args),
  serveHttp: (at, handler, limits) => {
    const idleFor = (): Microseconds =>
      (typeof limits === 'number' ? undefined : limits.keepAliveTimeout?.()) ?? usualIdleTimeout;
    return promiseOf(() => listen(network, host, at, { handler, wire: handler, idleFor }));
  },
  request: async (request) => {
    const response = await callHttp(network, host, request);
    return { ...response, body: httpMessage.toText(response.body) };
  },
  connectHttp: (at, options) => connect(network, host, at, options),
});

/** Over a connection of one's own a server can misbehave; over a plain call it can only break off. */
const plainHandler =
  (handler: WireHandler): HttpListener['handler'] =>
  (request, writer) =>
    handler(request, {
      ...writer,
      garble: writer.abort,
      reset: writer.abort,
      surplus: () => undefined,
      unframed: () => undefined,
      forget: () => undefined,
    });
const wireOf = (network: Network, host: Host): Wire => ({
  serve: (at, handler, { idleFor, connections }) =>
    promiseOf(() =>
      listen(network, host, at, { handler: plainHandler(handler), wire: handler, idleFor: () => idleFor }, connections),
    ),
});

type Faults = Pick<
  World,
  'kill' | 'start' | 'freeze' | 'thaw' | 'partition' | 'partitionOneWay' | 'slow' | 'rough' | 'holdFrames'
>;
const faultsOf = (network: Network): Faults => ({
  kill: (host, how) => hostFaults.kill(network, host, how),
  start: hostFaults.start,
  freeze: hostFaults.freeze,
  thaw: (host) => hostFaults.thaw(network, host),
  partition: (a, b) => network.partition(a, b, false),
  partitionOneWay: (from, to) => network.partition(from, to, true),
  slow: (by) => {
    network.faults.extraDelay = by;
  },
  rough: (loss, jumble) => void Object.assign(network.faults, { loss, jumble }),
  holdFrames: (on) => {
    network.faults.holdFrames = on;
  },
});

const open = (options: WorldOptions): World => {
  const loop = openEventLoop(options.seed);
  const network = openNetwork(loop, options);
  let syncs = 0;
  let onLog: LogListener | null = null;
  const diskGround: DiskGround<Host> = {
    rand: loop.rand,
    now: loop.now,
    schedule: loop.schedule,
    syncTime: options.diskTime ?? simulatedDisk.usualSyncTime,
    onSync: () => void (syncs += 1),
  };
  return {
    rand: loop.rand,
    now: loop.now,
    hash: loop.hash,
    events: loop.events,
    syncs: () => syncs,
    frames: () => network.counters.frames,
    zoneBytes: () => network.counters.zoneBytes,
    httpCalls: () => network.counters.httpCalls,
    host: (ip, zone) => {
      const host = simulatedHost.create(ip, zone);
      network.addHost(host);
      return host;
    },
    runtime: (host) => ({
      rand: seeded(loop.rand.int(seedRange)),
      clock: clockOf(network, host),
      disk: simulatedDisk.of(diskGround, host),
      net: netOf(network, host),
      log: (part) => (text) => onLog?.(loop.now(), host.ip, part, typeof text === 'string' ? text : text()),
    }),
    wire: (host) => wireOf(network, host),
    run: loop.run,
    scheduleAt: (at, run) => loop.schedule(at - loop.now(), null, run),
    ...faultsOf(network),
    onLog: (listener) => {
      onLog = listener;
    },
  };
};

/** Simulated worlds. */
export const world = { open };
