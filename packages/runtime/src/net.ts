/** What a process may ask of the network (§2.1). */
import type { Address } from './address.js';
import type { Microseconds } from './duration.js';
import type { HttpConnection } from './exchange.js';
import type { HttpClientRequest, HttpClientResponse, HttpHandler, HttpLimits, HttpServer } from './http.js';

/** Sends frames to other nodes from one bound address; a frame may be lost without notice. */
export type FrameTransport = { at: Address; send: (to: Address, text: string) => void; close: () => Promise<void> };

/** The network as one process sees it. */
export type Net = {
  /**
   * `onDown` says that the connection to a peer broke or did not come up: what was sent may or may not have
   * arrived.
   */
  openFrameTransport: (
    at: Address,
    /** False if the frame could not be read: its connection is broken off. */
    onFrame: (from: Address, text: string) => boolean,
    onDown?: (to: Address) => void,
    /** A connection was broken off for what came over it. */
    onBad?: (from: Address, why: string) => void,
  ) => Promise<FrameTransport>;
  serveHttp: (at: Address, handler: HttpHandler, limits: number | HttpLimits) => Promise<HttpServer>;
  request: (request: HttpClientRequest) => Promise<HttpClientResponse>;
  /** Not opened before its first exchange; that fails if it does not come up within `connectWithin`. */
  connectHttp: (at: Address, options: { connectWithin: Microseconds; onClosed?: () => void }) => HttpConnection;
};
