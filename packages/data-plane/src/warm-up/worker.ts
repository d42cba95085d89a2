/** The worker of a warm-up: streams a few events for a turn, and answers a call with a body. */
import type { Address, HttpHandler, HttpServer, Runtime } from '@thornsail/runtime';
import type { HeaderNames } from '../forward/dialect.js';
import { warmUpNames } from './cluster.js';

const eventCount = 6;
const data = 'x'.repeat(240);
const callBody = 'y'.repeat(800);
const largestRequest = 1 << 20;

const handlerOf =
  (names: HeaderNames): HttpHandler =>
  (request, response) => {
    const proof = [names.attempt, request.headers[names.attempt] ?? '', names.seal, 'warm-up'];
    if (request.path.startsWith(warmUpNames.calls)) {
      response.writeHead(200, [...proof, 'content-length', String(callBody.length)]);
      response.end(callBody);
      return;
    }
    response.writeHead(200, [...proof, 'content-type', 'text/event-stream']);
    for (let id = 1; id <= eventCount; id++) response.write(`id: ${id}\ndata: ${data}\n\n`);
    response.end();
  };

/** Listens at an address. */
export const openWarmUpWorker = (runtime: Runtime, at: Address, names: HeaderNames): Promise<HttpServer> =>
  runtime.net.serveHttp(at, handlerOf(names), largestRequest);
