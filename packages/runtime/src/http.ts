/** HTTP types shared by the server and the client of a process (§2.1). */
import type { Address } from './address.js';
import type { Microseconds } from './duration.js';
import { fault } from './fault.js';
import type { Reservation } from './memory-budget.js';

/** A request received by the server, with its complete body. */
export type HttpRequest = {
  method: string;
  path: string;
  query: Record<string, string>;
  /** Path and query byte for byte as received. */
  target: string;
  /** Values by name in lower case. */
  headers: Record<string, string>;
  /** Alternating names and values, in the order and case in which they were received. */
  rawHeaders: readonly string[];
  /** The body; empty if `bodyTooLarge`. */
  bytes: Uint8Array;
  /** The body decoded as UTF-8. */
  body: string;
  /** Whether the body exceeded the limit and was discarded. */
  bodyTooLarge: boolean;
};
/** Writes the response to one request. */
export type HttpResponseWriter = {
  writeHead: (status: number, headers: Record<string, string> | readonly string[]) => void;
  /** Returns false if the client reads slowly: wait for `drained` before the next chunk. */
  write: (chunk: string | Uint8Array) => boolean;
  /** Resolves once more can be written, or the response is closed. */
  drained: () => Promise<void>;
  end: (chunk?: string | Uint8Array) => void;
  /** Aborts the response such that it can't look complete to the client (§5.6). */
  abort: () => void;
  /**
   * Takes memory for a body of this response before it is read from elsewhere; `onReserved` is called at once, or when
   * other responses have given enough back. The caller releases it. Absent in the simulator.
   */
  reserve?: (bytes: number, onReserved: () => void) => Reservation;
  /** Whether the client has disconnected or the response is finished. */
  isClosed: () => boolean;
  /** Calls `callback` once when the response is closed; immediately if it is closed already. */
  onClose: (callback: () => void) => void;
};
/** Handles one request. If it throws or rejects, the response is aborted. */
export type HttpHandler = (request: HttpRequest, response: HttpResponseWriter) => void | Promise<void>;
/** A request sent by this process. */
export type HttpClientRequest = {
  /** The server's address. */
  at: Address;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Time limit for the status line and headers. */
  headersTimeout: Microseconds;
  /** Time limit between two chunks of the body. */
  bodyTimeout?: Microseconds;
  /** Time limit for the whole response, from the call on; none if absent. */
  totalTimeout?: Microseconds;
  /** Use a new connection instead of a pooled one (§5.4). */
  newConnection?: boolean;
};
/** The response to an `HttpClientRequest`; reading `body` fails if the response is cut off. */
export type HttpClientResponse = {
  status: number;
  headers: Record<string, string>;
  body: AsyncIterable<string>;
  abort: () => void;
};

/** Longest body that is read as a whole unless the caller allows another length, in characters. */
const defaultMaxTextLength = 16 << 20;
/** Reads a body to its end. Rejects if the response is cut off, and with code `too-large` if it is longer than this. */
export const readText = async (
  body: AsyncIterable<string>,
  maxLength: number = defaultMaxTextLength,
): Promise<string> => {
  let text = '';
  for await (const chunk of body) {
    text += chunk;
    if (text.length > maxLength)
      throw fault.make({ step: 'http.body', code: 'too-large' }, `longer than ${maxLength} characters`);
  }
  return text;
};
/** Limits of a server on its clients. Functions are evaluated again while the server runs. */
export type HttpLimits = {
  maxBodyBytes: () => number;
  /** Memory for the bodies of all requests in progress, in bytes. Fixed when the server starts. */
  bodyMemory?: number;
  /** Memory for the bodies of all responses that were reserved, in bytes. Fixed when the server starts. */
  responseMemory?: number;
  /** Connections at a time; further ones are closed. Fixed when the server starts. */
  maxConnections?: number;
  /** Fixed when the server starts. */
  maxHeaderBytes?: number;
  headersTimeout?: () => Microseconds;
  keepAliveTimeout?: () => Microseconds;
};
/** A listening server and its bound address. `close` resolves once its ended responses are written out. */
export type HttpServer = { at: Address; close: () => Promise<void> };
