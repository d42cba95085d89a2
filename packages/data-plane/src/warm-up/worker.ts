/** The worker of a warm-up: streams some events for a turn, and answers a tool call with a body. */
import type { Address, HttpHandler, HttpServer, Runtime } from '@thornsail/runtime';
import type { HeaderNames } from '../forward/dialect.js';
import { warmUpNames } from './cluster.js';

const eventCount = 6;
const data = 'x'.repeat(240);
const callBody = 'y'.repeat(800);
const maxBodyBytes = 1 << 20;

const handlerOf =
  (names: HeaderNames): HttpHandler =>
  (request, response) => {
    const confirmation = [names.attempt, request.headers[names.attempt] ?? '', names.seal, 'warm-up'];
    if (request.path.startsWith(warmUpNames.calls)) {
      response.writeHead(200, [...confirmation, 'content-length', String(callBody.length)]);
      response.end(callBody);
      return;
    }
    response.writeHead(200, [...confirmation, 'content-type', 'text/event-stream']);
    for (let id = 1; id <= eventCount; id++) response.write(`id: ${id}\ndata: ${data}\n\n`);
    response.end();
  };

/** Opens a worker that listens at an address; `names` are the headers by which it confirms a request. */
export const openWarmUpWorker = (runtime: Runtime, address: Address, names: HeaderNames): Promise<HttpServer> =>
  runtime.net.serveHttp(address, handlerOf(names), maxBodyBytes);
