/** Opens sockets for undici clients, such that a connection reset never looks like a complete response (§5.8). */
import type net from 'node:net';
import { buildConnector } from 'undici';
import { countSocket } from './client-traffic.js';

/** Replaces the code ECONNRESET, which undici treats specially. */
const resetCode = 'RESET_BY_PEER';

/**
 * Undici treats a response without a length as complete when its connection is reset. This changes the code of that
 * error before undici's own listener receives it, so that the request fails as with any other error.
 */
const failOnReset = (socket: net.Socket): void => {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = resetCode;
  });
};

/** Creates connectors for undici clients and agents. */
export const connector = {
  /**
   * @param options options of undici's `buildConnector`, times in milliseconds
   * @param onSocket called with each socket once it is connected, before any byte is sent
   */
  open: (options: buildConnector.BuildOptions, onSocket?: (socket: net.Socket) => void): buildConnector.connector => {
    const connect = buildConnector(options);
    return (target, callback) =>
      connect(target, (...result) => {
        const [, socket] = result;
        if (socket) {
          failOnReset(socket);
          countSocket(socket);
          onSocket?.(socket);
        }
        callback(...result);
      });
  },
};
