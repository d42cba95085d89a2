// The way back to a client, until its time is over (§5.7): whoever waits on its behalf is told when it has gone away,
// and when it has had its final answer at its deadline.
import type { Clock, HttpResponseWriter, Microseconds } from '@thornsail/runtime';

/** A response that is closed once its deadline has passed. */
export type TimedResponse = {
  response: HttpResponseWriter;
  /** To be called when the request is over. */
  stop: () => void;
};

/**
 * `expire` gives the final answer after `within`; from then on the client counts as gone, and whatever else is said to
 * it is dropped. It is not called if the answer has ended or the client has gone before.
 */
const open = (clock: Clock, raw: HttpResponseWriter, within: Microseconds, expire: () => void): TimedResponse => {
  let ended = false;
  let expired = false;
  let waiting: (() => void)[] = [];
  const tellAll = (): void => {
    const all = waiting;
    waiting = [];
    for (const tell of all) tell();
  };
  const isGone = (): boolean => expired || raw.isClosed();
  const stop = clock.schedule(Math.max(0, within), () => {
    if (ended || isGone()) return;
    expire();
    expired = true;
    tellAll();
  });
  raw.onClose(tellAll);
  const response: HttpResponseWriter = {
    writeHead: (status, headers) => {
      if (!expired) raw.writeHead(status, headers);
    },
    write: (piece) => expired || raw.write(piece),
    drained: () => (expired ? Promise.resolve() : raw.drained()),
    end: (piece) => {
      ended = true;
      if (!expired) raw.end(piece);
    },
    abort: () => {
      ended = true;
      if (!expired) raw.abort();
    },
    isClosed: isGone,
    onClose: (tell) => {
      // One that is gone already tells nobody any more.
      if (isGone()) tell();
      else waiting.push(tell);
    },
  };
  return { response, stop };
};

/** Opens responses with a deadline. */
export const timedResponse = { open };
