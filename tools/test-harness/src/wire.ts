// What a worker's server can do that a well-behaved one never does (§9.3): bytes that are no answer, an answer nobody
// asked for, a reset, idle connections closed. On real sockets here; the simulator brings its own.
import http from 'node:http';
import type net from 'node:net';
import {
  address,
  real,
  duration,
  type HttpRequest,
  type HttpResponseWriter,
  type HttpServer,
  type Address,
  type Microseconds,
} from '@thornsail/runtime';

/** The writer of a response, with what only a misbehaving server does to the connection. */
export type WireSay = HttpResponseWriter & {
  /** Bytes that are no answer, and then nothing. */
  garble: () => void;
  /** Ends the connection at once. */
  reset: () => void;
  /** A whole answer that nobody asked for, `after` the end of this one, on the same connection. */
  surplus: (after: Microseconds, status: number, headers: readonly string[], body: Uint8Array) => void;
  /** The answer that follows has no length and ends with its connection. Said before its head. */
  unframed: () => void;
  /** Behind this answer the connection is forgotten without a word: the next thing sent on it is reset. */
  forget: () => void;
};
/** Answers a request; it may misbehave by means of the writer. */
export type WireHandler = (ask: HttpRequest, say: WireSay) => void | Promise<void>;
/** `idleFor`: an idle connection is closed after it; `connections`: more than these are reset. */
export type WireLimits = { idleFor: Microseconds; connections: number };
/** Serves HTTP at an address by a handler that may misbehave; rejects when the address cannot be bound. */
export type Wire = { serve: (at: Address, handler: WireHandler, limits: WireLimits) => Promise<HttpServer> };

/** Bytes that no HTTP client takes for a response: the start of a TLS record, and text. */
export const noise = Buffer.from('\x16\x03\x01\x02 this is no answer \xff\r\n\r\n', 'latin1');
/** The largest request body that is read, in bytes. */
const largest = 16 << 20;

const answerOf = (status: number, headers: readonly string[], body: Uint8Array): Buffer => {
  const lines = [`HTTP/1.1 ${status} X`];
  for (let i = 0; i < headers.length; i += 2) lines.push(`${headers[i]}: ${headers[i + 1]}`);
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\ncontent-length: ${body.length}\r\n\r\n`), body]);
};
const wireSay = (
  say: HttpResponseWriter,
  res: http.ServerResponse,
  socket: net.Socket,
  forgotten: WeakSet<net.Socket>,
): WireSay => ({
  ...say,
  garble: () => void socket.write(noise),
  reset: () => void socket.resetAndDestroy(),
  surplus: (after, status, headers, body) =>
    void res.once('finish', () =>
      setTimeout(() => {
        if (!socket.destroyed) socket.write(answerOf(status, headers, body));
      }, after / 1000),
    ),
  unframed: () => {
    res.useChunkedEncodingByDefault = false;
  },
  forget: () => void forgotten.add(socket),
});

/** A `Wire` on real sockets. */
export const wire = {
  real: (): Wire => ({
    serve: (at, handler, limits) =>
      new Promise((done, fail) => {
        const sockets = new Set<net.Socket>();
        const forgotten = new WeakSet<net.Socket>();
        const server = http.createServer((req, res) => {
          const { socket } = res;
          if (!socket) return;
          if (forgotten.has(socket)) return void socket.resetAndDestroy();
          real.requestListener((ask, say) => handler(ask, wireSay(say, res, socket, forgotten)), largest)(req, res);
        });
        server.keepAliveTimeout = limits.idleFor / duration.ms(1);
        server.on('connection', (accepted: net.Socket) => {
          if (sockets.size >= limits.connections) return void accepted.resetAndDestroy();
          sockets.add(accepted);
          accepted.on('close', () => sockets.delete(accepted));
        });
        server.on('error', fail);
        server.listen(address.port(at), address.host(at), () => {
          const a = server.address() as net.AddressInfo;
          const close = (): Promise<void> =>
            new Promise((fin) => {
              for (const open of sockets) open.destroy();
              server.close(() => fin());
            });
          done({ at: `${a.address}:${a.port}`, close });
        });
      }),
  }),
};
