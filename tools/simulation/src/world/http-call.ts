// HTTP calls between simulated processes, each on its own connection.
import { duration, type HttpResponseWriter } from '@thornsail/runtime';
import { readBody } from './http-call-body.js';
import { connectTimeout, httpCallState, type BytesResponse, type HttpCall } from './http-call-state.js';
import type { Host } from './host.js';
import { httpMessage, type BytesRequest } from './http-message.js';
import type { Network } from './network.js';
import { responseBuffer } from './response-buffer.js';

const { toClient } = httpCallState;

/** The client aborts the response. */
const abortByClient = (call: HttpCall): void => {
  if (call.phase === 'ended') return;
  call.phase = 'ended';
  call.bodyOutcome ??= 'broken';
  httpCallState.cancel(call);
  httpCallState.wakeReader(call);
};
const beginResponse = (call: HttpCall, ...[status, headers]: Parameters<HttpResponseWriter['writeHead']>): void => {
  if (call.phase !== 'sent') return;
  call.phase = 'streaming';
  call.resolve({
    status,
    headers: httpMessage.headerTable(headers),
    body: readBody(call),
    abort: () => abortByClient(call),
  });
};
const completeResponse = (call: HttpCall): void => {
  call.server.connections.delete(call.serverEnded);
  if (call.bodyOutcome !== null) return;
  call.bodyOutcome = 'complete';
  httpCallState.wakeReader(call);
};

/** The writer that the server's handler gets for its response. */
const responseWriter = (call: HttpCall): HttpResponseWriter => ({
  writeHead: (status, headers) => toClient(call, () => beginResponse(call, status, headers)),
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
    toClient(call, () => completeResponse(call));
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

/** Handles the arrival of the request at the server's machine. */
const handleArrival = (call: HttpCall): void => {
  const { network, request, client, server } = call;
  if (network.isPartitioned(client, server)) return;
  const handler = server.http.get(request.at)?.handler;
  if (!handler) return toClient(call, () => httpCallState.refuse(call));
  // The connection is established and the request sent, unless the client has given up.
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
  network.deliver(client, server, () => handleArrival(call));
  if (!server.alive && !server.poweredOff)
    schedule(network.delay(client, server) * 2, client, () => httpCallState.refuse(call));
};

/** Sends a request from a host; the promise rejects with the errors of the runtime's HTTP client. */
export const callHttp = (network: Network, client: Host, request: BytesRequest): Promise<BytesResponse> =>
  new Promise((resolve, reject) => {
    network.counters.httpCalls += 1;
    const server = network.hostAt(request.at);
    // No host has this address: the connection is refused.
    const call = httpCallState.create({ network, request, client, server: server ?? client, resolve, reject });
    if (server) start(call);
    else network.loop.schedule(duration.ms(1), client, () => httpCallState.refuse(call));
  });
