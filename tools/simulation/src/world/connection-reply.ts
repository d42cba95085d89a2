// The server's side of one exchange on a simulated connection: its response, which may misbehave.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { WireSay } from '@thornsail/test-harness';
import type { Lane } from './connection-lane.js';
import type { Host } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';
import { responseBuffer } from './response-buffer.js';

/** What the server puts on the wire, as the client's parser takes it. */
export type ClientEnd = {
  head: (status: number, rawHeaders: readonly string[]) => void;
  data: (bytes: Uint8Array) => void;
  end: () => void;
  broke: (code: string) => void;
};

/** What becomes of a connection behind a complete response. */
export type Afterwards = 'kept' | 'closed' | 'forgotten';

/** What a response needs of its connection. */
export type ReplyOptions = {
  network: Network;
  host: Host;
  toClient: Lane;
  client: ClientEnd;
  idleFor: Microseconds;
  isOpen: () => boolean;
  /** The response is complete. */
  onComplete: (then: Afterwards) => void;
  /** The response is broken off with its connection. */
  onCut: (code: string) => void;
};
/** A response that is being written. `read`: the client has read so many bytes. */
export type Reply = { writer: WireSay; gone: () => void; read: (bytes: number) => void };

type ReplyState = {
  options: ReplyOptions;
  isGone: boolean;
  buffered: number;
  afterwards: Afterwards;
  isUnframed: boolean;
  onGone: (() => void)[];
  onDrained: (() => void)[];
  onComplete: (then: Afterwards) => void;
};

const runDrained = (state: ReplyState): void => {
  const all = state.onDrained;
  state.onDrained = [];
  for (const run of all) run();
};
const gone = (state: ReplyState): void => {
  if (state.isGone) return;
  state.isGone = true;
  const all = state.onGone;
  state.onGone = [];
  for (const run of all) run();
  runDrained(state);
};
const cut = (state: ReplyState, code: string): void => {
  gone(state);
  state.options.onCut(code);
};

const head = (state: ReplyState, ...[status, headers]: Parameters<WireSay['writeHead']>): void => {
  const { toClient, client, idleFor } = state.options;
  const raw = httpMessage.toRawHeaders(headers);
  const table = httpMessage.headerTable(raw);
  const closes = state.isUnframed || table['connection'] === 'close';
  if (closes) state.afterwards = 'closed';
  const seconds = Math.floor(idleFor / duration.s(1));
  const keepAlive = ['connection', 'keep-alive', 'keep-alive', `timeout=${seconds}`];
  const all = closes || table['keep-alive'] !== undefined ? raw : [...raw, ...keepAlive];
  if (!state.isGone) toClient.send(() => client.head(status, all));
};
const write = (state: ReplyState, chunk: string | Uint8Array): boolean => {
  const { toClient, client } = state.options;
  if (state.isGone) return true;
  const bytes = httpMessage.toBytes(chunk);
  state.buffered += bytes.length;
  toClient.send(() => client.data(bytes));
  return state.buffered < responseBuffer.size;
};
const end = (state: ReplyState, chunk?: string | Uint8Array): void => {
  const { toClient, client } = state.options;
  if (state.isGone) return;
  if (chunk !== undefined && chunk.length) write(state, chunk);
  toClient.send(client.end);
  state.onComplete(state.afterwards);
};
/** Sends a response that nobody asked for, some time behind this one. */
const surplus = (state: ReplyState, ...[after, status, headers, body]: Parameters<WireSay['surplus']>): void => {
  const { network, host, toClient, client, isOpen } = state.options;
  const send = (): void => {
    if (!isOpen()) return;
    toClient.send(() => client.head(status, headers));
    toClient.send(() => client.data(body));
    toClient.send(client.end);
  };
  const { onComplete } = state;
  state.onComplete = (then): void => {
    onComplete(then);
    network.loop.schedule(after, host, send);
  };
};

const writerOf = (state: ReplyState): WireSay => ({
  writeHead: (status, headers) => head(state, status, headers),
  write: (chunk) => write(state, chunk),
  drained: () =>
    new Promise((resolve) => {
      if (state.buffered < responseBuffer.size || state.isGone) resolve();
      else state.onDrained.push(resolve);
    }),
  end: (chunk) => end(state, chunk),
  abort: () => cut(state, 'UND_ERR_SOCKET'),
  isClosed: () => state.isGone,
  onClose: (run) => (state.isGone ? run() : void state.onGone.push(run)),
  garble: () => state.options.toClient.send(() => state.options.client.broke('HPE_INVALID_CONSTANT')),
  reset: () => cut(state, 'ECONNRESET'),
  surplus: (...args) => surplus(state, ...args),
  unframed: () => {
    state.isUnframed = true;
  },
  forget: () => {
    state.afterwards = 'forgotten';
  },
});

/** Opens the response to one exchange. */
export const openReply = (options: ReplyOptions): Reply => {
  const state: ReplyState = {
    options,
    isGone: false,
    buffered: 0,
    afterwards: 'kept',
    isUnframed: false,
    onGone: [],
    onDrained: [],
    onComplete: options.onComplete,
  };
  return {
    writer: writerOf(state),
    gone: () => gone(state),
    read: (bytes) => {
      state.buffered -= bytes;
      if (state.buffered < responseBuffer.resumeBelow) runDrained(state);
    },
  };
};
