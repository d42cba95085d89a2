/**
 * The HTTP server of a node (§5.6). Request bodies are buffered; responses are streamed, and an aborted response never
 * looks complete.
 */
import http from 'node:http';
import polka from 'polka';
import { flatHeaders } from './headers.js';
import type { Address } from './address.js';
import { openMemoryBudget, type MemoryBudget } from './memory-budget.js';
import { readBody, smallBodyBytes } from './body-reader.js';
import type { HttpRequest, HttpHandler, HttpLimits, HttpServer } from './http.js';
import { bindListener, type BindOptions } from './listener.js';
import { openServers, trackResponses, type OpenResponses } from './open-responses.js';
import { responseWriter } from './response-writer.js';

/** A request listener of Node's HTTP server or middleware of polka. */
export type RequestListener = (request: http.IncomingMessage, response: http.ServerResponse, next?: () => void) => void;
/**
 * Converts a Node request. The body text and the query are decoded on first access, because most requests are forwarded
 * as bytes.
 */
const toHttpRequest = (request: http.IncomingMessage, url: URL, bytes: Buffer, bodyTooLarge: boolean): HttpRequest => {
  let text: string | undefined;
  let query: Record<string, string> | undefined;
  const fields = {
    method: request.method ?? 'GET',
    path: url.pathname,
    target: request.url ?? '/',
    headers: flatHeaders(request.headers),
    rawHeaders: request.rawHeaders,
    bytes,
    bodyTooLarge,
  };
  return Object.defineProperties(fields, {
    body: { get: () => (text ??= bytes.toString('utf8')), enumerable: true },
    query: { get: () => (query ??= Object.fromEntries(url.searchParams)), enumerable: true },
  }) as unknown as HttpRequest;
};
/** Parses the request target; undefined if it is not a valid path or URL. */
const parseUrl = (request: http.IncomingMessage): URL | undefined => {
  try {
    return new URL(request.url ?? '/', 'http://x');
  } catch {
    return undefined;
  }
};
/** Connections of a server that sets no limit of its own; further ones are closed, so that descriptors are left. */
const defaultMaxConnections = 500;
/** Memory for the bodies of all requests, or of all responses, at a server that sets no limit of its own, in bytes. */
const defaultMemory = 64 << 20;
/** The memory of a server for the bodies of its requests and of its responses. */
type ServerMemory = { requests: MemoryBudget; responses: MemoryBudget };
const openServerMemory = ({
  bodyMemory = defaultMemory,
  responseMemory = defaultMemory,
}: Partial<HttpLimits>): ServerMemory => ({
  requests: openMemoryBudget(bodyMemory, smallBodyBytes),
  responses: openMemoryBudget(responseMemory, smallBodyBytes),
});
/**
 * Creates a request listener that buffers each request and passes it to `handler`. If the handler rejects, the response
 * is aborted.
 * @param maxBodyBytes a longer body is discarded and the request marked `bodyTooLarge`, and a body over four times as
 * long closes the connection
 * @param memory the memory for the bodies of all requests in progress, and of their responses
 * @param handles whether a path is served here; for any other path `next` is called, if given
 */
export const requestListener =
  (
    handler: HttpHandler,
    maxBodyBytes: number | (() => number),
    handles: (path: string) => boolean = () => true,
    memory: ServerMemory = openServerMemory({}),
  ): RequestListener =>
  (request, response, next) => {
    const writer = responseWriter(request, response, memory.responses);
    // A write that fails ends its response only.
    response.on('error', () => writer.abort());
    const url = parseUrl(request);
    if (!url) {
      writer.writeHead(400, { 'content-type': 'application/json' });
      writer.end('{"error":"bad_field","field":"path","ran":"no"}');
      return;
    }
    if (next && !handles(url.pathname)) return next();
    const limit = typeof maxBodyBytes === 'number' ? maxBodyBytes : maxBodyBytes();
    const release = readBody(request, { limit, budget: memory.requests }, ({ bytes, tooLarge }) => {
      Promise.resolve()
        .then(() => handler(toHttpRequest(request, url, bytes, tooLarge), writer))
        .catch(() => writer.abort())
        .finally(release);
    });
  };

const closeServer = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });

/** Applies the limits that may change while a server runs; returns a function that stops it. */
const applyLimits = (server: http.Server, limits: HttpLimits): (() => void) => {
  const apply = (): void => {
    server.keepAliveTimeout = limits.keepAliveTimeout ? limits.keepAliveTimeout() / 1000 : 5_000;
    if (limits.headersTimeout) server.headersTimeout = limits.headersTimeout() / 1000;
  };
  apply();
  const timer = setInterval(apply, 1_000);
  timer.unref();
  return () => clearInterval(timer);
};

/** While memory for responses is short, one of which the client has taken nothing for this long is broken off. */
const stallTimeoutMs = 1_000;
const stallCheckIntervalMs = 250;
const abortStalledResponses = (responses: OpenResponses, memory: MemoryBudget): (() => void) => {
  const timer = setInterval(() => {
    if (memory.counts().waiting > 0) responses.abortStalled(stallTimeoutMs);
  }, stallCheckIntervalMs);
  timer.unref();
  return () => clearInterval(timer);
};

/**
 * Serves HTTP at an address. `close` first flushes responses that were ended, then closes idle connections, and
 * resolves once all connections are closed. Rejects with step `http.bind` if the address can't be bound.
 */
export const serveHttp = async (
  bindAddress: Address,
  handler: HttpHandler,
  limits: number | HttpLimits,
  binding: BindOptions,
): Promise<HttpServer> => {
  const httpLimits: HttpLimits = typeof limits === 'number' ? { maxBodyBytes: () => limits } : limits;
  const server = http.createServer({
    ...(httpLimits.maxHeaderBytes ? { maxHeaderSize: httpLimits.maxHeaderBytes } : {}),
  });
  server.maxConnections = httpLimits.maxConnections ?? defaultMaxConnections;
  const responses = trackResponses();
  server.on('request', (_, response) => responses.add(response));
  const memory = openServerMemory(httpLimits);
  const listen = requestListener(handler, httpLimits.maxBodyBytes, undefined, memory);
  const app = polka({
    server,
    onError: (_error, _request, response) => void response.destroy(),
    onNoMatch: (request, response) => listen(request, response),
  });
  server.on('request', (request, response) => app.handler(request as polka.Request, response));
  const at = await bindListener(server, bindAddress, 'http', binding);
  const stopLimits = applyLimits(server, httpLimits);
  const stopAborting = abortStalledResponses(responses, memory.responses);
  openServers.add(responses);
  return {
    at,
    close: async () => {
      stopLimits();
      stopAborting();
      openServers.delete(responses);
      // Node treats a connection as idle and destroys it once its response is ended, even if not yet written out.
      await responses.flushed();
      await closeServer(server);
    },
  };
};
