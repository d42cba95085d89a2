/**
 * One HTTP connection to a worker, on undici's client (§5.7). Performs single exchanges and reports whether anything of
 * a request was sent; how many connections are pooled, and for how long, is decided by the data plane.
 */
import type net from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { countContent } from './client-traffic.js';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import type { HttpConnection, ExchangeEvents } from './exchange.js';
import { fault } from './fault.js';
import type { Net } from './net.js';
import { openReceiveLimit, type ReceiveLimit } from './receive-limit.js';

/** Returns header names and values byte for byte as received if undici still has the raw bytes. */
const rawHeadersOf = (
  controller: Dispatcher.DispatchController,
  headers: Record<string, string | string[] | undefined>,
): string[] => {
  const raw = (controller as unknown as { rawHeaders?: (Buffer | string)[] | null }).rawHeaders;
  if (raw) return raw.map((field) => (typeof field === 'string' ? field : field.toString('latin1')));
  return Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap((single) => [name, single]),
  );
};

/** Adapts `ExchangeEvents` to undici's handler. No event is passed on after the first end or error. */
const dispatchHandler = (
  events: ExchangeEvents,
  limit: ReceiveLimit,
  hooks: {
    onStart: (controller: Dispatcher.DispatchController) => void;
    onFinish: () => void;
    fault: (error: Error) => Error;
  },
): Dispatcher.DispatchHandler => {
  let done = false;
  return {
    onRequestStart: (controller) => {
      limit.begin();
      hooks.onStart(controller);
      if (!done) events.onSent();
    },
    onResponseStart: (controller, status, headers) => {
      if (!done && status >= 200) events.onHead(status, flatHeaders(headers), rawHeadersOf(controller, headers));
    },
    onResponseData: (_controller, chunk) => {
      countContent(chunk.length);
      limit.addContent(chunk.length);
      if (!done) events.onData(chunk);
    },
    onResponseEnd: () => {
      if (done) return;
      done = true;
      hooks.onFinish();
      events.onEnd();
    },
    onResponseError: (_controller, error) => {
      if (done) return;
      done = true;
      hooks.onFinish();
      events.onError(hooks.fault(error));
    },
  };
};

/** Creates a connection to a worker. The socket is opened by the first exchange. */
export const connectHttp: Net['connectHttp'] = (address, options) => {
  let socket: net.Socket | undefined;
  const limit = openReceiveLimit(address);
  const connectOptions = { timeout: options.connectTimeout / 1000, keepAlive: true, keepAliveInitialDelay: 1_000 };
  const client = new Client(`http://${address}`, {
    connect: connector.open(connectOptions, (connected) => {
      socket = connected;
      limit.attach(connected);
    }),
    bodyTimeout: 0,
    headersTimeout: 0,
    pipelining: 1,
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    keepAliveTimeoutThreshold: 0,
  });
  let isUp = true;
  const closeConnection = (): void => {
    if (!isUp) return;
    isUp = false;
    client.destroy().catch(() => undefined);
    options.onClosed?.();
  };
  client.on('disconnect', closeConnection);
  client.on('connectionError', closeConnection);
  const connection: HttpConnection = {
    exchange: (request, events) => {
      let controller: Dispatcher.DispatchController | undefined;
      let aborted = false;
      const toFault = (error: Error): Error =>
        fault.make(
          { step: 'exchange', peer: address, code: (error as NodeJS.ErrnoException).code },
          error.message,
          error,
        );
      // If the response ended before the whole request was sent, only the rest of the request body may follow on this
      // connection: it can't be reused.
      const onFinish = (): void => {
        if (socket && socket.writableLength > 0) closeConnection();
      };
      const onStart = (startedController: Dispatcher.DispatchController): void => {
        controller = startedController;
        if (aborted) startedController.abort(new Error('exchange aborted'));
      };
      client.dispatch(
        {
          method: request.method,
          path: request.target,
          headers: request.headers as string[],
          body:
            request.body && request.body.length
              ? Buffer.from(request.body.buffer, request.body.byteOffset, request.body.byteLength)
              : null,
        },
        dispatchHandler(events, limit, { onStart, onFinish, fault: toFault }),
      );
      return {
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
        abort: () => {
          aborted = true;
          if (controller) controller.abort(new Error('exchange aborted'));
          closeConnection();
        },
      };
    },
    isOpen: () => isUp && !client.destroyed && !client.closed,
    close: closeConnection,
  };
  return connection;
};
