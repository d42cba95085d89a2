/** The HTTP server of a node (§5.6): requests are read whole, answers are streamed or visibly cut. */
import http from 'node:http';
import type net from 'node:net';
import polka from 'polka';
import { flatHeaders } from './headers.js';
import {
  fault,
  place,
  type HttpAsk,
  type HttpHandler,
  type HttpLimits,
  type HttpSay,
  type Net,
  type Stop,
} from './index.js';

const closeListeners = new WeakMap<net.Socket, Set<() => void>>();
/** One listener for each socket, however many requests its client has sent ahead. */
const onSocketClose = (socket: net.Socket, fn: () => void): Stop => {
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
const departure = (req: http.IncomingMessage, res: http.ServerResponse): Pick<HttpSay, 'gone' | 'onGone'> => {
  const { socket } = req;
  const gone = (): boolean => res.destroyed || socket.destroyed;
  const onGone = (fn: () => void): void => {
    if (gone()) return fn();
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
  return { gone, onGone };
};
const hasLength = (headers: Record<string, string> | readonly string[]): boolean => {
  const names = Array.isArray(headers) ? headers.filter((_, i) => i % 2 === 0) : Object.keys(headers);
  return names.some((name: string) => name.toLowerCase() === 'content-length');
};
const say = (req: http.IncomingMessage, res: http.ServerResponse): HttpSay => {
  const { gone, onGone } = departure(req, res);
  let framed = false;
  return {
    head: (status, headers) => {
      framed = hasLength(headers);
      res.writeHead(status, headers as Record<string, string>);
    },
    write: (piece) => gone() || res.write(piece),
    drained: () =>
      new Promise((fin) => {
        if (gone() || !res.writableNeedDrain) return fin();
        res.once('drain', fin);
        onGone(fin);
      }),
    end: (piece) => void res.end(piece),
    cut: () => {
      // Where nothing but the end of the connection ends an answer, only a reset shows that it was cut.
      if (res.headersSent && !framed && !res.chunkedEncoding) res.socket?.resetAndDestroy();
      res.destroy();
    },
    gone,
    onGone,
  };
};

/** A handler as Node's own servers and polka call it. */
export type Listener = (req: http.IncomingMessage, res: http.ServerResponse, next?: () => void) => void;
/** Most requests are passed on as bytes: their text and query are made only if somebody reads them. */
const asked = (req: http.IncomingMessage, url: URL, bytes: Buffer, tooBig: boolean): HttpAsk => {
  let text: string | undefined;
  let query: Record<string, string> | undefined;
  const ask = {
    method: req.method ?? 'GET',
    path: url.pathname,
    target: req.url ?? '/',
    headers: flatHeaders(req.headers),
    rawHeaders: req.rawHeaders,
    bytes,
    tooBig,
  };
  return Object.defineProperties(ask, {
    body: { get: () => (text ??= bytes.toString('utf8')), enumerable: true },
    query: { get: () => (query ??= Object.fromEntries(url.searchParams)), enumerable: true },
  }) as unknown as HttpAsk;
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
      out.head(400, { 'content-type': 'application/json' });
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
        .catch(() => out.cut());
    });
  };

/**
 * Listens at an address; port 0 takes a free one. Resolves with the address in use and `close`, which resolves when the
 * open requests have ended. Rejects with step `http.bind` if the address cannot be bound. Timeouts are read anew each
 * second, so that a changed configuration holds without a restart.
 */
export const serve: Net['serve'] = (at, handler, limits) =>
  new Promise((done, fail) => {
    const checked: HttpLimits = typeof limits === 'number' ? { maxBody: () => limits } : limits;
    const server = http.createServer({ ...(checked.maxHeader ? { maxHeaderSize: checked.maxHeader } : {}) });
    const setTimes = (): void => {
      server.keepAliveTimeout = checked.idleFor ? checked.idleFor() / 1000 : 5_000;
      if (checked.headersWithin) server.headersTimeout = checked.headersWithin() / 1000;
    };
    setTimes();
    const times = setInterval(setTimes, 1_000);
    times.unref();
    const listen = listener(handler, checked.maxBody);
    const app = polka({
      server,
      onError: (_e, _req, res) => void (res as http.ServerResponse).destroy(),
      onNoMatch: (req, res) => listen(req as unknown as http.IncomingMessage, res as http.ServerResponse),
    });
    server.on('error', (error) => fail(fault.make({ step: 'http.bind', sibling: at }, error.message, error)));
    app.listen(place.port(at), place.host(at), () => {
      const address = server.address() as net.AddressInfo;
      done({
        at: `${address.address}:${address.port}`,
        close: () =>
          new Promise((fin) => {
            clearInterval(times);
            server.close(() => fin());
            server.closeIdleConnections();
          }),
      });
    });
  });
