/** The HTTP server of a node (§5.6): requests are read whole, answers are streamed or visibly cut. */
import http from 'node:http';
import type net from 'node:net';
import polka from 'polka';
import { flatHeaders } from './headers.js';
import { address } from './address.js';
import type { Cancel } from './clock.js';
import { fault } from './fault.js';
import type { HttpRequest, HttpHandler, HttpLimits, HttpResponseWriter } from './http.js';
import type { Net } from './net.js';

const closeListeners = new WeakMap<net.Socket, Set<() => void>>();
/** One listener for each socket, however many requests its client has sent ahead. */
const onSocketClose = (socket: net.Socket, fn: () => void): Cancel => {
  const known = closeListeners.get(socket);
  const listeners = known ?? new Set();
  listeners.add(fn);
  if (!known) {
    closeListeners.set(socket, listeners);
    socket.once('close', () => {
      for (const listener of [...listeners]) listener();
    });
  }
  return () => void listeners.delete(fn);
};
/**
 * When the client has gone or the answer is over. An answer that waits behind another one of its connection has no
 * socket yet, and isn't told of its end by Node: the request's socket is.
 */
const closing = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Pick<HttpResponseWriter, 'isClosed' | 'onClose'> => {
  const { socket } = req;
  const isClosed = (): boolean => res.destroyed || socket.destroyed;
  const onClose = (fn: () => void): void => {
    if (isClosed()) return fn();
    let told = false;
    const once = (): void => {
      if (told) return;
      told = true;
      forget();
      fn();
    };
    const forget = onSocketClose(socket, once);
    res.once('close', once);
  };
  return { isClosed, onClose };
};
const hasLength = (headers: Record<string, string> | readonly string[]): boolean => {
  const names = Array.isArray(headers) ? headers.filter((_, i) => i % 2 === 0) : Object.keys(headers);
  return names.some((name: string) => name.toLowerCase() === 'content-length');
};
const say = (req: http.IncomingMessage, res: http.ServerResponse): HttpResponseWriter => {
  const { isClosed, onClose } = closing(req, res);
  let framed = false;
  return {
    writeHead: (status, headers) => {
      framed = hasLength(headers);
      res.writeHead(status, headers as Record<string, string>);
    },
    write: (piece) => isClosed() || res.write(piece),
    drained: () =>
      new Promise((fin) => {
        if (isClosed() || !res.writableNeedDrain) return fin();
        res.once('drain', fin);
        onClose(fin);
      }),
    end: (piece) => void res.end(piece),
    abort: () => {
      // Where nothing but the end of the connection ends an answer, only a reset shows that it was cut.
      if (res.headersSent && !framed && !res.chunkedEncoding) res.socket?.resetAndDestroy();
      res.destroy();
    },
    isClosed,
    onClose,
  };
};

/** A handler as Node's own servers and polka call it. */
export type Listener = (req: http.IncomingMessage, res: http.ServerResponse, next?: () => void) => void;
/** Most requests are passed on as bytes: their text and query are made only if somebody reads them. */
const asked = (req: http.IncomingMessage, url: URL, bytes: Buffer, tooBig: boolean): HttpRequest => {
  let text: string | undefined;
  let query: Record<string, string> | undefined;
  const ask = {
    method: req.method ?? 'GET',
    path: url.pathname,
    target: req.url ?? '/',
    headers: flatHeaders(req.headers),
    rawHeaders: req.rawHeaders,
    bytes,
    bodyTooLarge: tooBig,
  };
  return Object.defineProperties(ask, {
    body: { get: () => (text ??= bytes.toString('utf8')), enumerable: true },
    query: { get: () => (query ??= Object.fromEntries(url.searchParams)), enumerable: true },
  }) as unknown as HttpRequest;
};
const addressOf = (req: http.IncomingMessage): URL | undefined => {
  try {
    return new URL(req.url ?? '/', 'http://x');
  } catch {
    return undefined;
  }
};
/**
 * Reads a request whole and hands it to `handler`; if that rejects, the answer is cut.
 * @param maxBody bytes; a longer body is dropped and the request marked `tooBig`, one over four times as long ends the
 * connection
 * @param ours whether a path is served here; for any other path `next` is called, if there is one
 */
export const listener =
  (handler: HttpHandler, maxBody: number | (() => number), ours: (path: string) => boolean = () => true): Listener =>
  (req, res, next) => {
    const out = say(req, res);
    const url = addressOf(req);
    if (!url) {
      out.writeHead(400, { 'content-type': 'application/json' });
      out.end('{"error":"bad_field","field":"path","ran":"no"}');
      return;
    }
    if (next && !ours(url.pathname)) return next();
    const most = typeof maxBody === 'number' ? maxBody : maxBody();
    const parts: Buffer[] = [];
    let size = 0;
    let tooBig = false;
    req.on('data', (piece: Buffer) => {
      size += piece.length;
      if (size > most) {
        tooBig = true;
        parts.length = 0;
      } else parts.push(piece);
      if (size > most * 4) req.destroy();
    });
    req.on('end', () => {
      const ask = asked(req, url, parts.length === 1 ? parts[0]! : Buffer.concat(parts), tooBig);
      Promise.resolve()
        .then(() => handler(ask, out))
        .catch(() => out.abort());
    });
  };

/** How long a close waits for clients that read the end of their answer slowly (§5.6), in microseconds. */
const flushLimit = 5_000_000;
/** The answers that a server still owes bytes to its clients. */
type OpenAnswers = {
  add: (res: http.ServerResponse) => void;
  /** Resolves when every answer that has been ended is with the system, or has failed, at the latest at the limit. */
  flushed: () => Promise<void>;
};
const openAnswers = (): OpenAnswers => {
  const open = new Set<http.ServerResponse>();
  const over = (res: http.ServerResponse): Promise<void> =>
    new Promise((done) => {
      res.once('close', done);
    });
  return {
    add: (res) => {
      open.add(res);
      res.once('close', () => void open.delete(res));
    },
    flushed: async () => {
      const unsent = [...open].filter((res) => res.writableEnded && !res.writableFinished);
      if (!unsent.length) return;
      let timer: NodeJS.Timeout | undefined;
      const limit = new Promise<void>((done) => {
        timer = setTimeout(done, flushLimit / 1000);
      });
      await Promise.race([Promise.all(unsent.map(over)), limit]);
      clearTimeout(timer);
    },
  };
};
const serverClosed = (server: http.Server): Promise<void> =>
  new Promise((done) => {
    server.close(() => done());
    server.closeIdleConnections();
  });

/**
 * Serves HTTP at an address. Its `close` lets answers that were ended be written out, then ends idle connections and
 * resolves once all are closed. Fails at step `http.bind` if the address can't be had.
 */
export const serve: Net['serveHttp'] = (at, handler, limits) =>
  new Promise((done, fail) => {
    const bounds: HttpLimits = typeof limits === 'number' ? { maxBodyBytes: () => limits } : limits;
    const server = http.createServer({ ...(bounds.maxHeaderBytes ? { maxHeaderSize: bounds.maxHeaderBytes } : {}) });
    const setTimes = (): void => {
      server.keepAliveTimeout = bounds.keepAliveTimeout ? bounds.keepAliveTimeout() / 1000 : 5_000;
      if (bounds.headersTimeout) server.headersTimeout = bounds.headersTimeout() / 1000;
    };
    setTimes();
    const times = setInterval(setTimes, 1_000);
    times.unref();
    const answers = openAnswers();
    server.on('request', (_, res) => answers.add(res));
    const listen = listener(handler, bounds.maxBodyBytes);
    const app = polka({
      server,
      onError: (_e, _req, res) => void res.destroy(),
      onNoMatch: (req, res) => listen(req, res),
    });
    server.on('error', (cause) => fail(fault.make({ step: 'http.bind', sibling: at }, cause.message, cause)));
    app.listen(address.port(at), address.host(at), () => {
      const bound = server.address() as net.AddressInfo;
      done({
        at: `${bound.address}:${bound.port}`,
        close: async () => {
          clearInterval(times);
          // Node takes a connection for idle, and destroys it, as soon as its answer is ended, written out or not.
          await answers.flushed();
          await serverClosed(server);
        },
      });
    });
  });
