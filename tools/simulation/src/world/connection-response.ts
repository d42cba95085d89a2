// The server's side of one exchange on a simulated connection: writes the response, which may violate HTTP on purpose.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { FaultyWriter } from '@thornsail/test-harness';
import type { OneWayChannel } from './one-way-channel.js';
import type { Host } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';
import { responseBuffer } from './response-buffer.js';

/** The client's parser events for what the server sends; `failed` carries the code of the connection error. */
export type ClientEnd = {
  head: (status: number, rawHeaders: readonly string[]) => void;
  data: (bytes: Uint8Array) => void;
  end: () => void;
  failed: (code: string) => void;
};

/**
 * State of the server's end after a complete response: `keep-alive` awaits the next request, `closed` closes the
 * connection, `forgotten` drops it without notifying the client.
 */
export type ConnectionDisposition = 'keep-alive' | 'closed' | 'forgotten';

/** The connection of a response and its callbacks; `idleTimeout` is announced in the Keep-Alive header. */
export type ResponseOptions = {
  network: Network;
  host: Host;
  toClient: OneWayChannel;
  client: ClientEnd;
  idleTimeout: Microseconds;
  isOpen: () => boolean;
  /** Called when the response is complete. */
  onComplete: (disposition: ConnectionDisposition) => void;
  /** Called when the response and its connection are aborted, with the error code that the client gets. */
  onAborted: (code: string) => void;
};
/**
 * A response in progress. `closed` marks its connection as closed; `read` reports how many more bytes the client has
 * read.
 */
export type ServerResponse = { writer: FaultyWriter; closed: () => void; read: (bytes: number) => void };

type ResponseState = {
  options: ResponseOptions;
  isClosed: boolean;
  /** Bytes that were written and not yet read by the client. */
  buffered: number;
  disposition: ConnectionDisposition;
  /** The response has no length: it ends with its connection. */
  isUnframed: boolean;
  onClose: (() => void)[];
  onDrained: (() => void)[];
  onComplete: (disposition: ConnectionDisposition) => void;
};

const notifyDrained = (state: ResponseState): void => {
  const waiting = state.onDrained;
  state.onDrained = [];
  for (const run of waiting) run();
};
const markClosed = (state: ResponseState): void => {
  if (state.isClosed) return;
  state.isClosed = true;
  const listeners = state.onClose;
  state.onClose = [];
  for (const run of listeners) run();
  notifyDrained(state);
};
const abort = (state: ResponseState, code: string): void => {
  markClosed(state);
  state.options.onAborted(code);
};

const writeHead = (state: ResponseState, ...[status, headers]: Parameters<FaultyWriter['writeHead']>): void => {
  const { toClient, client, idleTimeout } = state.options;
  const raw = httpMessage.toRawHeaders(headers);
  const table = httpMessage.headerTable(raw);
  const closes = state.isUnframed || table['connection'] === 'close';
  if (closes) state.disposition = 'closed';
  const seconds = Math.floor(idleTimeout / duration.s(1));
  const keepAlive = ['connection', 'keep-alive', 'keep-alive', `timeout=${seconds}`];
  const sentHeaders = closes || table['keep-alive'] !== undefined ? raw : [...raw, ...keepAlive];
  if (!state.isClosed) toClient.send(() => client.head(status, sentHeaders));
};
const write = (state: ResponseState, chunk: string | Uint8Array): boolean => {
  const { toClient, client } = state.options;
  if (state.isClosed) return true;
  const bytes = httpMessage.toBytes(chunk);
  state.buffered += bytes.length;
  toClient.send(() => client.data(bytes));
  return state.buffered < responseBuffer.size;
};
const end = (state: ResponseState, chunk?: string | Uint8Array): void => {
  const { toClient, client } = state.options;
  if (state.isClosed) return;
  if (chunk !== undefined && chunk.length) write(state, chunk);
  toClient.send(client.end);
  state.onComplete(state.disposition);
};
/** Sends a second, unrequested response on the same connection, `after` microseconds behind this one. */
const sendSurplus = (
  state: ResponseState,
  ...[after, status, headers, body]: Parameters<FaultyWriter['surplus']>
): void => {
  const { network, host, toClient, client, isOpen } = state.options;
  const send = (): void => {
    if (!isOpen()) return;
    toClient.send(() => client.head(status, headers));
    toClient.send(() => client.data(body));
    toClient.send(client.end);
  };
  const { onComplete } = state;
  state.onComplete = (disposition): void => {
    onComplete(disposition);
    network.loop.schedule(after, host, send);
  };
};

const writerOf = (state: ResponseState): FaultyWriter => ({
  writeHead: (status, headers) => writeHead(state, status, headers),
  write: (chunk) => write(state, chunk),
  drained: () =>
    new Promise((resolve) => {
      if (state.buffered < responseBuffer.size || state.isClosed) resolve();
      else state.onDrained.push(resolve);
    }),
  end: (chunk) => end(state, chunk),
  abort: () => abort(state, 'UND_ERR_SOCKET'),
  isClosed: () => state.isClosed,
  onClose: (run) => (state.isClosed ? run() : void state.onClose.push(run)),
  sendGarbage: () => state.options.toClient.send(() => state.options.client.failed('HPE_INVALID_CONSTANT')),
  reset: () => abort(state, 'ECONNRESET'),
  surplus: (...args) => sendSurplus(state, ...args),
  omitFraming: () => {
    state.isUnframed = true;
  },
  resetNextRequest: () => {
    state.disposition = 'forgotten';
  },
});

/** Opens the response to one exchange. */
export const openResponse = (options: ResponseOptions): ServerResponse => {
  const state: ResponseState = {
    options,
    isClosed: false,
    buffered: 0,
    disposition: 'keep-alive',
    isUnframed: false,
    onClose: [],
    onDrained: [],
    onComplete: options.onComplete,
  };
  return {
    writer: writerOf(state),
    closed: () => markClosed(state),
    read: (bytes) => {
      state.buffered -= bytes;
      if (state.buffered < responseBuffer.resumeBelow) notifyDrained(state);
    },
  };
};
