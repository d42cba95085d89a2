// The real outside: the system clock, a data folder, TCP frames, polka and undici (§2.1).
import { randomFillSync } from 'node:crypto';
import http from 'node:http';
import net from 'node:net';
import debug from 'debug';
import polka from 'polka';
import { Agent, Client, request, type Dispatcher } from 'undici';
import { connect } from './connection.js';
import { files } from './data-folder.js';
import {
  fault,
  place,
  us,
  type Clock,
  type Frames,
  type HttpAsk,
  type HttpCall,
  type HttpHandler,
  type HttpLimits,
  type HttpResult,
  type HttpSay,
  type Lens,
  type Net,
  type Place,
  type Rand,
} from './index.js';

const clock: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n),
  // The system's clock as it is now: it follows corrections, which the process's own origin does not.
  // eslint-disable-next-line no-restricted-syntax
  wall: () => Date.now() * 1000,
  tick: (after, fn) => {
    const t = setTimeout(fn, Math.max(0, after / 1000));
    return () => clearTimeout(t);
  },
};

/** Random bytes are fetched some thousands at a time: each fetch is a system call. */
const randomPool = Buffer.allocUnsafeSlow(4096);
let randomUsed = randomPool.length;
const randomAt = (n: number): number => {
  if (randomUsed + n > randomPool.length) {
    randomFillSync(randomPool);
    randomUsed = 0;
  }
  randomUsed += n;
  return randomUsed - n;
};
const rand: Rand = {
  next: () => randomPool.readUInt32BE(randomAt(4)) / 4_294_967_296,
  int: (below) => Math.floor(rand.next() * below),
  id: () => {
    const at = randomAt(9);
    return randomPool.toString('hex', at, at + 9);
  },
};

const maxFrame = 16 << 20;
const maxBuffered = 8 << 20;

/** Cuts a stream of bytes into frames, until one is bad. */
const frameReader = (take: (text: string) => boolean, bad: (why: string) => void): ((d: Buffer) => void) => {
  let parts: Buffer[] = [];
  let size = 0;
  let over = false;
  const stop = (why: string): void => {
    over = true;
    bad(why);
  };
  return (d) => {
    parts.push(d);
    size += d.length;
    while (!over && size >= 4) {
      const buf = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
      parts = [buf];
      const len = buf.readUInt32BE(0);
      if (len > maxFrame) return stop(`a frame of ${len} bytes`);
      if (size < 4 + len) return;
      const rest = buf.subarray(4 + len);
      parts = rest.length ? [rest] : [];
      size = rest.length;
      if (!take(buf.toString('utf8', 4, 4 + len))) return stop('an unreadable frame');
    }
  };
};

/** One TCP pipe each way between two places; frames are length-prefixed, the first names the sender (§3.1). */
const frames: Net['frames'] = (at, onFrame, onDown, onBad) =>
  new Promise((done, fail) => {
    const out = new Map<Place, net.Socket>();
    const inn = new Set<net.Socket>();
    const corked: net.Socket[] = [];
    const uncork = (): void => {
      for (const s of corked.splice(0)) s.uncork();
    };
    /** All that is written within one turn of the event loop goes out together. */
    const write = (s: net.Socket, text: string): void => {
      const size = Buffer.byteLength(text, 'utf8');
      const b = Buffer.allocUnsafe(4 + size);
      b.writeUInt32BE(size);
      b.write(text, 4, 'utf8');
      if (s.writableCorked === 0) {
        s.cork();
        if (corked.push(s) === 1) setImmediate(uncork);
      }
      s.write(b);
    };
    let self: Place = at;
    let closing = false;
    const server = net.createServer((s) => {
      inn.add(s);
      s.setNoDelay(true);
      let from: Place | undefined;
      // The first frame names the sender; whatever cannot be one breaks the pipe, and nothing else.
      const take = (text: string): boolean => {
        if (from !== undefined) return onFrame(from, text);
        if (place.ok(text)) from = text;
        return from !== undefined;
      };
      const read = frameReader(take, (why) => {
        onBad?.(from ?? `${s.remoteAddress ?? '?'}:${s.remotePort ?? 0}`, why);
        s.destroy();
      });
      s.on('data', read);
      s.on('error', () => s.destroy());
      s.on('close', () => inn.delete(s));
    });
    const send: Frames['send'] = (to, text) => {
      let s = out.get(to);
      if (!s || s.destroyed) {
        s = net.connect({ host: place.host(to), port: place.port(to), localAddress: place.host(self) });
        s.setNoDelay(true);
        s.on('error', () => undefined);
        const mine = s;
        s.on('close', () => {
          if (out.get(to) === mine) out.delete(to);
          if (!closing) onDown?.(to);
        });
        s.setTimeout(30_000, () => mine.destroy());
        // One that does not come up keeps no old frames for later.
        const slow = setTimeout(() => {
          if (mine.connecting) mine.destroy();
        }, 2_000);
        s.once('connect', () => clearTimeout(slow));
        s.once('close', () => clearTimeout(slow));
        out.set(to, s);
        write(s, self);
      }
      if (s.writableLength < maxBuffered) write(s, text);
    };
    server.on('error', (e) => fail(fault.make({ step: 'frames.bind', sibling: at }, e.message, e)));
    server.listen(place.port(at), place.host(at), () => {
      const a = server.address() as net.AddressInfo;
      self = `${a.address}:${a.port}`;
      done({
        at: self,
        send,
        close: () =>
          new Promise((fin) => {
            closing = true;
            // What was written in this turn goes out first.
            for (const s of out.values()) s.uncork();
            for (const s of [...out.values(), ...inn]) s.destroy();
            server.close(() => fin());
          }),
      });
    });
  });

const flat = (h: http.IncomingHttpHeaders | Dispatcher.ResponseData['headers']): Record<string, string> => {
  const o: Record<string, string> = {};
  for (const [k, v] of Object.entries(h))
    if (v !== undefined) o[k.toLowerCase()] = Array.isArray(v) ? v.join(', ') : String(v);
  return o;
};

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
    headers: flat(req.headers),
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
const listener =
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

const serve: Net['serve'] = (at, handler, limits) =>
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

const neverSent = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);
const agent = new Agent({
  keepAliveTimeout: 2_000,
  keepAliveMaxTimeout: 2_000,
  connect: { timeout: 800 },
  bodyTimeout: 0,
  headersTimeout: 0,
  pipelining: 1,
  'connections': 256,
});

const call = async (c: HttpCall): Promise<HttpResult> => {
  const own = c.fresh
    ? new Client(`http://${c.at}`, { connect: { timeout: 800 }, bodyTimeout: 0, headersTimeout: 0, pipelining: 1 })
    : undefined;
  const drop = (): void => void own?.destroy().catch(() => undefined);
  const ac = new AbortController();
  const late = setTimeout(() => ac.abort(), Math.max(1, c.timeLeft / 1000));
  let res: Dispatcher.ResponseData;
  try {
    res = await request(`http://${c.at}${c.path}`, {
      method: c.method as Dispatcher.HttpMethod,
      headers: c.headers,
      body: c.body,
      signal: ac.signal,
      dispatcher: own ?? agent,
    });
  } catch (e) {
    drop();
    const code = (e as NodeJS.ErrnoException).code ?? (e as Error).name;
    throw fault.make({ step: 'http.call', sibling: c.at, sent: !neverSent.has(code), code }, fault.text(e), e);
  } finally {
    clearTimeout(late);
  }
  const silence = c.silence ?? us.s(30);
  const cut = (): void => {
    res.body.on('error', () => undefined);
    res.body.destroy();
    drop();
  };
  const body = async function* (): AsyncIterable<string> {
    const dec = new TextDecoder();
    let quiet: NodeJS.Timeout | undefined;
    const arm = (): void => {
      clearTimeout(quiet);
      quiet = setTimeout(() => res.body.destroy(new Error('silence')), silence / 1000);
    };
    try {
      arm();
      for await (const d of res.body) {
        clearTimeout(quiet);
        yield dec.decode(d as Uint8Array, { stream: true });
        arm();
      }
      const rest = dec.decode();
      if (rest) yield rest;
    } catch (e) {
      throw fault.make({ step: 'http.body', sibling: c.at, sent: true }, fault.text(e), e);
    } finally {
      clearTimeout(quiet);
      drop();
    }
  };
  return { status: res.statusCode, headers: flat(res.headers), body: body(), cut };
};

const logs = (part: string): ((text: string) => void) => {
  const d = debug(`thornsail:${part}`);
  return (text) => d('%s', text);
};

export const real = {
  listener,
  lens: (folder: string): Lens => ({
    clock,
    rand,
    disk: files(folder),
    net: { frames, serve, call, connect },
    log: logs,
  }),
  /** What a daemon says unless DEBUG says otherwise: all parts but the one that speaks for each program. */
  logsByDefault: (): void => {
    if (process.env['DEBUG'] === undefined) debug.enable('thornsail:*,-thornsail:pilotage');
  },
};
