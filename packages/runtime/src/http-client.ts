/** HTTP requests whose response body is read as text: between nodes, and to workers for chat turns and jobs (§5.4). */
import { Agent, Client, request, type Dispatcher } from 'undici';
import { countContent } from './client-traffic.js';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import { duration, type Microseconds } from './duration.js';
import { fault } from './fault.js';
import type { HttpClientRequest, HttpClientResponse } from './http.js';

/** Error codes that occur only before anything of the request was sent. */
const unsentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const agent = new Agent({
  keepAliveTimeout: 2_000,
  keepAliveMaxTimeout: 2_000,
  connect: connector.open({ timeout: 800 }),
  bodyTimeout: 0,
  headersTimeout: 0,
  pipelining: 1,
  connections: 256,
});

/** Decodes a response body as text. `onClosed` is called once the body has ended or failed. */
const bodyText = async function* (
  body: Dispatcher.ResponseData['body'],
  address: string,
  bodyTimeout: Microseconds,
  onClosed: () => void,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let timer: NodeJS.Timeout | undefined;
  const restartTimer = (): void => {
    clearTimeout(timer);
    // Callers recognise a body timeout by this text.
    timer = setTimeout(() => body.destroy(new Error('silence')), bodyTimeout / 1000);
  };
  try {
    restartTimer();
    for await (const chunk of body) {
      clearTimeout(timer);
      countContent((chunk as Uint8Array).length);
      yield decoder.decode(chunk as Uint8Array, { stream: true });
      restartTimer();
    }
    const rest = decoder.decode();
    if (rest) yield rest;
  } catch (error) {
    throw fault.make({ step: 'http.body', peer: address, sent: true }, fault.text(error), error);
  } finally {
    clearTimeout(timer);
    onClosed();
  }
};

/**
 * Sends one request; resolves with the status and headers of the response, whose body follows as chunks of text.
 *
 * Rejects with step `http.call` if the headers don't arrive within `headersTimeout`; `sent` is false if the request
 * can't have reached the peer. Reading the body fails with step `http.body` if the response is cut off, or if no chunk
 * arrives within `bodyTimeout` (30 s by default). With `newConnection` the request uses a connection of its own, which
 * is closed after the response.
 */
export const sendRequest = async (options: HttpClientRequest): Promise<HttpClientResponse> => {
  const ownClient = options.newConnection
    ? new Client(`http://${options.at}`, {
        connect: connector.open({ timeout: 800 }),
        bodyTimeout: 0,
        headersTimeout: 0,
        pipelining: 1,
      })
    : undefined;
  const closeOwnClient = (): void => void ownClient?.destroy().catch(() => undefined);
  const controller = new AbortController();
  const headersTimer = setTimeout(() => controller.abort(), Math.max(1, options.headersTimeout / 1000));
  let response: Dispatcher.ResponseData;
  try {
    response = await request(`http://${options.at}${options.path}`, {
      method: options.method,
      headers: options.headers,
      body: options.body,
      signal: controller.signal,
      dispatcher: ownClient ?? agent,
    });
  } catch (error) {
    closeOwnClient();
    const code = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
    throw fault.make(
      { step: 'http.call', peer: options.at, sent: !unsentCodes.has(code), code },
      fault.text(error),
      error,
    );
  } finally {
    clearTimeout(headersTimer);
  }
  const bodyTimeout = options.bodyTimeout ?? duration.s(30);
  const abort = (): void => {
    response.body.on('error', () => undefined);
    response.body.destroy();
    closeOwnClient();
  };
  return {
    status: response.statusCode,
    headers: flatHeaders(response.headers),
    body: bodyText(response.body, options.at, bodyTimeout, closeOwnClient),
    abort,
  };
};
