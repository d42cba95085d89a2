/** Opens the sockets of undici's clients, so that a reset never ends an answer as if it were whole (§5.8). */
import type net from 'node:net';
import { buildConnector } from 'undici';

/** What undici may do with the code ECONNRESET, it doesn't do with this one. */
const resetCode = 'RESET_BY_PEER';

/**
 * Undici takes an answer without a length as complete when its connection is reset. The code of that error is changed
 * before undici's own listener sees it, so that it fails the request as every other error does.
 */
const resetIsAnError = (socket: net.Socket): void => {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = resetCode;
  });
};

/** Opens connectors for undici's clients and agents. */
export const connector = {
  /**
   * @param options as undici's `buildConnector` takes them, times in milliseconds
   * @param onSocket is told of each socket once it is connected, before any byte is sent
   */
  open: (options: buildConnector.BuildOptions, onSocket?: (socket: net.Socket) => void): buildConnector.connector => {
    const connect = buildConnector(options);
    return (to, callback) =>
      connect(to, (...result) => {
        const [, socket] = result;
        if (socket) {
          resetIsAnError(socket);
          onSocket?.(socket);
        }
        callback(...result);
      });
  },
};
