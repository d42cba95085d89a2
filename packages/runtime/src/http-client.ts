/** HTTP calls whose body is read as text: between nodes, and to workers for chat turns and jobs (§5.4). */
import { Agent, Client, request, type Dispatcher } from 'undici';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import { duration, type Microseconds } from './duration.js';
import { fault } from './fault.js';
import type { HttpClientRequest, HttpClientResponse } from './http.js';

const neverSent = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);
const agent = new Agent({
  keepAliveTimeout: 2_000,
  keepAliveMaxTimeout: 2_000,
  connect: connector.open({ timeout: 800 }),
  bodyTimeout: 0,
  headersTimeout: 0,
  pipelining: 1,
  connections: 256,
});

/** The body as text; `silence` in microseconds, `over` is called when it has ended or broken off. */
const textOf = async function* (
  body: Dispatcher.ResponseData['body'],
  at: string,
  silence: Microseconds,
  over: () => void,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let quiet: NodeJS.Timeout | undefined;
  const arm = (): void => {
    clearTimeout(quiet);
    quiet = setTimeout(() => body.destroy(new Error('silence')), silence / 1000);
  };
  try {
    arm();
    for await (const piece of body) {
      clearTimeout(quiet);
      yield decoder.decode(piece as Uint8Array, { stream: true });
      arm();
    }
    const rest = decoder.decode();
    if (rest) yield rest;
  } catch (error) {
    throw fault.make({ step: 'http.body', sibling: at, sent: true }, fault.text(error), error);
  } finally {
    clearTimeout(quiet);
    over();
  }
};

/**
 * Sends one request and resolves with its answer's head; the body follows as pieces of text.
 *
 * Rejects with step `http.call` if no head comes within `timeLeft` (microseconds); `sent` is false where the request
 * cannot have reached the peer. The body throws step `http.body` if it breaks off, or after `silence` (microseconds,
 * 30 s if absent) without a piece. With `fresh` the call has a connection of its own, which ends with it.
 */
export const call = async (options: HttpClientRequest): Promise<HttpClientResponse> => {
  const own = options.newConnection
    ? new Client(`http://${options.at}`, {
        connect: connector.open({ timeout: 800 }),
        bodyTimeout: 0,
        headersTimeout: 0,
        pipelining: 1,
      })
    : undefined;
  const drop = (): void => void own?.destroy().catch(() => undefined);
  const abort = new AbortController();
  const late = setTimeout(() => abort.abort(), Math.max(1, options.headersTimeout / 1000));
  let response: Dispatcher.ResponseData;
  try {
    response = await request(`http://${options.at}${options.path}`, {
      method: options.method,
      headers: options.headers,
      body: options.body,
      signal: abort.signal,
      dispatcher: own ?? agent,
    });
  } catch (error) {
    drop();
    const code = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
    throw fault.make(
      { step: 'http.call', sibling: options.at, sent: !neverSent.has(code), code },
      fault.text(error),
      error,
    );
  } finally {
    clearTimeout(late);
  }
  const silence = options.bodyTimeout ?? duration.s(30);
  const cut = (): void => {
    response.body.on('error', () => undefined);
    response.body.destroy();
    drop();
  };
  return {
    status: response.statusCode,
    headers: flatHeaders(response.headers),
    body: textOf(response.body, options.at, silence, drop),
    abort: cut,
  };
};
