// runtime: everything a part may ask of the outside, as plain functions (§2.1).
// The real ones are in real.ts; the simulator brings simulated ones. A part takes a Runtime and nothing else.
import VError from 'verror';

/** Whole microseconds. */
export type Microseconds = number;
export const duration = {
  ms: (n: number): Microseconds => Math.round(n * 1_000),
  s: (n: number): Microseconds => Math.round(n * 1_000_000),
  toMs: (t: Microseconds): number => Math.round(t / 1_000),
};

/** "ip:port", by number. */
export type Address = string;
export const address = {
  host: (at: Address): string => at.slice(0, at.lastIndexOf(':')),
  port: (at: Address): number => Number(at.slice(at.lastIndexOf(':') + 1)),
  ok: (at: unknown): at is Address =>
    typeof at === 'string' && /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(at) && address.port(at) <= 65_535,
};

export type Cancel = () => void;
export type Clock = {
  /** Monotonic; means nothing outside this process. */
  now: () => Microseconds;
  /** Wall time since 1970, for what must be read by others. */
  wallTime: () => Microseconds;
  schedule: (after: Microseconds, fn: () => void) => Cancel;
};

export type Random = { next: () => number; int: (below: number) => number; id: () => string };

/**
 * One file for one name. `put` resolves once the bytes are synced under their name (§6.1). It fails with code `full`
 * if there was no room and nothing has changed, else with `failed`: nobody knows then what the disk holds.
 */
export type Disk = {
  writeDocument: (name: string, text: string) => Promise<void>;
  /** Makes empty files; resolves once the folder is synced, so that their names outlast a loss of power. */
  reserveFiles: (names: string[]) => Promise<void>;
  /**
   * Writes a reserved file and syncs it: a loss of power before that may leave it torn. `text` is asked for when the
   * file is open, and not again. Fails as `put` does.
   */
  writeReserved: (name: string, text: () => string) => Promise<void>;
  /** Syncs what a former process may have left without a sync: these files, and the names of all. */
  syncExisting: (names: string[]) => Promise<void>;
  read: (name: string) => Promise<string | undefined>;
  list: () => Promise<string[]>;
  remove: (name: string) => Promise<void>;
};

export type FrameTransport = { at: Address; send: (to: Address, text: string) => void; close: () => Promise<void> };

export type HttpRequest = {
  method: string;
  path: string;
  query: Record<string, string>;
  /** Path and query as they came, byte for byte. */
  target: string;
  headers: Record<string, string>;
  /** Name, value, name, value: in the order and case in which they came. */
  rawHeaders: readonly string[];
  bytes: Uint8Array;
  /** The bytes read as UTF-8. */
  body: string;
  bodyTooLarge: boolean;
};
export type HttpResponseWriter = {
  writeHead: (status: number, headers: Record<string, string> | readonly string[]) => void;
  /** False when the reader is slow: wait for `drained` before the next piece. */
  write: (piece: string | Uint8Array) => boolean;
  drained: () => Promise<void>;
  end: (piece?: string | Uint8Array) => void;
  /** Breaks the stream off so that it cannot look complete (§5.6). */
  abort: () => void;
  isClosed: () => boolean;
  onClose: (fn: () => void) => void;
};
export type HttpHandler = (ask: HttpRequest, say: HttpResponseWriter) => void | Promise<void>;
export type HttpClientRequest = {
  at: Address;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Limit for the head of the result. */
  headersTimeout: Microseconds;
  /** Limit for silence within the body. */
  bodyTimeout?: Microseconds;
  /** Never reuse a kept connection (§5.4). */
  newConnection?: boolean;
};
export type HttpClientResponse = {
  status: number;
  headers: Record<string, string>;
  body: AsyncIterable<string>;
  abort: () => void;
};
/** One request over a connection of one's own. `target` and `body` reach the other side byte for byte. */
export type Exchange = {
  method: string;
  target: string;
  /** Name, value, name, value. */
  headers: readonly string[];
  body: Uint8Array | null;
};
export type ExchangeEvents = {
  /** The first byte is about to be sent: from here on the request may have run. */
  onSent: () => void;
  onHead: (status: number, headers: Record<string, string>, rawHeaders: readonly string[]) => void;
  onData: (bytes: Uint8Array) => void;
  onEnd: () => void;
  /** The exchange is over without its end. Nothing was sent unless `sent` was called before. */
  onError: (e: Error) => void;
};
export type ExchangeControl = { pause: () => void; resume: () => void; abort: () => void };
/** One connection to a worker, that serves one exchange at a time. */
export type HttpConnection = {
  exchange: (x: Exchange, on: ExchangeEvents) => ExchangeControl;
  /** False once the other side has closed it, or it was cut. */
  isOpen: () => boolean;
  close: () => void;
};
/** A whole body as text. */
export const readText = async (body: AsyncIterable<string>): Promise<string> => {
  let s = '';
  for await (const p of body) s += p;
  return s;
};
/** What callers may send, asked anew for each request; times in microseconds. */
export type HttpLimits = {
  maxBodyBytes: () => number;
  /** Fixed at the start. */
  maxHeaderBytes?: number;
  headersTimeout?: () => Microseconds;
  keepAliveTimeout?: () => Microseconds;
};
export type HttpServer = { at: Address; close: () => Promise<void> };
export type Net = {
  /**
   * `onDown` says that the connection to a sibling broke or did not come up: what was sent may or may not have
   * arrived.
   */
  openFrameTransport: (
    at: Address,
    /** False if the frame could not be read: its connection is broken off. */
    onFrame: (from: Address, text: string) => boolean,
    onDown?: (to: Address) => void,
    /** A connection was broken off for what came over it. */
    onBad?: (from: Address, why: string) => void,
  ) => Promise<FrameTransport>;
  serveHttp: (at: Address, handler: HttpHandler, limits: number | HttpLimits) => Promise<HttpServer>;
  request: (c: HttpClientRequest) => Promise<HttpClientResponse>;
  /** Not opened before its first exchange; that fails if it does not come up within `connectWithin`. */
  connectHttp: (at: Address, o: { connectWithin: Microseconds; onClosed?: () => void }) => HttpConnection;
};

export type Log = (text: string) => void;
export type Runtime = { clock: Clock; rand: Random; disk: Disk; net: Net; log: (part: string) => Log };

/** Errors carry the step and the sibling at which they arose (§2.4). */
export type FaultInfo = { step: string; sibling?: string; sent?: boolean; code?: string };
export const fault = {
  make: (info: FaultInfo, text: string, cause?: unknown): Error =>
    new VError(
      { name: 'Fault', cause: cause instanceof Error ? cause : undefined, info },
      '%s',
      `${info.step}${info.sibling ? ` at ${info.sibling}` : ''}: ${text}`,
    ),
  info: (e: unknown): Partial<FaultInfo> => (e instanceof Error ? (VError.info(e) as Partial<FaultInfo>) : {}),
  text: (e: unknown): string => (e instanceof Error ? e.message : String(e)),
  /** True only if nothing was sent and nothing can be (§5.4). */
  notSent: (e: unknown): boolean => fault.info(e).sent === false,
};

/** A check inside the code. A breach is counted and thrown: it is never a normal result (§9.1). */
const breaches: string[] = [];
export const invariant = {
  hold: (ok: boolean, text: string): void => {
    if (ok) return;
    breaches.push(text);
    throw new VError({ name: 'Breach' }, '%s', `invariant: ${text}`);
  },
  breaches: (): readonly string[] => breaches,
  clear: (): void => void breaches.splice(0),
};

/** A short lock: one holder at a time, first come first served (§2.3). */
export type Lock = <T>(fn: () => Promise<T>) => Promise<T>;
export const lock = {
  one: (): Lock => {
    let tail: Promise<unknown> = Promise.resolve();
    return (fn) => {
      const run = tail.then(fn, fn);
      tail = run.catch(() => undefined);
      return run;
    };
  },
  keyed: (): (<T>(key: string, fn: () => Promise<T>) => Promise<T>) => {
    const held = new Map<string, { lock: Lock; users: number }>();
    return async (key, fn) => {
      const it = held.get(key) ?? { lock: lock.one(), users: 0 };
      held.set(key, it);
      it.users += 1;
      try {
        return await it.lock(fn);
      } finally {
        it.users -= 1;
        if (it.users === 0) held.delete(key);
      }
    };
  },
};

export const time = {
  sleep: (clock: Clock, after: Microseconds): Promise<void> => new Promise((done) => void clock.schedule(after, done)),
  /** Calls fn every `every`; a slow or failed round delays the next, never overlaps it. */
  every: (clock: Clock, every: Microseconds, fn: () => void | Promise<void>): Cancel => {
    let off = false;
    let stop: Cancel = () => undefined;
    const again = (): void => {
      if (!off)
        stop = clock.schedule(
          every,
          () =>
            void Promise.resolve()
              .then(fn)
              .catch(() => undefined)
              .then(again),
        );
    };
    again();
    return () => {
      off = true;
      stop();
    };
  },
  limit: <T>(clock: Clock, left: Microseconds, work: Promise<T>, late: () => Error): Promise<T> =>
    new Promise((done, fail) => {
      const stop = clock.schedule(left, () => fail(late()));
      work.then(
        (v) => {
          stop();
          done(v);
        },
        (e) => {
          stop();
          fail(e);
        },
      );
    }),
};

/** Stable string hash (FNV-1a, 32 bit), for ring places and file names. */
export const hash = {
  of: (s: string): number => {
    let h = 0x811c9dc5;
    for (let i = 0; i < s.length; i++) h = Math.imul(h ^ s.charCodeAt(i), 0x01000193) >>> 0;
    h ^= h >>> 16;
    h = Math.imul(h, 0x85ebca6b) >>> 0;
    h ^= h >>> 13;
    return h >>> 0;
  },
};
export { errorCatalogue, type ErrorCatalogue, type ErrorDetails, type ErrorEntry } from './errors.js';
export { seeded } from './seeded.js';
export { files, type FileCalls } from './data-folder.js';
export { real } from './real.js';
export type { Listener } from './http-server.js';
