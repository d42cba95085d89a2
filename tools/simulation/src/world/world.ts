// The simulator: runs the real code of the roles in one process on a simulated clock, network, disk and random source
// (§9.2). The same seed gives the same events in the same order, and so the same trace hash.
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
import type { FaultyHttp, FaultyHandler } from '@thornsail/test-harness';
import { connect } from './connection.js';
import { simulatedDisk, type HostFailure, type DiskEnvironment } from './disk.js';
import { openEventLoop } from './event-loop.js';
import { hostFaults } from './faults.js';
import { openFrames } from './frames.js';
import { simulatedHost, type Host, type HttpListener } from './host.js';
import { callHttp } from './http-call.js';
import { httpMessage } from './http-message.js';
import { openNetwork, type Network, type NetworkOptions } from './network.js';
import { promiseOf } from './promise-of.js';

/** Receives each line that a node logs: simulated time, IP of the host, part label and text. */
export type LogListener = (at: Microseconds, ip: string, part: string, text: string) => void;
/** A simulated environment, its counters, and the faults that a scenario can inject. */
export type World = {
  rand: Random;
  now: () => Microseconds;
  /** The trace hash, in hexadecimal. */
  hash: () => string;
  /** Number of events that ran. */
  events: () => number;
  /** Number of completed disk syncs. */
  syncs: () => number;
  /** Number of frames sent. */
  frames: () => number;
  /** Bytes of the frames sent between zones. */
  zoneBytes: () => number;
  httpCalls: () => number;
  /** Adds a host with one process; several hosts may share an IP. */
  host: (ip: string, zone: string) => Host;
  runtime: (host: Host) => Runtime;
  /** Serves HTTP on this host by handlers that may violate HTTP. */
  wire: (host: Host) => FaultyHttp;
  /** Runs all events up to a time. */
  run: (until: Microseconds) => Promise<void>;
  scheduleAt: (at: Microseconds, run: () => void) => void;
  kill: (host: Host, failure: HostFailure) => void;
  start: (host: Host) => void;
  /** Pauses the process; its events are deferred until `thaw`. */
  freeze: (host: Host) => void;
  thaw: (host: Host) => void;
  /** Blocks all traffic between two sets of hosts; returns a function that heals the partition. */
  partition: (a: Host[], b: Host[]) => () => void;
  /** Blocks traffic from one set of hosts to another, but not in the other direction. */
  partitionOneWay: (from: Host[], to: Host[]) => () => void;
  /** Sets a delay that is added to every message. */
  setExtraDelay: (extraDelay: Microseconds) => void;
  /** Sets the probability of a frame's loss, half of which is that of a duplicate, and the largest reordering delay. */
  setFrameFaults: (loss: number, reorderWithin: Microseconds) => void;
  /** Sets whether frames that a partition blocked are retransmitted when it heals, as TCP does, or are lost. */
  setFrameRetransmission: (isEnabled: boolean) => void;
  onLog: (listener: LogListener) => void;
};
/** The network's delays, the random seed, and `diskTime`, the longest duration of one disk sync. */
export type WorldOptions = NetworkOptions & { seed: number; diskTime?: Microseconds };

/** Wall-clock time at the start of a world, in microseconds since 1970. */
const wallClockStart: Microseconds = 1_790_000_000_000_000;
const defaultIdleTimeout: Microseconds = duration.s(5);
const seedRange = 2 ** 31;

const listen = (
  network: Network,
  host: Host,
  address: Address,
  listener: Omit<HttpListener, 'admit'>,
  maxConnections?: number,
): ReturnType<typeof simulatedHost.listen> => {
  const server = simulatedHost.listen(host, address, listener, maxConnections);
  network.bind(address, host);
  return server;
};

const clockOf = ({ loop }: Network, host: Host): Clock => ({
  now: loop.now,
  wallTime: () => wallClockStart + loop.now() + host.clockSkew,
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
  serveHttp: (address, handler, limits) => {
    const idleTimeout = (): Microseconds =>
      (typeof limits === 'number' ? undefined : limits.keepAliveTimeout?.()) ?? defaultIdleTimeout;
    return promiseOf(() => listen(network, host, address, { handler, wire: handler, idleTimeout }));
  },
  request: async (request) => {
    const response = await callHttp(network, host, request);
    return { ...response, body: httpMessage.toText(response.body) };
  },
  connectHttp: (address, options) => connect(network, host, address, options),
});

/** Adapts a handler for single calls, on which a protocol violation is not possible and aborts the response instead. */
const singleCallHandler =
  (handler: FaultyHandler): HttpListener['handler'] =>
  (request, writer) =>
    handler(request, {
      ...writer,
      sendGarbage: writer.abort,
      reset: writer.abort,
      surplus: () => undefined,
      omitFraming: () => undefined,
      resetNextRequest: () => undefined,
    });
const wireOf = (network: Network, host: Host): FaultyHttp => ({
  serve: (address, handler, { idleFor, connections }) =>
    promiseOf(() =>
      listen(
        network,
        host,
        address,
        { handler: singleCallHandler(handler), wire: handler, idleTimeout: () => idleFor },
        connections,
      ),
    ),
});

type Faults = Pick<
  World,
  | 'kill'
  | 'start'
  | 'freeze'
  | 'thaw'
  | 'partition'
  | 'partitionOneWay'
  | 'setExtraDelay'
  | 'setFrameFaults'
  | 'setFrameRetransmission'
>;
const faultsOf = (network: Network): Faults => ({
  kill: (host, failure) => hostFaults.kill(network, host, failure),
  start: hostFaults.start,
  freeze: hostFaults.freeze,
  thaw: (host) => hostFaults.thaw(network, host),
  partition: (a, b) => network.partition(a, b, false),
  partitionOneWay: (from, to) => network.partition(from, to, true),
  setExtraDelay: (extraDelay) => {
    network.faults.extraDelay = extraDelay;
  },
  setFrameFaults: (loss, reorderWithin) => void Object.assign(network.faults, { loss, reorderWithin }),
  setFrameRetransmission: (isEnabled) => {
    network.faults.retransmitFrames = isEnabled;
  },
});

const open = (options: WorldOptions): World => {
  const loop = openEventLoop(options.seed);
  const network = openNetwork(loop, options);
  let syncs = 0;
  let onLog: LogListener | null = null;
  const diskEnvironment: DiskEnvironment<Host> = {
    rand: loop.rand,
    now: loop.now,
    schedule: loop.schedule,
    syncTime: options.diskTime ?? simulatedDisk.defaultSyncTime,
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
      disk: simulatedDisk.of(diskEnvironment, host),
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

/** Creates simulated worlds. */
export const world = { open };
