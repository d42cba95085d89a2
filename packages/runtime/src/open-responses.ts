/** The responses of HTTP servers that are not closed yet. */
import type http from 'node:http';
import { isEnding, isStalled, unsentBytesOf } from './response-sender.js';

/** Longest time that `close` waits for clients that read their response slowly (§5.6), in microseconds. */
const flushTimeout = 5_000_000;
/** The responses of a server that are not yet closed. */
export type OpenResponses = {
  add: (response: http.ServerResponse) => void;
  /** Resolves once every ended response is handed to the operating system or has failed, or after `flushTimeout`. */
  flushed: () => Promise<void>;
  /** Breaks off the responses of which the client has taken nothing for this many milliseconds. */
  abortStalled: (milliseconds: number) => void;
  /** Bytes that are written and not yet handed to the operating system. */
  unsentBytes: () => number;
};
/** Tracks the responses of one server. */
export const trackResponses = (): OpenResponses => {
  const open = new Set<http.ServerResponse>();
  const whenClosed = (response: http.ServerResponse): Promise<void> =>
    new Promise((resolve) => {
      response.once('close', resolve);
    });
  return {
    add: (response) => {
      open.add(response);
      response.once('close', () => void open.delete(response));
    },
    flushed: async () => {
      const unsent = [...open].filter((response) => isEnding(response) && !response.writableFinished);
      if (!unsent.length) return;
      let timer: NodeJS.Timeout | undefined;
      const timeout = new Promise<void>((resolve) => {
        timer = setTimeout(resolve, flushTimeout / 1000);
      });
      await Promise.race([Promise.all(unsent.map(whenClosed)), timeout]);
      clearTimeout(timer);
    },
    abortStalled: (milliseconds) => {
      for (const response of open) if (isStalled(response, milliseconds)) response.destroy();
    },
    unsentBytes: () => {
      let bytes = 0;
      for (const response of open) bytes += unsentBytesOf(response);
      return bytes;
    },
  };
};
/** The responses of all open servers of this process. */
export const openServers = new Set<OpenResponses>();
/** Bytes of responses that clients of this process's servers have not taken yet. */
export const unsentResponseBytes = (): number => {
  let bytes = 0;
  for (const responses of openServers) bytes += responses.unsentBytes();
  return bytes;
};
