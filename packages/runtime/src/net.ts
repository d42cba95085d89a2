/** The network interface of a process (§2.1). */
import type { Address } from './address.js';
import type { Microseconds } from './duration.js';
import type { HttpConnection } from './exchange.js';
import type { HttpClientRequest, HttpClientResponse, HttpHandler, HttpLimits, HttpServer } from './http.js';

/** Sends frames to other nodes from one bound address (`at`). Frames may be lost without notice. */
export type FrameTransport = { at: Address; send: (to: Address, text: string) => void; close: () => Promise<void> };

/** The network as one process sees it. */
export type Net = {
  /**
   * Opens a frame transport.
   * @param onFrame called with each received frame; returns false if it can't be decoded, which closes its connection
   * @param onDisconnect called when the connection to a peer was lost or could not be established; frames sent over it
   * may or may not have arrived
   * @param onProtocolError called when an incoming connection was closed because of an invalid frame
   */
  openFrameTransport: (
    bindAddress: Address,
    onFrame: (from: Address, text: string) => boolean,
    onDisconnect?: (peer: Address) => void,
    onProtocolError?: (from: Address, reason: string) => void,
  ) => Promise<FrameTransport>;
  /** Starts an HTTP server. A number as `limits` is the maximum size of a request body in bytes. */
  serveHttp: (bindAddress: Address, handler: HttpHandler, limits: number | HttpLimits) => Promise<HttpServer>;
  /** Sends one HTTP request over a pooled connection, or over a new one if the request demands it. */
  request: (request: HttpClientRequest) => Promise<HttpClientResponse>;
  /** Creates a connection that is opened by its first exchange, which fails if this takes over `connectTimeout`. */
  connectHttp: (address: Address, options: { connectTimeout: Microseconds; onClosed?: () => void }) => HttpConnection;
};
