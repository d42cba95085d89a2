/** The HTTP server of a node (§5.6): requests are read whole, answers are streamed or visibly cut. */
import http from 'node:http';
import type net from 'node:net';
import polka from 'polka';
import { flatHeaders } from './headers.js';
import { fault, place, type HttpAsk, type HttpHandler, type HttpLimits, type HttpSay, type Net } from './index.js';

const say = (res: http.ServerResponse): HttpSay => ({
  head: (status, headers) =>
    void (Array.isArray(headers)
      ? res.writeHead(status, headers as string[])
      : res.writeHead(status, headers as Record<string, string>)),
  write: (piece) => res.destroyed || res.write(piece),
  drained: () =>
    new Promise((fin) => {
      if (res.destroyed || !res.writableNeedDrain) {
        fin();
        return;
      }
      res.once('drain', fin);
      res.once('close', fin);
    }),
  end: (piece) => void res.end(piece),
  cut: () => void res.destroy(),
  gone: () => res.destroyed,
  onGone: (fn) => void res.once('close', fn),
});

/** A handler as Node's own servers call it; for a path that is not `ours` the next one is called, if there is one. */
export type Listener = (req: http.IncomingMessage, res: http.ServerResponse, next?: () => void) => void;
/** Most requests are passed on as bytes: their text and query are made only if somebody reads them. */
const asked = (req: http.IncomingMessage, u: URL, bytes: Buffer, tooBig: boolean): HttpAsk => {
  let text: string | undefined;
  let query: Record<string, string> | undefined;
  const ask = {
    method: req.method ?? 'GET',
    path: u.pathname,
    target: req.url ?? '/',
    headers: flatHeaders(req.headers),
    rawHeaders: req.rawHeaders,
    bytes,
    tooBig,
  };
  return Object.defineProperties(ask, {
    body: { get: () => (text ??= bytes.toString('utf8')), enumerable: true },
    query: { get: () => (query ??= Object.fromEntries(u.searchParams)), enumerable: true },
  }) as unknown as HttpAsk;
};
const addressOf = (req: http.IncomingMessage): URL | undefined => {
  try {
    return new URL(req.url ?? '/', 'http://x');
  } catch {
    return undefined;
  }
};
export const listener =
  (handler: HttpHandler, maxBody: number | (() => number), ours: (path: string) => boolean = () => true): Listener =>
  (req, res, next) => {
    const out = say(res);
    const u = addressOf(req);
    if (!u) {
      out.head(400, { 'content-type': 'application/json' });
      out.end('{"error":"bad_field","field":"path","ran":"no"}');
      return;
    }
    if (next && !ours(u.pathname)) return next();
    const most = typeof maxBody === 'number' ? maxBody : maxBody();
    const parts: Buffer[] = [];
    let size = 0;
    let tooBig = false;
    req.on('data', (d: Buffer) => {
      size += d.length;
      if (size > most) {
        tooBig = true;
        parts.length = 0;
      } else parts.push(d);
      if (size > most * 4) req.destroy();
    });
    req.on('end', () => {
      const ask = asked(req, u, parts.length === 1 ? parts[0]! : Buffer.concat(parts), tooBig);
      Promise.resolve()
        .then(() => handler(ask, out))
        .catch(() => out.cut());
    });
  };

export const serve: Net['serve'] = (at, handler, limits) =>
  new Promise((done, fail) => {
    const l: HttpLimits = typeof limits === 'number' ? { maxBody: () => limits } : limits;
    const server = http.createServer({ ...(l.maxHeader ? { maxHeaderSize: l.maxHeader } : {}) });
    const setTimes = (): void => {
      server.keepAliveTimeout = l.idleFor ? l.idleFor() / 1000 : 5_000;
      if (l.headersWithin) server.headersTimeout = l.headersWithin() / 1000;
    };
    setTimes();
    const times = setInterval(setTimes, 1_000);
    times.unref();
    const listen = listener(handler, l.maxBody);
    const app = polka({
      server,
      onError: (_e, _req, res) => void (res as http.ServerResponse).destroy(),
      onNoMatch: (req, res) => listen(req as unknown as http.IncomingMessage, res as http.ServerResponse),
    });
    server.on('error', (e) => fail(fault.make({ step: 'http.bind', sibling: at }, e.message, e)));
    app.listen(place.port(at), place.host(at), () => {
      const a = server.address() as net.AddressInfo;
      done({
        at: `${a.address}:${a.port}`,
        close: () =>
          new Promise((fin) => {
            clearInterval(times);
            server.close(() => fin());
            server.closeIdleConnections();
          }),
      });
    });
  });
