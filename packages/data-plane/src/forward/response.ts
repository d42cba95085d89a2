/**
 * A client's response with a deadline (§5.7): close listeners are called when the client disconnects and when it has
 * had its final answer at the deadline.
 */
import type { Clock, HttpResponseWriter, Microseconds } from '@thornsail/runtime';

/** A response that is closed once its deadline has passed. */
export type TimedResponse = {
  response: HttpResponseWriter;
  /** Cancels the deadline; to be called when the request is over. */
  stop: () => void;
};

/**
 * `expire` writes the final answer after `within`. From then on the response counts as closed, and later writes are
 * dropped. `expire` is not called if the response has ended or the client has disconnected before.
 */
const open = (clock: Clock, raw: HttpResponseWriter, within: Microseconds, expire: () => void): TimedResponse => {
  let ended = false;
  let expired = false;
  let listeners: (() => void)[] = [];
  const notifyListeners = (): void => {
    const notified = listeners;
    listeners = [];
    for (const listener of notified) listener();
  };
  const hasClosed = (): boolean => expired || raw.isClosed();
  const stop = clock.schedule(Math.max(0, within), () => {
    if (ended || hasClosed()) return;
    expire();
    expired = true;
    notifyListeners();
  });
  raw.onClose(notifyListeners);
  const response: HttpResponseWriter = {
    writeHead: (status, headers) => {
      if (!expired) raw.writeHead(status, headers);
    },
    write: (chunk) => expired || raw.write(chunk),
    ...(raw.reserve ? { reserve: raw.reserve } : {}),
    drained: () => (expired ? Promise.resolve() : raw.drained()),
    end: (chunk) => {
      ended = true;
      if (!expired) raw.end(chunk);
    },
    abort: () => {
      ended = true;
      if (!expired) raw.abort();
    },
    isClosed: hasClosed,
    onClose: (listener) => {
      // A response that is closed already calls no listeners any more.
      if (hasClosed()) listener();
      else listeners.push(listener);
    },
  };
  return { response, stop };
};

/** Opens responses with a deadline. */
export const timedResponse = { open };
