// One connection to a worker, by undici's client (§5.7). What is kept, for how long and how many there may be is for
// `data plane` to say: here is only the exchange itself, and whether anything of it was sent.
import type net from 'node:net';
import { Client, type Dispatcher } from 'undici';
import { connector } from './connector.js';
import { flatHeaders } from './headers.js';
import type { HttpConnection, ExchangeEvents } from './exchange.js';
import { fault } from './fault.js';
import type { Net } from './net.js';

/** Names and values as they came, where the library still has them as bytes. */
const rawOf = (c: Dispatcher.DispatchController, headers: Record<string, string | string[] | undefined>): string[] => {
  const raw = (c as unknown as { rawHeaders?: (Buffer | string)[] | null }).rawHeaders;
  if (raw) return raw.map((b) => (typeof b === 'string' ? b : b.toString('latin1')));
  return Object.entries(headers).flatMap(([k, v]) => (Array.isArray(v) ? v : [v ?? '']).flatMap((x) => [k, x]));
};

/** undici's handler over our events; after the first end or failure nothing more is told. */
const handlerOf = (
  on: ExchangeEvents,
  o: { started: (c: Dispatcher.DispatchController) => void; over: () => void; fault: (e: Error) => Error },
): Dispatcher.DispatchHandler => {
  let done = false;
  return {
    onRequestStart: (c) => {
      o.started(c);
      if (!done) on.onSent();
    },
    onResponseStart: (c, status, headers) => {
      if (!done && status >= 200) on.onHead(status, flatHeaders(headers), rawOf(c, headers));
    },
    onResponseData: (_c, chunk) => {
      if (!done) on.onData(chunk);
    },
    onResponseEnd: () => {
      if (done) return;
      done = true;
      o.over();
      on.onEnd();
    },
    onResponseError: (_c, e) => {
      if (done) return;
      done = true;
      o.over();
      on.onError(o.fault(e));
    },
  };
};

export const connect: Net['connectHttp'] = (at, o) => {
  let socket: net.Socket | undefined;
  const opened = { timeout: o.connectWithin / 1000, keepAlive: true, keepAliveInitialDelay: 1_000 };
  const client = new Client(`http://${at}`, {
    connect: connector.open(opened, (it) => {
      socket = it;
    }),
    bodyTimeout: 0,
    headersTimeout: 0,
    pipelining: 1,
    keepAliveTimeout: 600_000,
    keepAliveMaxTimeout: 600_000,
    keepAliveTimeoutThreshold: 0,
  });
  let up = true;
  const closed = (): void => {
    if (!up) return;
    up = false;
    client.destroy().catch(() => undefined);
    o.onClosed?.();
  };
  client.on('disconnect', closed);
  client.on('connectionError', closed);
  const it: HttpConnection = {
    exchange: (x, on) => {
      let control: Dispatcher.DispatchController | undefined;
      let cut = false;
      const failed = (e: Error): Error =>
        fault.make({ step: 'exchange', sibling: at, code: (e as NodeJS.ErrnoException).code }, e.message, e);
      // An answer that came before the whole request had left: nothing but the rest of its body may follow.
      const over = (): void => {
        if (socket && socket.writableLength > 0) closed();
      };
      const started = (c: Dispatcher.DispatchController): void => {
        control = c;
        if (cut) c.abort(new Error('cut'));
      };
      client.dispatch(
        {
          method: x.method,
          path: x.target,
          headers: x.headers as string[],
          body: x.body && x.body.length ? Buffer.from(x.body.buffer, x.body.byteOffset, x.body.byteLength) : null,
        },
        handlerOf(on, { started, over, fault: failed }),
      );
      return {
        pause: () => control?.pause(),
        resume: () => control?.resume(),
        abort: () => {
          cut = true;
          if (control) control.abort(new Error('cut'));
          closed();
        },
      };
    },
    isOpen: () => up && !client.destroyed && !client.closed,
    close: closed,
  };
  return it;
};
