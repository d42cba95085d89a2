/** HTTP requests whose response body is read as text: between nodes, and to workers for chat turns and jobs (§5.4). */
import { Agent, Client, request, type Dispatcher } from 'undici';
import { countContent } from './client-traffic.js';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import { duration, type Microseconds } from './duration.js';
import { fault } from './fault.js';
import type { HttpClientRequest, HttpClientResponse } from './http.js';
import { openReceiveLimit, type ReceiveLimit } from './receive-limit.js';

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

/** Content that undici buffers for a body that is read slowly, in bytes, and what one read of the socket adds. */
const bufferedContent = 2 * (64 << 10);

/** Decodes a response body as text. `onContent` gets the size of each chunk, `onClosed` the body's end or failure. */
const bodyText = async function* (
  body: Dispatcher.ResponseData['body'],
  address: string,
  bodyTimeout: Microseconds,
  onContent: (bytes: number) => void,
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
      onContent((chunk as Uint8Array).length);
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

/** A client for one request, limited in what it receives. */
const openClient = (address: string, limit: ReceiveLimit): Client =>
  new Client(`http://${address}`, {
    connect: connector.open({ timeout: 800 }, limit.attach),
    bodyTimeout: 0,
    headersTimeout: 0,
    pipelining: 1,
  });

/**
 * Sends one request; resolves with the status and headers of the response, whose body follows as chunks of text.
 *
 * Rejects with step `http.call` if the headers don't arrive within `headersTimeout`; `sent` is false if the request
 * can't have reached the peer. Reading the body fails with step `http.body` if the response is cut off, or if no chunk
 * arrives within `bodyTimeout` (30 s by default). After `totalTimeout` the call or the reading fails in either case.
 * With `newConnection` the request uses a connection of its own, which is closed after the response and is limited in
 * what it receives beyond its content.
 */
export const sendRequest = async (options: HttpClientRequest): Promise<HttpClientResponse> => {
  const limit = openReceiveLimit(options.at, bufferedContent);
  const ownClient = options.newConnection ? openClient(options.at, limit) : undefined;
  const closeOwnClient = (): void => void ownClient?.destroy().catch(() => undefined);
  const controller = new AbortController();
  const headersTimer = setTimeout(() => controller.abort(), Math.max(1, options.headersTimeout / 1000));
  const { totalTimeout } = options;
  const totalTimer =
    totalTimeout === undefined ? undefined : setTimeout(() => controller.abort(), Math.max(1, totalTimeout / 1000));
  const onClosed = (): void => {
    clearTimeout(totalTimer);
    closeOwnClient();
  };
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
    onClosed();
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
    onClosed();
  };
  const onContent = (bytes: number): void => {
    countContent(bytes);
    limit.addContent(bytes);
  };
  return {
    status: response.statusCode,
    headers: flatHeaders(response.headers),
    body: bodyText(response.body, options.at, bodyTimeout, onContent, onClosed),
    abort,
  };
};
