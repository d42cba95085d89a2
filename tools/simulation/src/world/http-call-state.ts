// One HTTP call of the simulated network: its state, and how each side learns that the other is gone.
import { duration, fault, type HttpClientResponse, type Microseconds } from '@thornsail/runtime';
import type { Host } from './host.js';
import type { BytesRequest } from './http-message.js';
import type { Network } from './network.js';

/** A response whose body comes as bytes. */
export type BytesResponse = Omit<HttpClientResponse, 'body'> & { body: AsyncIterable<Uint8Array> };

/** A call between two processes; each is meant as it was when the call began, and not after a restart. */
export type HttpCall = {
  network: Network;
  request: BytesRequest;
  client: Host;
  server: Host;
  clientIncarnation: number;
  serverIncarnation: number;
  phase: 'connecting' | 'sent' | 'streaming' | 'ended';
  /** Chunks of the body that have arrived and are not yet read. */
  chunks: Uint8Array[];
  bodyEnd: 'complete' | 'broken' | null;
  /** Wakes a reader that waits for a chunk or the end. */
  wakeReader: (() => void) | null;
  /** Bytes that were written and are not yet read. */
  buffered: number;
  isClientGone: boolean;
  onClientGone: (() => void)[];
  onDrained: (() => void)[];
  serverLostPower: boolean;
  /** What the hosts call when their process ends. */
  clientEnded: (silent: boolean) => void;
  serverEnded: (silent: boolean) => void;
  resolve: (response: BytesResponse) => void;
  reject: (error: Error) => void;
};

/** Time for a connection to come up. */
export const connectTimeout: Microseconds = duration.ms(800);

const runAll = (listeners: (() => void)[]): void => {
  for (const run of listeners) run();
};
const failure = (call: HttpCall, sent: boolean, code: string): Error =>
  fault.make({ step: 'http.call', peer: call.request.at, sent, code }, code);

const isSameClient = ({ client, clientIncarnation }: HttpCall): boolean => client.incarnation === clientIncarnation;
const isSamePair = (call: HttpCall): boolean =>
  isSameClient(call) && call.server.incarnation === call.serverIncarnation;

/** What the server puts on the wire, run where the client is. */
const toClient = (call: HttpCall, run: () => void): void => {
  const { network, client, server } = call;
  // A connection belongs to two processes: what either host runs after a restart is not its end any more.
  if (network.isPartitioned(server, client) || !isSamePair(call)) return;
  network.deliver(server, client, () => {
    // The system still sends what a process wrote before it ended.
    if (!network.isPartitioned(server, client) && isSameClient(call) && !call.serverLostPower) run();
  });
};

const wakeReader = (call: HttpCall): void => {
  const wake = call.wakeReader;
  call.wakeReader = null;
  wake?.();
};
const takeDrained = (call: HttpCall): (() => void)[] => {
  const waiting = call.onDrained;
  call.onDrained = [];
  return waiting;
};
const markClientGone = (call: HttpCall): void => {
  call.isClientGone = true;
  const listeners = call.onClientGone;
  call.onClientGone = [];
  runAll(listeners);
};

/** The client gives the call up: the server hears of it, and whoever waits to write goes on. */
const leave = (call: HttpCall): void => {
  const { network, client, server } = call;
  client.connections.delete(call.clientEnded);
  if (call.isClientGone || network.isPartitioned(client, server)) return;
  network.loop.schedule(network.delay(client, server), server, () => {
    markClientGone(call);
    runAll(takeDrained(call));
  });
};

/** Ends a call that has got no further than connecting. */
const failConnect = (call: HttpCall, code: string): void => {
  if (call.phase !== 'connecting') return;
  call.phase = 'ended';
  call.reject(failure(call, false, code));
};
const refuse = (call: HttpCall): void => failConnect(call, 'ECONNREFUSED');

/** Ends a call whose time is up before its response began. */
const expire = (call: HttpCall): void => {
  const { phase } = call;
  if (phase !== 'connecting' && phase !== 'sent') return;
  call.phase = 'ended';
  leave(call);
  call.reject(failure(call, phase === 'sent', 'late'));
};

/** The connection broke. */
const breakOff = (call: HttpCall): void => {
  if (call.phase === 'ended') return;
  if (call.phase === 'sent') {
    call.phase = 'ended';
    call.reject(failure(call, true, 'ECONNRESET'));
  } else if (call.phase === 'connecting') {
    refuse(call);
  } else if (call.bodyEnd === null) {
    call.bodyEnd = 'broken';
    wakeReader(call);
  }
};

/** The server's process ended: the connection breaks behind what it wrote; with its power that is lost too. */
const serverEnded = (call: HttpCall, silent: boolean): void => {
  const { network, client, server } = call;
  if (silent) call.serverLostPower = true;
  else if (!network.isPartitioned(server, client))
    network.deliver(server, client, () => {
      if (isSameClient(call)) breakOff(call);
    });
};
/** The client's process ended. */
const clientEnded = (call: HttpCall, silent: boolean): void => {
  const { network, client, server } = call;
  call.phase = 'ended';
  if (!silent && !network.isPartitioned(client, server))
    network.loop.schedule(network.delay(client, server), server, () => markClientGone(call));
};

type CallOptions = Pick<HttpCall, 'network' | 'request' | 'client' | 'server' | 'resolve' | 'reject'>;
const create = (options: CallOptions): HttpCall => {
  const call: HttpCall = {
    ...options,
    clientIncarnation: options.client.incarnation,
    serverIncarnation: options.server.incarnation,
    phase: 'connecting',
    chunks: [],
    bodyEnd: null,
    wakeReader: null,
    buffered: 0,
    isClientGone: false,
    onClientGone: [],
    onDrained: [],
    serverLostPower: false,
    clientEnded: (silent) => clientEnded(call, silent),
    serverEnded: (silent) => serverEnded(call, silent),
  };
  return call;
};

/** Steps of a call. */
export const httpCallState = {
  create,
  breakOff,
  expire,
  failConnect,
  leave,
  refuse,
  runAll,
  takeDrained,
  toClient,
  wakeReader,
};
