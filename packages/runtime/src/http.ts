/** HTTP as the parts of thornsail see it (§2.1): a server, and requests of this process. */
import type { Address } from './address.js';
import type { Microseconds } from './duration.js';

/** A request as the server received it, whole. */
export type HttpRequest = {
  method: string;
  path: string;
  query: Record<string, string>;
  /** Path and query as they came, byte for byte. */
  target: string;
  headers: Record<string, string>;
  /** Name, value, name, value: in the order and case in which they came. */
  rawHeaders: readonly string[];
  bytes: Uint8Array;
  /** The bytes read as UTF-8. */
  body: string;
  bodyTooLarge: boolean;
};
/** Writes the response to one request. */
export type HttpResponseWriter = {
  writeHead: (status: number, headers: Record<string, string> | readonly string[]) => void;
  /** False when the reader is slow: wait for `drained` before the next chunk. */
  write: (chunk: string | Uint8Array) => boolean;
  drained: () => Promise<void>;
  end: (chunk?: string | Uint8Array) => void;
  /** Breaks the stream off so that it cannot look complete (§5.6). */
  abort: () => void;
  isClosed: () => boolean;
  onClose: (fn: () => void) => void;
};
/** Answers one request. What it throws is answered with 500, or breaks the response off if it has begun. */
export type HttpHandler = (request: HttpRequest, response: HttpResponseWriter) => void | Promise<void>;
/** A request that this process makes. */
export type HttpClientRequest = {
  at: Address;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** How long the status line and headers may take, in microseconds. */
  headersTimeout: Microseconds;
  /** How long no byte of the body may come, in microseconds. */
  bodyTimeout?: Microseconds;
  /** Never reuse a kept-alive connection (§5.4). */
  newConnection?: boolean;
};
/** The response to it; `body` fails if the response breaks off. */
export type HttpClientResponse = {
  status: number;
  headers: Record<string, string>;
  body: AsyncIterable<string>;
  abort: () => void;
};

/** Reads a body to its end. Rejects if the response breaks off. */
export const readText = async (body: AsyncIterable<string>): Promise<string> => {
  let text = '';
  for await (const chunk of body) text += chunk;
  return text;
};
/** Limits on what clients may send, read anew for each request; times in microseconds. */
export type HttpLimits = {
  maxBodyBytes: () => number;
  /** Fixed at the start. */
  maxHeaderBytes?: number;
  headersTimeout?: () => Microseconds;
  keepAliveTimeout?: () => Microseconds;
};
/** A listening server; `close` resolves once its responses are written out. */
export type HttpServer = { at: Address; close: () => Promise<void> };
