// An HTTP server that can violate the protocol as a faulty worker does (§9.3): invalid bytes, unsolicited responses,
// resets, idle connections closed. This implementation uses real sockets; the simulator has its own.
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

/** A response writer that can also make faults on the connection. */
export type FaultyWriter = HttpResponseWriter & {
  /** Sends bytes that are not an HTTP response, and nothing after them. */
  sendGarbage: () => void;
  /** Resets the connection. */
  reset: () => void;
  /** Sends a complete unsolicited response on the same connection, the time `after` the end of this one. */
  surplus: (after: Microseconds, status: number, headers: readonly string[], body: Uint8Array) => void;
  /** Sends the response without a length, so that the close of the connection ends it. Call before `writeHead`. */
  omitFraming: () => void;
  /** Drops the state of the connection after this response, without closing it: the next request on it is reset. */
  resetNextRequest: () => void;
};
/** Handles a request; it may inject faults through the writer. */
export type FaultyHandler = (request: HttpRequest, response: FaultyWriter) => void | Promise<void>;
/** `idleFor`: time after which an idle connection is closed; `connections`: further ones than these are reset. */
export type ConnectionLimits = { idleFor: Microseconds; connections: number };
/** Serves HTTP at an address by a handler that may inject faults; rejects if the address cannot be bound. */
export type FaultyHttp = {
  serve: (at: Address, handler: FaultyHandler, limits: ConnectionLimits) => Promise<HttpServer>;
};

/** Bytes that no HTTP client accepts as a response: the start of a TLS record, and text. */
export const garbage = Buffer.from('\x16\x03\x01\x02 this is no answer \xff\r\n\r\n', 'latin1');
/** Maximum size of a request body, in bytes. */
const maxBodyBytes = 16 << 20;

const encodeResponse = (status: number, headers: readonly string[], body: Uint8Array): Buffer => {
  const lines = [`HTTP/1.1 ${status} X`];
  for (let i = 0; i < headers.length; i += 2) lines.push(`${headers[i]}: ${headers[i + 1]}`);
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\ncontent-length: ${body.length}\r\n\r\n`), body]);
};
const faultyWriter = (
  writer: HttpResponseWriter,
  response: http.ServerResponse,
  socket: net.Socket,
  resetOnNextRequest: WeakSet<net.Socket>,
): FaultyWriter => ({
  ...writer,
  sendGarbage: () => void socket.write(garbage),
  reset: () => void socket.resetAndDestroy(),
  surplus: (after, status, headers, body) =>
    void response.once('finish', () =>
      setTimeout(() => {
        if (!socket.destroyed) socket.write(encodeResponse(status, headers, body));
      }, after / 1000),
    ),
  omitFraming: () => {
    response.useChunkedEncodingByDefault = false;
  },
  resetNextRequest: () => void resetOnNextRequest.add(socket),
});

/** Opens a `FaultyHttp` on real sockets. */
export const faultyHttp = {
  real: (): FaultyHttp => ({
    serve: (at, handler, limits) =>
      new Promise((resolve, reject) => {
        const sockets = new Set<net.Socket>();
        const resetOnNextRequest = new WeakSet<net.Socket>();
        const server = http.createServer((req, res) => {
          const { socket } = res;
          if (!socket) return;
          if (resetOnNextRequest.has(socket)) return void socket.resetAndDestroy();
          real.requestListener(
            (request, writer) => handler(request, faultyWriter(writer, res, socket, resetOnNextRequest)),
            maxBodyBytes,
          )(req, res);
        });
        server.keepAliveTimeout = limits.idleFor / duration.ms(1);
        server.on('connection', (accepted: net.Socket) => {
          if (sockets.size >= limits.connections) return void accepted.resetAndDestroy();
          sockets.add(accepted);
          accepted.on('close', () => sockets.delete(accepted));
        });
        server.on('error', reject);
        server.listen(address.port(at), address.host(at), () => {
          const bound = server.address() as net.AddressInfo;
          const close = (): Promise<void> =>
            new Promise((resolveClose) => {
              for (const socket of sockets) socket.destroy();
              server.close(() => resolveClose());
            });
          resolve({ at: `${bound.address}:${bound.port}`, close });
        });
      }),
  }),
};
