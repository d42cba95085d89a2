// The state of one HTTP call on the simulated network, and how each side detects that the other has ended.
import { duration, fault, type HttpClientResponse, type Microseconds } from '@thornsail/runtime';
import type { Host } from './host.js';
import type { BytesRequest } from './http-message.js';
import type { Network } from './network.js';

/** A response with its body as bytes. */
export type BytesResponse = Omit<HttpClientResponse, 'body'> & { body: AsyncIterable<Uint8Array> };

/** A call between two processes in the incarnations that they had when the call began, not after a restart. */
export type HttpCall = {
  network: Network;
  request: BytesRequest;
  client: Host;
  server: Host;
  clientIncarnation: number;
  serverIncarnation: number;
  phase: 'connecting' | 'sent' | 'streaming' | 'ended';
  /** Chunks of the body that have arrived and were not yet read. */
  chunks: Uint8Array[];
  bodyOutcome: 'complete' | 'broken' | null;
  /** Wakes a reader that waits for a chunk or the end of the body. */
  wakeReader: (() => void) | null;
  /** Bytes that were written and not yet read. */
  buffered: number;
  isClientGone: boolean;
  onClientGone: (() => void)[];
  onDrained: (() => void)[];
  serverLostPower: boolean;
  /** Called by the hosts when their process ends; `silent` if the machine lost power. */
  clientEnded: (silent: boolean) => void;
  serverEnded: (silent: boolean) => void;
  resolve: (response: BytesResponse) => void;
  reject: (error: Error) => void;
};

/** Time in which a connection has to be established. */
export const connectTimeout: Microseconds = duration.ms(800);

const runAll = (listeners: (() => void)[]): void => {
  for (const run of listeners) run();
};
const failure = (call: HttpCall, sent: boolean, code: string): Error =>
  fault.make({ step: 'http.call', peer: call.request.at, sent, code }, code);

const isSameClient = ({ client, clientIncarnation }: HttpCall): boolean => client.incarnation === clientIncarnation;
const isSamePair = (call: HttpCall): boolean =>
  isSameClient(call) && call.server.incarnation === call.serverIncarnation;

/** Sends from the server: runs a callback at the client after the network delay. */
const toClient = (call: HttpCall, run: () => void): void => {
  const { network, client, server } = call;
  // A connection belongs to two processes: after a restart of either host it no longer exists.
  if (network.isPartitioned(server, client) || !isSamePair(call)) return;
  network.deliver(server, client, () => {
    // The operating system still sends what a process wrote before it ended.
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

/** Cancels the call on behalf of the client: notifies the server and resumes writers that wait for buffer space. */
const cancel = (call: HttpCall): void => {
  const { network, client, server } = call;
  client.connections.delete(call.clientEnded);
  if (call.isClientGone || network.isPartitioned(client, server)) return;
  network.loop.schedule(network.delay(client, server), server, () => {
    markClientGone(call);
    runAll(takeDrained(call));
  });
};

/** Fails a call whose connection is not established yet. */
const failConnect = (call: HttpCall, code: string): void => {
  if (call.phase !== 'connecting') return;
  call.phase = 'ended';
  call.reject(failure(call, false, code));
};
const refuse = (call: HttpCall): void => failConnect(call, 'ECONNREFUSED');

/** Fails a call whose response did not begin within the headers timeout. */
const expire = (call: HttpCall): void => {
  const { phase } = call;
  if (phase !== 'connecting' && phase !== 'sent') return;
  call.phase = 'ended';
  cancel(call);
  call.reject(failure(call, phase === 'sent', 'late'));
};

/** Handles a broken connection. */
const breakOff = (call: HttpCall): void => {
  if (call.phase === 'ended') return;
  if (call.phase === 'sent') {
    call.phase = 'ended';
    call.reject(failure(call, true, 'ECONNRESET'));
  } else if (call.phase === 'connecting') {
    refuse(call);
  } else if (call.bodyOutcome === null) {
    call.bodyOutcome = 'broken';
    wakeReader(call);
  }
};

/** The server's process has ended: the connection breaks behind the data written; a power loss drops that as well. */
const serverEnded = (call: HttpCall, silent: boolean): void => {
  const { network, client, server } = call;
  if (silent) call.serverLostPower = true;
  else if (!network.isPartitioned(server, client))
    network.deliver(server, client, () => {
      if (isSameClient(call)) breakOff(call);
    });
};
/** The client's process has ended. */
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
    bodyOutcome: null,
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

/** State transitions of a call. */
export const httpCallState = {
  create,
  breakOff,
  cancel,
  expire,
  failConnect,
  refuse,
  runAll,
  takeDrained,
  toClient,
  wakeReader,
};
