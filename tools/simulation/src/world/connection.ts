// A simulated persistent HTTP connection (§9.2): a TCP connection between two processes, whose client end implements
// the runtime's `connectHttp`. It serves one exchange at a time and is never reused after a failure. Data that a
// partition holds up arrives after it; data in transit from a machine that lost power does not.
import {
  duration,
  fault,
  type Address,
  type HttpConnection,
  type Exchange,
  type ExchangeEvents,
  type Microseconds,
  type Net,
} from '@thornsail/runtime';
import { openOneWayChannel, type OneWayChannel } from './one-way-channel.js';
import type { ClientEnd } from './connection-response.js';
import { openServerEnd, type ServerEnd } from './connection-server.js';
import type { Host } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';

/** TCP keep-alive: time after which a peer that lost power is taken for dead, as its probes go unanswered. */
const keepAliveProbeTimeout: Microseconds = duration.s(11);
/** Delay before an open connection is reused, so that bytes that have arrived meanwhile are processed first. */
const reuseDelay: Microseconds = 20;

type ExchangeState = {
  exchange: Exchange;
  events: ExchangeEvents;
  isPaused: boolean;
  /** Events that arrived while the exchange was paused. */
  queue: (() => void)[];
};
type ConnectOptions = Parameters<Net['connectHttp']>[1];
type ClientState = {
  network: Network;
  host: Host;
  address: Address;
  options: ConnectOptions;
  phase: 'new' | 'connecting' | 'open' | 'closed';
  current: ExchangeState | null;
  /** Headers of the latest response, by lower-case name. */
  headers: Record<string, string>;
  /** Counts exchanges and idle periods; an idle timer of an earlier period does nothing. */
  useCount: number;
  toServer?: OneWayChannel;
  server?: ServerEnd;
  serverHost?: Host;
  processEnded: (silent: boolean) => void;
  serverEnded: (silent: boolean) => void;
};

const failure = (state: ClientState, code: string): Error =>
  fault.make({ step: 'exchange', peer: state.address, code }, code);

const notifyServerClosed = ({ server, toServer }: ClientState): void => {
  if (server) toServer?.send(server.closed);
};
const release = (state: ClientState): void => {
  state.phase = 'closed';
  state.host.connections.delete(state.processEnded);
  state.serverHost?.connections.delete(state.serverEnded);
};
const close = (state: ClientState): void => {
  if (state.phase === 'closed') return;
  if (state.phase === 'open') notifyServerClosed(state);
  release(state);
  state.options.onClosed?.();
};
const breakOff = (state: ClientState, code: string): void => {
  const { current } = state;
  state.current = null;
  close(state);
  current?.events.onError(failure(state, code));
};
/** The client's process has ended; `silent` if its machine lost power, so that the server is not notified. */
const clientProcessEnded = (state: ClientState, silent: boolean): void => {
  state.current = null;
  if (silent) state.toServer?.discard();
  else notifyServerClosed(state);
  release(state);
};
/** Handles a power loss of the server's machine, which sends no reset: keep-alive probes detect it. */
const serverProcessEnded = (state: ClientState, silent: boolean): void => {
  if (!silent) return;
  state.network.loop.schedule(keepAliveProbeTimeout, state.host, () => {
    if (state.phase !== 'closed') breakOff(state, 'ETIMEDOUT');
  });
};

/** After a complete response: closes if its headers demand it, or when the announced keep-alive timeout is over. */
const awaitReuse = (state: ClientState): void => {
  if (state.headers['connection'] === 'close') return close(state);
  const timeout = /timeout=(\d+)/.exec(state.headers['keep-alive'] ?? '');
  const useCount = ++state.useCount;
  if (!timeout) return;
  const seconds = Number(timeout[1]);
  if (seconds === 0) return close(state);
  state.network.loop.schedule(duration.s(seconds), state.host, () => {
    if (state.useCount === useCount && !state.current) close(state);
  });
};

const isDeferred = ({ isPaused, queue }: ExchangeState): boolean => isPaused || queue.length > 0;
/** Runs a callback for the current exchange, once it is not paused. */
const whenReading = (state: ClientState, run: (current: ExchangeState) => void): void => {
  const { current } = state;
  if (state.phase === 'closed') return;
  // Bytes without a pending request: the stream can't be trusted any more.
  if (!current) return close(state);
  if (isDeferred(current)) current.queue.push(() => run(current));
  else run(current);
};

const clientEnd = (state: ClientState): ClientEnd => ({
  head: (status, rawHeaders) =>
    whenReading(state, ({ events }) => {
      state.headers = httpMessage.headerTable(rawHeaders);
      events.onHead(status, state.headers, rawHeaders);
    }),
  data: (bytes) =>
    whenReading(state, ({ events }) => {
      const { server, toServer } = state;
      toServer?.send(() => server?.read(bytes.length));
      events.onData(bytes);
    }),
  end: () =>
    whenReading(state, ({ events }) => {
      state.current = null;
      events.onEnd();
      if (state.phase === 'open') awaitReuse(state);
    }),
  failed: (code) => {
    const { current } = state;
    if (current && isDeferred(current)) current.queue.push(() => breakOff(state, code));
    else breakOff(state, code);
  },
});

const send = (state: ClientState, next: ExchangeState): void => {
  if (state.current !== next || state.phase !== 'open') return;
  state.useCount += 1;
  next.events.onSent();
  const { server, toServer } = state;
  if (state.current === next) toServer?.send(() => server?.request(next.exchange));
};
/** Handles the connection request at the server's machine. */
const accept = (state: ClientState, serverHost: Host, first: ExchangeState, toClient: OneWayChannel): void => {
  const listener = serverHost.http.get(state.address);
  if (!listener) return toClient.send(() => breakOff(state, 'ECONNREFUSED'));
  const isAdmitted = listener.admit(1);
  const { network } = state;
  const server = openServerEnd({ network, host: serverHost, toClient, client: clientEnd(state), listener });
  state.server = server;
  toClient.send(() => {
    if (state.phase !== 'connecting') return notifyServerClosed(state);
    state.phase = 'open';
    send(state, first);
  });
  if (!isAdmitted) server.reset();
};
const open = (state: ClientState, first: ExchangeState): void => {
  const { network, host, address, options } = state;
  const { schedule } = network.loop;
  state.phase = 'connecting';
  host.connections.add(state.processEnded);
  const failUnlessOpen = (code: string) => (): void => {
    if (state.phase === 'connecting') breakOff(state, code);
  };
  schedule(options.connectTimeout, host, failUnlessOpen('UND_ERR_CONNECT_TIMEOUT'));
  const serverHost = network.hostAt(address);
  if (!serverHost) return schedule(duration.ms(1), host, failUnlessOpen('ECONNREFUSED'));
  if (!serverHost.alive && !serverHost.poweredOff && !network.isPartitioned(host, serverHost))
    return schedule(2 * network.delay(host, serverHost), host, failUnlessOpen('ECONNREFUSED'));
  const toClient = openOneWayChannel(network, serverHost, host, () => undefined);
  const toServer = openOneWayChannel(network, host, serverHost, () => breakOff(state, 'ECONNRESET'));
  state.toServer = toServer;
  state.serverHost = serverHost;
  serverHost.connections.add(state.serverEnded);
  toServer.send(() => accept(state, serverHost, first, toClient));
};
const start = (state: ClientState, next: ExchangeState): void => {
  state.current = next;
  if (state.phase === 'new') open(state, next);
  else state.network.loop.schedule(reuseDelay, state.host, () => send(state, next));
};

const controlsOf = (state: ClientState, target: ExchangeState): ReturnType<HttpConnection['exchange']> => ({
  pause: () => {
    target.isPaused = true;
  },
  resume: () => {
    target.isPaused = false;
    while (target.queue.length && !target.isPaused) target.queue.shift()!();
  },
  abort: () => {
    if (state.current === target) breakOff(state, 'cut');
  },
});

/** Creates a connection from a host to an address; it is opened by its first exchange. */
export const connect = (network: Network, host: Host, address: Address, options: ConnectOptions): HttpConnection => {
  const state: ClientState = {
    network,
    host,
    address,
    options,
    phase: 'new',
    current: null,
    headers: {},
    useCount: 0,
    processEnded: (silent) => clientProcessEnded(state, silent),
    serverEnded: (silent) => serverProcessEnded(state, silent),
  };
  return {
    exchange: (exchange, events) => {
      const created: ExchangeState = { exchange, events, isPaused: false, queue: [] };
      if (state.phase === 'closed' || state.current)
        network.loop.schedule(0, host, () => events.onError(failure(state, 'UND_ERR_DESTROYED')));
      else start(state, created);
      return controlsOf(state, created);
    },
    isOpen: () => state.phase !== 'closed',
    close: () => close(state),
  };
};
