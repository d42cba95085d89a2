// HTTP calls between simulated processes, each over a connection of its own.
import { duration, type HttpResponseWriter } from '@thornsail/runtime';
import { readBody } from './http-call-body.js';
import { connectTimeout, httpCallState, type BytesResponse, type HttpCall } from './http-call-state.js';
import type { Host } from './host.js';
import { httpMessage, type BytesRequest } from './http-message.js';
import type { Network } from './network.js';
import { responseBuffer } from './response-buffer.js';

const { toClient } = httpCallState;

/** The client cuts a response off. */
const cutByClient = (call: HttpCall): void => {
  if (call.phase === 'ended') return;
  call.phase = 'ended';
  call.bodyEnd ??= 'broken';
  httpCallState.leave(call);
  httpCallState.wakeReader(call);
};
const begin = (call: HttpCall, ...[status, headers]: Parameters<HttpResponseWriter['writeHead']>): void => {
  if (call.phase !== 'sent') return;
  call.phase = 'streaming';
  call.resolve({
    status,
    headers: httpMessage.headerTable(headers),
    body: readBody(call),
    abort: () => cutByClient(call),
  });
};
const complete = (call: HttpCall): void => {
  call.server.connections.delete(call.serverEnded);
  if (call.bodyEnd !== null) return;
  call.bodyEnd = 'complete';
  httpCallState.wakeReader(call);
};

/** What the server's handler writes its response with. */
const responseWriter = (call: HttpCall): HttpResponseWriter => ({
  writeHead: (status, headers) => toClient(call, () => begin(call, status, headers)),
  write: (chunk) => {
    const bytes = httpMessage.toBytes(chunk);
    call.buffered += bytes.length;
    toClient(call, () => {
      call.chunks.push(bytes);
      httpCallState.wakeReader(call);
    });
    return call.buffered < responseBuffer.size;
  },
  drained: () =>
    new Promise((resolve) => {
      if (call.buffered < responseBuffer.size || call.isClientGone) resolve();
      else call.onDrained.push(resolve);
    }),
  end: (chunk) => {
    if (chunk !== undefined) toClient(call, () => void call.chunks.push(httpMessage.toBytes(chunk)));
    toClient(call, () => complete(call));
  },
  abort: () => {
    call.isClientGone = true;
    toClient(call, () => {
      call.server.connections.delete(call.serverEnded);
      httpCallState.breakOff(call);
    });
  },
  isClosed: () => call.isClientGone,
  onClose: (run) => {
    if (call.isClientGone) run();
    else call.onClientGone.push(run);
  },
});

/** The request has reached the server's machine. */
const arrive = (call: HttpCall): void => {
  const { network, request, client, server } = call;
  if (network.isPartitioned(client, server)) return;
  const handler = server.http.get(request.at)?.handler;
  if (!handler) return toClient(call, () => httpCallState.refuse(call));
  // The connection is open; the request itself follows.
  if (call.phase !== 'connecting') return;
  call.phase = 'sent';
  server.connections.add(call.serverEnded);
  const writer = responseWriter(call);
  const serverRequest = httpMessage.toServerRequest(request);
  network.loop.trace(`${request.method}${request.path}`);
  Promise.resolve()
    .then(() => handler(serverRequest, writer))
    .catch(() => writer.abort());
};
const start = (call: HttpCall): void => {
  const { network, request, client, server } = call;
  const { schedule } = network.loop;
  schedule(connectTimeout, client, () => httpCallState.failConnect(call, 'UND_ERR_CONNECT_TIMEOUT'));
  schedule(request.headersTimeout, client, () => httpCallState.expire(call));
  client.connections.add(call.clientEnded);
  if (network.isPartitioned(client, server)) return;
  network.deliver(client, server, () => arrive(call));
  if (!server.alive && !server.poweredOff)
    schedule(network.delay(client, server) * 2, client, () => httpCallState.refuse(call));
};

/** Sends a request from a host; the promise fails as the runtime's client does. */
export const callHttp = (network: Network, client: Host, request: BytesRequest): Promise<BytesResponse> =>
  new Promise((resolve, reject) => {
    network.counters.httpCalls += 1;
    const server = network.hostAt(request.at);
    // Nobody has this address: refused at once.
    const call = httpCallState.create({ network, request, client, server: server ?? client, resolve, reject });
    if (server) start(call);
    else network.loop.schedule(duration.ms(1), client, () => httpCallState.refuse(call));
  });
