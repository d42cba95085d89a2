// The server's end of a simulated connection: serves one exchange at a time and closes the connection after the idle
// timeout.
import type { Exchange, HttpRequest } from '@thornsail/runtime';
import type { OneWayChannel } from './one-way-channel.js';
import {
  openResponse,
  type ConnectionDisposition,
  type ClientEnd,
  type ServerResponse,
} from './connection-response.js';
import type { Host, HttpListener } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';

/**
 * Handlers for what the client sends to the server. `closed`: the client closed the connection; `read`: it has read so
 * many more bytes of the response; `reset` closes the connection with ECONNRESET.
 */
export type ServerEnd = {
  request: (exchange: Exchange) => void;
  closed: () => void;
  read: (bytes: number) => void;
  reset: () => void;
};
type ServerOptions = {
  network: Network;
  host: Host;
  toClient: OneWayChannel;
  client: ClientEnd;
  listener: HttpListener;
};
type ServerState = ServerOptions & {
  isOpen: boolean;
  response: ServerResponse | undefined;
  /** Number of the current idle period; an idle timer of an earlier period does nothing. */
  idlePeriod: number;
  processEnded: (silent: boolean) => void;
};

const toRequest = ({ loop, counters }: Network, exchange: Exchange): HttpRequest => {
  counters.httpCalls += 1;
  loop.trace(`${exchange.method}${exchange.target}`);
  return httpMessage.toServerRequest({
    at: '',
    method: exchange.method,
    path: exchange.target,
    rawHeaders: exchange.headers,
    headersTimeout: 0,
    body: exchange.body ?? '',
  });
};

/** Frees the server's end without notifying the client. */
const release = (state: ServerState): void => {
  if (!state.isOpen) return;
  state.isOpen = false;
  state.host.connections.delete(state.processEnded);
  state.listener.admit(-1);
  state.response?.closed();
};
const close = (state: ServerState, code: string): void => {
  if (!state.isOpen) return;
  release(state);
  state.toClient.send(() => state.client.failed(code));
};
/** Closes the connection unless a request arrives within the idle timeout. */
const startIdleTimer = (state: ServerState): void => {
  const { network, host, listener } = state;
  const idlePeriod = ++state.idlePeriod;
  network.loop.schedule(listener.idleTimeout(), host, () => {
    if (state.idlePeriod === idlePeriod && !state.response) close(state, 'UND_ERR_SOCKET');
  });
};
const completeExchange = (state: ServerState, disposition: ConnectionDisposition): void => {
  state.response = undefined;
  if (disposition === 'closed') close(state, 'UND_ERR_SOCKET');
  else if (disposition === 'forgotten') release(state);
  else startIdleTimer(state);
};
const handleExchange = (state: ServerState, exchange: Exchange): void => {
  const { network, host, toClient, client, listener } = state;
  if (!state.isOpen) return toClient.send(() => client.failed('ECONNRESET'));
  state.idlePeriod += 1;
  const response = openResponse({
    network,
    host,
    toClient,
    client,
    idleTimeout: listener.idleTimeout(),
    isOpen: () => state.isOpen,
    onComplete: (disposition) => completeExchange(state, disposition),
    onAborted: (code) => close(state, code),
  });
  state.response = response;
  Promise.resolve()
    .then(() => listener.wire(toRequest(network, exchange), response.writer))
    .catch(() => response.writer.abort());
};

/** Opens the server's end. */
export const openServerEnd = (options: ServerOptions): ServerEnd => {
  const state: ServerState = {
    ...options,
    isOpen: true,
    response: undefined,
    idlePeriod: 0,
    // When the process ends, its connections are reset; when the machine loses power, the client is not notified.
    processEnded: (silent) => {
      if (silent) options.toClient.discard();
      else close(state, 'ECONNRESET');
    },
  };
  options.host.connections.add(state.processEnded);
  startIdleTimer(state);
  return {
    request: (exchange) => handleExchange(state, exchange),
    closed: () => release(state),
    read: (bytes) => state.response?.read(bytes),
    reset: () => close(state, 'ECONNRESET'),
  };
};
