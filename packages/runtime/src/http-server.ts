/**
 * The HTTP server of a node (§5.6). Request bodies are buffered; responses are streamed, and an aborted response never
 * looks complete.
 */
import http from 'node:http';
import type net from 'node:net';
import polka from 'polka';
import { flatHeaders } from './headers.js';
import { address } from './address.js';
import { openBodyBudget, type BodyBudget } from './body-budget.js';
import { readBody, smallBodyBytes } from './body-reader.js';
import type { Cancel } from './clock.js';
import { fault } from './fault.js';
import type { HttpRequest, HttpHandler, HttpLimits, HttpResponseWriter } from './http.js';
import type { Net } from './net.js';

/** The close callbacks of each socket. */
const closeListeners = new WeakMap<net.Socket, Set<() => void>>();
/** Adds a close callback; each socket has one `close` listener, however many pipelined requests it carries. */
const onSocketClose = (socket: net.Socket, callback: () => void): Cancel => {
  const existing = closeListeners.get(socket);
  const listeners = existing ?? new Set();
  listeners.add(callback);
  if (!existing) {
    closeListeners.set(socket, listeners);
    socket.once('close', () => {
      for (const listener of [...listeners]) listener();
    });
  }
  return () => void listeners.delete(callback);
};
/**
 * Reports that the client has disconnected or the response is finished. Node emits no `close` for a pipelined response
 * that has no socket yet, so the socket of the request is watched, too.
 */
const closeNotifier = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Pick<HttpResponseWriter, 'isClosed' | 'onClose'> => {
  const { socket } = request;
  const isClosed = (): boolean => response.destroyed || socket.destroyed;
  const onClose = (callback: () => void): void => {
    if (isClosed()) return callback();
    let notified = false;
    const notify = (): void => {
      if (notified) return;
      notified = true;
      unsubscribe();
      callback();
    };
    const unsubscribe = onSocketClose(socket, notify);
    response.once('close', notify);
  };
  return { isClosed, onClose };
};
const includesContentLength = (headers: Record<string, string> | readonly string[]): boolean => {
  const names = Array.isArray(headers) ? headers.filter((_, i) => i % 2 === 0) : Object.keys(headers);
  return names.some((name: string) => name.toLowerCase() === 'content-length');
};
const responseWriter = (request: http.IncomingMessage, response: http.ServerResponse): HttpResponseWriter => {
  const { isClosed, onClose } = closeNotifier(request, response);
  let hasContentLength = false;
  return {
    writeHead: (status, headers) => {
      hasContentLength = includesContentLength(headers);
      response.writeHead(status, headers as Record<string, string>);
    },
    write: (chunk) => isClosed() || response.write(chunk),
    drained: () =>
      new Promise((resolve) => {
        if (isClosed() || !response.writableNeedDrain) return resolve();
        response.once('drain', resolve);
        onClose(resolve);
      }),
    end: (chunk) => void response.end(chunk),
    abort: () => {
      // A response that is delimited by the end of the connection looks complete unless the connection is reset.
      if (response.headersSent && !hasContentLength && !response.chunkedEncoding) response.socket?.resetAndDestroy();
      response.destroy();
    },
    isClosed,
    onClose,
  };
};

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
/** Memory for the bodies of all requests in progress at a server that sets no limit of its own, in bytes. */
const defaultBodyMemory = 64 << 20;
/**
 * Creates a request listener that buffers each request and passes it to `handler`. If the handler rejects, the response
 * is aborted.
 * @param maxBodyBytes a longer body is discarded and the request marked `bodyTooLarge`, and a body over four times as
 * long closes the connection
 * @param budget the memory for the bodies of all requests in progress
 * @param handles whether a path is served here; for any other path `next` is called, if given
 */
export const requestListener =
  (
    handler: HttpHandler,
    maxBodyBytes: number | (() => number),
    handles: (path: string) => boolean = () => true,
    budget: BodyBudget = openBodyBudget(defaultBodyMemory, smallBodyBytes),
  ): RequestListener =>
  (request, response, next) => {
    const writer = responseWriter(request, response);
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
    const release = readBody(request, { limit, budget }, ({ bytes, tooLarge }) => {
      Promise.resolve()
        .then(() => handler(toHttpRequest(request, url, bytes, tooLarge), writer))
        .catch(() => writer.abort())
        .finally(release);
    });
  };

/** Longest time that `close` waits for clients that read their response slowly (§5.6), in microseconds. */
const flushTimeout = 5_000_000;
/** The responses of a server that are not yet closed. */
type OpenResponses = {
  add: (response: http.ServerResponse) => void;
  /** Resolves once every ended response is handed to the operating system or has failed, or after `flushTimeout`. */
  flushed: () => Promise<void>;
  /** Bytes that are written and not yet handed to the operating system. */
  unsentBytes: () => number;
};
const trackResponses = (): OpenResponses => {
  const open = new Set<http.ServerResponse>();
  const whenClosed = (response: http.ServerResponse): Promise<void> =>
    new Promise((resolve) => {
      response.once('close', resolve);
    });
  return {
    add: (response) => {
      open.add(response);
      response.once('close', () => void open.delete(response));
    },
    flushed: async () => {
      const unsent = [...open].filter((response) => response.writableEnded && !response.writableFinished);
      if (!unsent.length) return;
      let timer: NodeJS.Timeout | undefined;
      const timeout = new Promise<void>((resolve) => {
        timer = setTimeout(resolve, flushTimeout / 1000);
      });
      await Promise.race([Promise.all(unsent.map(whenClosed)), timeout]);
      clearTimeout(timer);
    },
    unsentBytes: () => {
      let bytes = 0;
      for (const response of open) bytes += response.writableLength;
      return bytes;
    },
  };
};
/** The responses of all open servers of this process. */
const openServers = new Set<OpenResponses>();
/** Bytes of responses that clients of this process's servers have not taken yet. */
export const unsentResponseBytes = (): number => {
  let bytes = 0;
  for (const responses of openServers) bytes += responses.unsentBytes();
  return bytes;
};
const closeServer = (server: http.Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });

/**
 * Serves HTTP at an address. `close` first flushes responses that were ended, then closes idle connections, and
 * resolves once all connections are closed. Rejects with step `http.bind` if the address can't be bound.
 */
export const serveHttp: Net['serveHttp'] = (bindAddress, handler, limits) =>
  new Promise((resolve, reject) => {
    const httpLimits: HttpLimits = typeof limits === 'number' ? { maxBodyBytes: () => limits } : limits;
    const server = http.createServer({
      ...(httpLimits.maxHeaderBytes ? { maxHeaderSize: httpLimits.maxHeaderBytes } : {}),
    });
    server.maxConnections = httpLimits.maxConnections ?? defaultMaxConnections;
    const applyTimeouts = (): void => {
      server.keepAliveTimeout = httpLimits.keepAliveTimeout ? httpLimits.keepAliveTimeout() / 1000 : 5_000;
      if (httpLimits.headersTimeout) server.headersTimeout = httpLimits.headersTimeout() / 1000;
    };
    applyTimeouts();
    const refreshTimer = setInterval(applyTimeouts, 1_000);
    refreshTimer.unref();
    const responses = trackResponses();
    openServers.add(responses);
    server.on('request', (_, response) => responses.add(response));
    const listen = requestListener(
      handler,
      httpLimits.maxBodyBytes,
      undefined,
      openBodyBudget(httpLimits.bodyMemory ?? defaultBodyMemory, smallBodyBytes),
    );
    const app = polka({
      server,
      onError: (_error, _request, response) => void response.destroy(),
      onNoMatch: (request, response) => listen(request, response),
    });
    server.on('error', (cause) => reject(fault.make({ step: 'http.bind', peer: bindAddress }, cause.message, cause)));
    app.listen(address.port(bindAddress), address.host(bindAddress), () => {
      const bound = server.address() as net.AddressInfo;
      resolve({
        at: `${bound.address}:${bound.port}`,
        close: async () => {
          clearInterval(refreshTimer);
          openServers.delete(responses);
          // Node treats a connection as idle and destroys it once its response is ended, even if not yet written out.
          await responses.flushed();
          await closeServer(server);
        },
      });
    });
  });
