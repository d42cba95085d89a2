/** Exchanges with workers over connections that the caller manages itself (§5.7). */

/** One request over a connection of one's own. `target` and `body` reach the other side byte for byte. */
export type Exchange = {
  method: string;
  target: string;
  /** Name, value, name, value. */
  headers: readonly string[];
  body: Uint8Array | null;
};
/** What becomes of an exchange, in order; after `onEnd` or `onError` nothing more is called. */
export type ExchangeEvents = {
  /** The first byte is about to be sent: from here on the request may have run. */
  onSent: () => void;
  onHead: (status: number, headers: Record<string, string>, rawHeaders: readonly string[]) => void;
  onData: (bytes: Uint8Array) => void;
  onEnd: () => void;
  /** The exchange is over without its end. Nothing was sent unless `onSent` was called before. */
  onError: (error: Error) => void;
};
/** Controls an exchange that is under way. */
export type ExchangeControl = { pause: () => void; resume: () => void; abort: () => void };
/** One connection to a worker, which serves one exchange at a time. */
export type HttpConnection = {
  exchange: (exchange: Exchange, events: ExchangeEvents) => ExchangeControl;
  /** False once the other side has closed it, or it was aborted. */
  isOpen: () => boolean;
  close: () => void;
};
