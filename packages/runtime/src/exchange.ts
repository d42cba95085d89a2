/** HTTP exchanges with workers over connections that the caller manages (§5.7). */

/** The request of one exchange. `target` and `body` are sent byte for byte. */
export type Exchange = {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: readonly string[];
  body: Uint8Array | null;
};
/** Events of an exchange, in order. None follows `onEnd` or `onError`. */
export type ExchangeEvents = {
  /** The first byte is about to be sent; from now on the request may have been executed. */
  onSent: () => void;
  /** Status and headers were received; `rawHeaders` are alternating names and values as received. */
  onHead: (status: number, headers: Record<string, string>, rawHeaders: readonly string[]) => void;
  /** A chunk of the body was received. */
  onData: (bytes: Uint8Array) => void;
  /** The response is complete. */
  onEnd: () => void;
  /** The exchange failed. Nothing was sent unless `onSent` was called before. */
  onError: (error: Error) => void;
};
/** Controls an exchange in progress. `pause` and `resume` apply backpressure; `abort` closes the connection. */
export type ExchangeControl = { pause: () => void; resume: () => void; abort: () => void };
/** A connection to a worker; carries one exchange at a time. */
export type HttpConnection = {
  exchange: (exchange: Exchange, events: ExchangeEvents) => ExchangeControl;
  /** False once the connection has been closed by either side or an exchange was aborted. */
  isOpen: () => boolean;
  close: () => void;
};
