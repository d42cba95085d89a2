/** Writes the responses of the HTTP server; an aborted response never looks complete (§5.6). */
import type http from 'node:http';
import type net from 'node:net';
import type { Cancel } from './clock.js';
import type { HttpResponseWriter } from './http.js';
import type { MemoryBudget } from './memory-budget.js';
import { endResponse } from './response-sender.js';

/** The close callbacks of each socket. */
const closeListeners = new WeakMap<net.Socket, Set<() => void>>();
/** Adds a close callback; each socket has one `close` listener, however many pipelined requests it carries. */
const onSocketClose = (socket: net.Socket, callback: () => void): Cancel => {
  const existing = closeListeners.get(socket);
  const listeners = existing ?? new Set();
  listeners.add(callback);
  if (!existing) {
    closeListeners.set(socket, listeners);
    socket.once('close', () => {
      for (const listener of [...listeners]) listener();
    });
  }
  return () => void listeners.delete(callback);
};
/**
 * Reports that the client has disconnected or the response is finished. Node emits no `close` for a pipelined response
 * that has no socket yet, so the socket of the request is watched, too.
 */
const closeNotifier = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Pick<HttpResponseWriter, 'isClosed' | 'onClose'> => {
  const { socket } = request;
  const isClosed = (): boolean => response.destroyed || socket.destroyed;
  const onClose = (callback: () => void): void => {
    if (isClosed()) return callback();
    let notified = false;
    const notify = (): void => {
      if (notified) return;
      notified = true;
      unsubscribe();
      callback();
    };
    const unsubscribe = onSocketClose(socket, notify);
    response.once('close', notify);
  };
  return { isClosed, onClose };
};
const includesContentLength = (headers: Record<string, string> | readonly string[]): boolean => {
  const names = Array.isArray(headers) ? headers.filter((_, i) => i % 2 === 0) : Object.keys(headers);
  return names.some((name: string) => name.toLowerCase() === 'content-length');
};
/** The writer of the response to a request. */
export const responseWriter = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  memory: MemoryBudget,
): HttpResponseWriter => {
  const { isClosed, onClose } = closeNotifier(request, response);
  let hasContentLength = false;
  return {
    writeHead: (status, headers) => {
      hasContentLength = includesContentLength(headers);
      response.writeHead(status, headers as Record<string, string>);
    },
    write: (chunk) => isClosed() || response.write(chunk),
    drained: () =>
      new Promise((resolve) => {
        if (isClosed() || !response.writableNeedDrain) return resolve();
        response.once('drain', resolve);
        onClose(resolve);
      }),
    reserve: memory.take,
    end: (chunk) => endResponse(response, chunk),
    abort: () => {
      // A response that is delimited by the end of the connection looks complete unless the connection is reset.
      if (response.headersSent && !hasContentLength && !response.chunkedEncoding) response.socket?.resetAndDestroy();
      response.destroy();
    },
    isClosed,
    onClose,
  };
};
