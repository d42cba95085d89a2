// Converts requests, headers and bodies between their form on the simulated network and that of the runtime.
import type { Address, HttpClientRequest, HttpRequest } from '@thornsail/runtime';

/** A request for an address, its body as text or bytes; `rawHeaders` take precedence over `headers`. */
export type BytesRequest = Omit<HttpClientRequest, 'body' | 'headers'> & {
  at: Address;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  rawHeaders?: readonly string[];
};
type Headers = Record<string, string> | readonly string[];

const toBytes = (chunk: string | Uint8Array): Uint8Array =>
  typeof chunk === 'string' ? Buffer.from(chunk, 'utf8') : chunk;

const toText = async function* (body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  for await (const bytes of body) yield decoder.decode(bytes, { stream: true });
  const rest = decoder.decode();
  if (rest) yield rest;
};

const isRaw = (headers: Headers): headers is readonly string[] => Array.isArray(headers);
const pairsOf = (raw: readonly string[]): [string, string][] =>
  Array.from({ length: raw.length / 2 }, (_, i) => [raw[2 * i]!, raw[2 * i + 1]!]);

/** Headers as a flat list: name, value, name, value. */
const toRawHeaders = (headers: Headers): readonly string[] =>
  isRaw(headers) ? headers : Object.entries(headers).flat();

/** Header values by lower-case name. */
const headerTable = (headers: Headers): Record<string, string> =>
  Object.fromEntries(
    (isRaw(headers) ? pairsOf(headers) : Object.entries(headers)).map(([name, value]) => [name.toLowerCase(), value]),
  );

/** A request in the form that a server's handler takes. */
const toServerRequest = (request: BytesRequest): HttpRequest => {
  const url = new URL(request.path, 'http://x');
  const bytes = toBytes(request.body ?? '');
  const rawHeaders = request.rawHeaders ?? toRawHeaders(request.headers ?? {});
  return {
    method: request.method,
    path: url.pathname,
    query: Object.fromEntries(url.searchParams),
    target: request.path,
    headers: headerTable(rawHeaders),
    rawHeaders,
    bytes,
    body: Buffer.from(bytes).toString('utf8'),
    bodyTooLarge: false,
  };
};

/** Conversions of HTTP messages. */
export const httpMessage = { headerTable, toBytes, toRawHeaders, toServerRequest, toText };
