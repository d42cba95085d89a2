// The server's end of a simulated connection: one exchange at a time, closed when it has been idle for long.
import type { Exchange, HttpRequest } from '@thornsail/runtime';
import type { Lane } from './connection-lane.js';
import { openReply, type Afterwards, type ClientEnd, type Reply } from './connection-reply.js';
import type { Host, HttpListener } from './host.js';
import { httpMessage } from './http-message.js';
import type { Network } from './network.js';

/** What the client puts on the wire, as the server takes it. `read`: the client has read so many bytes. */
export type ServerEnd = {
  request: (exchange: Exchange) => void;
  closed: () => void;
  read: (bytes: number) => void;
  reset: () => void;
};
type ServerOptions = { network: Network; host: Host; toClient: Lane; client: ClientEnd; listener: HttpListener };
type ServerState = ServerOptions & {
  isOpen: boolean;
  reply: Reply | undefined;
  /** Counts the times of rest, so that the timer of an earlier one closes nothing. */
  rests: number;
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

const end = (state: ServerState): void => {
  if (!state.isOpen) return;
  state.isOpen = false;
  state.host.connections.delete(state.processEnded);
  state.listener.admit(-1);
  state.reply?.gone();
};
const shut = (state: ServerState, code: string): void => {
  if (!state.isOpen) return;
  end(state);
  state.toClient.send(() => state.client.broke(code));
};
/** Closes the connection unless a request comes in time. */
const rest = (state: ServerState): void => {
  const { network, host, listener } = state;
  const mine = ++state.rests;
  network.loop.schedule(listener.idleFor(), host, () => {
    if (state.rests === mine && !state.reply) shut(state, 'UND_ERR_SOCKET');
  });
};
const complete = (state: ServerState, then: Afterwards): void => {
  state.reply = undefined;
  if (then === 'closed') shut(state, 'UND_ERR_SOCKET');
  else if (then === 'forgotten') end(state);
  else rest(state);
};
const take = (state: ServerState, exchange: Exchange): void => {
  const { network, host, toClient, client, listener } = state;
  if (!state.isOpen) return toClient.send(() => client.broke('ECONNRESET'));
  state.rests += 1;
  const reply = openReply({
    network,
    host,
    toClient,
    client,
    idleFor: listener.idleFor(),
    isOpen: () => state.isOpen,
    onComplete: (then) => complete(state, then),
    onCut: (code) => shut(state, code),
  });
  state.reply = reply;
  Promise.resolve()
    .then(() => listener.wire(toRequest(network, exchange), reply.writer))
    .catch(() => reply.writer.abort());
};

/** Opens the server's end. */
export const openServerEnd = (options: ServerOptions): ServerEnd => {
  const state: ServerState = {
    ...options,
    isOpen: true,
    reply: undefined,
    rests: 0,
    // Its connections break, or fall silent with the machine.
    processEnded: (silent) => {
      if (silent) options.toClient.lose();
      else shut(state, 'ECONNRESET');
    },
  };
  options.host.connections.add(state.processEnded);
  rest(state);
  return {
    request: (exchange) => take(state, exchange),
    closed: () => end(state),
    read: (bytes) => state.reply?.read(bytes),
    reset: () => shut(state, 'ECONNRESET'),
  };
};
