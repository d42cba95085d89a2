// A kept connection (§9.2): a simulated TCP link between two processes, its client's end as the runtime's `connect`
// gives it: one exchange at a time, never used after a fault. What a partition holds up arrives after it; what was on
// its way from a machine that lost its power does not.
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
import { openLane, type Lane } from './connection-lane.js';
import type { ClientEnd } from './connection-reply.js';
import { openServerEnd, type ServerEnd } from './connection-server.js';
import type { Host } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';

/** A silent peer is given up after the probes of an idle connection went unanswered. */
const keepAliveProbes: Microseconds = duration.s(11);
/** Time for bytes that have come meanwhile to be looked at before a kept connection is used again. */
const beforeReuse: Microseconds = 20;

type ExchangeState = {
  exchange: Exchange;
  events: ExchangeEvents;
  isPaused: boolean;
  /** What came while it was paused. */
  queue: (() => void)[];
};
type Options = Parameters<Net['connectHttp']>[1];
type ClientState = {
  network: Network;
  host: Host;
  at: Address;
  options: Options;
  phase: 'new' | 'connecting' | 'open' | 'closed';
  current: ExchangeState | null;
  /** Headers of the newest response. */
  headers: Record<string, string>;
  /** Counts uses and rests, so that the timer of an earlier rest closes nothing. */
  uses: number;
  toServer?: Lane;
  server?: ServerEnd;
  serverHost?: Host;
  processEnded: (silent: boolean) => void;
  serverEnded: (silent: boolean) => void;
};

const failure = (state: ClientState, code: string): Error =>
  fault.make({ step: 'exchange', peer: state.at, code }, code);

const hangUp = ({ server, toServer }: ClientState): void => {
  if (server) toServer?.send(server.closed);
};
const leave = (state: ClientState): void => {
  state.phase = 'closed';
  state.host.connections.delete(state.processEnded);
  state.serverHost?.connections.delete(state.serverEnded);
};
const close = (state: ClientState): void => {
  if (state.phase === 'closed') return;
  if (state.phase === 'open') hangUp(state);
  leave(state);
  state.options.onClosed?.();
};
const breakOff = (state: ClientState, code: string): void => {
  const { current } = state;
  state.current = null;
  close(state);
  current?.events.onError(failure(state, code));
};
/** This process ended. */
const processEnded = (state: ClientState, silent: boolean): void => {
  state.current = null;
  if (silent) state.toServer?.lose();
  else hangUp(state);
  leave(state);
};
/** The other machine fell silent: nobody says so; probes find out. */
const serverEnded = (state: ClientState, silent: boolean): void => {
  if (!silent) return;
  state.network.loop.schedule(keepAliveProbes, state.host, () => {
    if (state.phase !== 'closed') breakOff(state, 'ETIMEDOUT');
  });
};

/** After a complete response: closed if either side said so, or when the other side is about to. */
const rest = (state: ClientState): void => {
  if (state.headers['connection'] === 'close') return close(state);
  const timeout = /timeout=(\d+)/.exec(state.headers['keep-alive'] ?? '');
  const mine = ++state.uses;
  if (!timeout) return;
  const seconds = Number(timeout[1]);
  if (seconds === 0) return close(state);
  state.network.loop.schedule(duration.s(seconds), state.host, () => {
    if (state.uses === mine && !state.current) close(state);
  });
};

const isHeldBack = ({ isPaused, queue }: ExchangeState): boolean => isPaused || queue.length > 0;
/** Runs for the current exchange, once it is not paused. */
const whenRead = (state: ClientState, run: (current: ExchangeState) => void): void => {
  const { current } = state;
  if (state.phase === 'closed') return;
  // Bytes without a request: whatever they are, the connection is of no use any more.
  if (!current) return close(state);
  if (isHeldBack(current)) current.queue.push(() => run(current));
  else run(current);
};

const clientEnd = (state: ClientState): ClientEnd => ({
  head: (status, rawHeaders) =>
    whenRead(state, ({ events }) => {
      state.headers = httpMessage.headerTable(rawHeaders);
      events.onHead(status, state.headers, rawHeaders);
    }),
  data: (bytes) =>
    whenRead(state, ({ events }) => {
      const { server, toServer } = state;
      toServer?.send(() => server?.read(bytes.length));
      events.onData(bytes);
    }),
  end: () =>
    whenRead(state, ({ events }) => {
      state.current = null;
      events.onEnd();
      if (state.phase === 'open') rest(state);
    }),
  broke: (code) => {
    const { current } = state;
    if (current && isHeldBack(current)) current.queue.push(() => breakOff(state, code));
    else breakOff(state, code);
  },
});

const send = (state: ClientState, next: ExchangeState): void => {
  if (state.current !== next || state.phase !== 'open') return;
  state.uses += 1;
  next.events.onSent();
  const { server, toServer } = state;
  if (state.current === next) toServer?.send(() => server?.request(next.exchange));
};
/** The opening packet has arrived at the server's machine. */
const accept = (state: ClientState, serverHost: Host, first: ExchangeState, toClient: Lane): void => {
  const listener = serverHost.http.get(state.at);
  if (!listener) return toClient.send(() => breakOff(state, 'ECONNREFUSED'));
  const isAdmitted = listener.admit(1);
  const { network } = state;
  const server = openServerEnd({ network, host: serverHost, toClient, client: clientEnd(state), listener });
  state.server = server;
  toClient.send(() => {
    if (state.phase !== 'connecting') return hangUp(state);
    state.phase = 'open';
    send(state, first);
  });
  if (!isAdmitted) server.reset();
};
const open = (state: ClientState, first: ExchangeState): void => {
  const { network, host, at, options } = state;
  const { schedule } = network.loop;
  state.phase = 'connecting';
  host.connections.add(state.processEnded);
  const failUnlessOpen = (code: string) => (): void => {
    if (state.phase === 'connecting') breakOff(state, code);
  };
  schedule(options.connectTimeout, host, failUnlessOpen('UND_ERR_CONNECT_TIMEOUT'));
  const serverHost = network.hostAt(at);
  if (!serverHost) return schedule(duration.ms(1), host, failUnlessOpen('ECONNREFUSED'));
  if (!serverHost.alive && !serverHost.poweredOff && !network.isPartitioned(host, serverHost))
    return schedule(2 * network.delay(host, serverHost), host, failUnlessOpen('ECONNREFUSED'));
  const toClient = openLane(network, serverHost, host, () => undefined);
  const toServer = openLane(network, host, serverHost, () => breakOff(state, 'ECONNRESET'));
  state.toServer = toServer;
  state.serverHost = serverHost;
  serverHost.connections.add(state.serverEnded);
  toServer.send(() => accept(state, serverHost, first, toClient));
};
const start = (state: ClientState, next: ExchangeState): void => {
  state.current = next;
  if (state.phase === 'new') open(state, next);
  else state.network.loop.schedule(beforeReuse, state.host, () => send(state, next));
};

const controlsOf = (state: ClientState, one: ExchangeState): ReturnType<HttpConnection['exchange']> => ({
  pause: () => {
    one.isPaused = true;
  },
  resume: () => {
    one.isPaused = false;
    while (one.queue.length && !one.isPaused) one.queue.shift()!();
  },
  abort: () => {
    if (state.current === one) breakOff(state, 'cut');
  },
});

/** A connection from a host to an address, not opened before its first exchange. */
export const connect = (network: Network, host: Host, at: Address, options: Options): HttpConnection => {
  const state: ClientState = {
    network,
    host,
    at,
    options,
    phase: 'new',
    current: null,
    headers: {},
    uses: 0,
    processEnded: (silent) => processEnded(state, silent),
    serverEnded: (silent) => serverEnded(state, silent),
  };
  return {
    exchange: (exchange, events) => {
      const one: ExchangeState = { exchange, events, isPaused: false, queue: [] };
      if (state.phase === 'closed' || state.current)
        network.loop.schedule(0, host, () => events.onError(failure(state, 'UND_ERR_DESTROYED')));
      else start(state, one);
      return controlsOf(state, one);
    },
    isOpen: () => state.phase !== 'closed',
    close: () => close(state),
  };
};
