/**
 * Dialects (§5.7): how requests, worker responses and refusals are encoded on the wire. The request path works on the
 * parsed values, a dialect maps them to header names. A dialect with all values in headers is a table of their names.
 */
import type { Config, Route } from '@thornsail/config-schema';
import { duration, type HttpRequest, type Microseconds } from '@thornsail/runtime';
import { errors } from '../errors.js';
import { refusal, type ForwardRequest, type ForwardPlan, type Refused, type Turn } from './plan.js';

/** The names of a dialect's headers, in lower case. */
export type HeaderNames = {
  /** Id of the caller's attempt; a worker's response repeats it. */
  attempt: string;
  /** Time until the caller's deadline, or to a worker the time left. */
  deadlineMs: string;
  /** Idempotency key. */
  key: string;
  program: string;
  session: string;
  /** Time until the program should end. */
  remainingMs: string;
  /** Output tokens that the turns of the program together may use. */
  budget: string;
  /** Length of the prompt and largest output, in tokens. */
  usage: string;
  /** Attempt id of the turn that this one continues. */
  previous: string;
  /** Id of the last event that the client has. */
  lastEvent: string;
  /** To a worker: the worker id that may run the request; another worker at the address must refuse it. */
  expectInstance: string;
  /** To a worker: the version of the weights that it must have to run the request. */
  expectVersion: string;
  /** From a worker: the version of its weights, in the head and as first line of the event at which it changes. */
  weightVersion: string;
  /** From a worker: it has not run the request and will not run it. */
  notRun: string;
  /** From a worker: a header that marks its responses; a success without it is not accepted. */
  seal: string;
  /** From a worker: its load as "running,waiting,slots". */
  load: string;
};
/** How many requests a worker runs, how many wait there, and how many it can run concurrently. */
export type WorkerLoad = { running: number; waiting: number; slots: number };
/** The parsed head of a worker's response. */
export type WorkerResponseHead = {
  /** It names the attempt that was sent, so it is no response to an earlier request on the connection. */
  matchesAttempt: boolean;
  /** The worker has not run the request and will not run it. */
  notRun: boolean;
  /** Another worker than the intended one has the address. */
  wrongInstance: boolean;
  /** A success with the seal and without a content encoding, framed by a length, by chunks or by its status. */
  success: boolean;
  /** A success status without one of these, or another response with a content encoding that was not requested. */
  unsound: boolean;
  load: WorkerLoad | null;
  /** Idle timeout of the connection in seconds, by the Keep-Alive header; null: not stated. */
  keepAlive: number | null;
};
/** A refusal as it is sent to the client; headers as name, value, ... */
export type RefusalResponse = { status: number; headers: readonly string[]; body: string };
/** What one send to a worker adds to the request. `left`: time until the deadline; `length`: of the body, in bytes. */
type Send = { instance: string; left: Microseconds; lastEvent: string | null; length: number };
type Refusal = Omit<Refused, 'kind'>;
/** Parses requests and worker responses, and formats what is sent to workers and clients. */
export type Dialect = {
  /** Plans a client's request, or refuses it. */
  plan: (request: HttpRequest, config: Config) => ForwardPlan;
  /** The headers of a request to a worker, as name, value, ... */
  requestHeaders: (plan: ForwardRequest, send: Send) => string[];
  /** Parses the head of a worker's response; header names in lower case. */
  responseHead: (plan: ForwardRequest, status: number, headers: Record<string, string>) => WorkerResponseHead;
  /** The headers of a worker's response that are passed on to the client: all but hop-by-hop headers. */
  clientHeaders: (rawHeaders: readonly string[]) => string[];
  /** The version of the weights in the headers (name, value, ...) of a worker's response; null: none. */
  headVersion: (headers: readonly string[]) => string | null;
  /** The version of the weights that holds from this event on; null: it names none. */
  eventVersion: (event: Buffer) => string | null;
  /** How long the client waits for its answer; null: not stated, or not a number. */
  clientTimeout: (request: HttpRequest) => Microseconds | null;
  /** Formats a refusal. `retryAfter` in seconds, which may be fractional; null: no Retry-After header. */
  refuse: (refusal: Refusal, retryAfter: number | null) => RefusalResponse;
};

/** Headers of one connection only (RFC 9110 §7.6.1), and those that are set anew for each message. */
const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);
/** The end-to-end headers of a message (name, value, ...) except `excluded`. */
const endToEnd = (raw: readonly string[], excluded: ReadonlySet<string>): string[] => {
  const namedByConnection = new Set<string>();
  for (let i = 0; i < raw.length; i += 2)
    if (raw[i]!.toLowerCase() === 'connection')
      for (const name of raw[i + 1]!.split(',')) namedByConnection.add(name.trim().toLowerCase());
  const kept: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!hopByHop.has(name) && !namedByConnection.has(name) && !excluded.has(name)) kept.push(raw[i]!, raw[i + 1]!);
  }
  return kept;
};
const noNames: ReadonlySet<string> = new Set();

/** The route of the host with the longest prefix of the path; undefined: none matches. */
export const findRoute = (config: Config, host: string, path: string): Route | undefined => {
  const hostname = host.toLowerCase().replace(/:\d+$/, '');
  let best: Route | undefined;
  for (const route of config.routes)
    if (
      route.host.toLowerCase() === hostname &&
      path.startsWith(route.prefix) &&
      route.prefix.length > (best?.prefix.length ?? -1)
    )
      best = route;
  return best;
};

const printable = /^[\x21-\x7e]{1,200}$/;
const number = /^\d{1,12}(\.\d{1,6})?$/;
const isRefused = (value: unknown): value is Refused => (value as Refused | null)?.kind === 'refuse';

/** Reads one header and checks its pattern; a missing header is null, one that does not match a refusal. */
const reader =
  (request: HttpRequest) =>
  (name: string, pattern: RegExp, expected: string): string | null | Refused => {
    const value = request.headers[name];
    if (value === undefined) return null;
    return pattern.test(value) ? value : refusal('bad_field', name, expected);
  };
const turnOf = (request: HttpRequest, names: HeaderNames): Turn | null | Refused => {
  const read = reader(request);
  const program = read(names.program, printable, '1 to 200 printable characters');
  const session = read(names.session, printable, '1 to 200 printable characters');
  const remaining = read(names.remainingMs, /^-?\d{1,12}(\.\d{1,6})?$/, 'a number of milliseconds');
  const budget = read(names.budget, number, 'a number of tokens');
  for (const field of [program, session, remaining, budget]) if (isRefused(field)) return field;
  if (program === null) return null;
  return {
    program: program as string,
    session: (session as string | null) ?? '',
    remaining: remaining === null ? null : duration.ms(Number(remaining)),
    budget: budget === null ? null : Number(budget),
  };
};
const usageOf = (request: HttpRequest, names: HeaderNames): ForwardRequest['usage'] | Refused => {
  const usage = reader(request)(names.usage, /^\d{1,12},\d{1,12}$/, 'two whole numbers with a comma between');
  if (isRefused(usage)) return usage;
  const [prompt = 0, most = 0] = usage === null ? [] : usage.split(',').map(Number);
  return { prompt, most };
};

const planOf = (
  request: HttpRequest,
  config: Config,
  names: HeaderNames,
  replaced: ReadonlySet<string>,
): ForwardPlan => {
  const host = request.headers['host'];
  if (host === undefined) return refusal('missing_field', 'host', 'a host is needed');
  // The path as received, not normalised: the worker gets it unchanged, so it must be what selects the route.
  const route = findRoute(config, host, request.target.split('?', 1)[0]!);
  if (!route) return refusal('no_such_route', null, 'no route leads there');
  if (request.bodyTooLarge) return refusal('too_large', 'body', `the body is over ${config.limits.maxBodyBytes} bytes`);
  const read = reader(request);
  const attempt = read(names.attempt, printable, '1 to 200 printable characters');
  if (attempt === null) return refusal('missing_field', names.attempt, 'every attempt carries an id of its own');
  const deadline = read(names.deadlineMs, number, 'a number of milliseconds');
  const key = read(names.key, printable, '1 to 200 printable characters');
  const previous = read(names.previous, printable, '1 to 200 printable characters');
  const turn = turnOf(request, names);
  const usage = usageOf(request, names);
  for (const field of [attempt, deadline, key, previous, turn, usage]) if (isRefused(field)) return field;
  if (route.semantics === 'keyed' && key === null)
    return refusal('missing_field', names.key, 'requests of this route carry a key');
  const stream = route.semantics === 'stream';
  return {
    kind: 'forward',
    route,
    className: route.class,
    attempt: attempt as string,
    method: request.method,
    target: request.target,
    headers: endToEnd(request.rawHeaders, replaced),
    body: request.bytes,
    deadline: Math.min(
      duration.ms(route.deadlineMs),
      deadline === null ? duration.ms(route.deadlineMs) : duration.ms(Number(deadline)),
    ),
    key: route.semantics === 'keyed' ? (key as string) : null,
    usage: usage as ForwardRequest['usage'],
    turn: stream ? (turn as Turn | null) : null,
    previous: stream && route.keepSeconds > 0 ? (previous as string | null) : null,
    lastEvent: stream ? (request.headers[names.lastEvent] ?? null) : null,
    expectVersion: request.headers[names.expectVersion] ?? null,
  };
};

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);
/**
 * Whether a complete response can be told from one that its worker broke off. A response without a length or chunks
 * ends when its connection closes, in both cases.
 */
const isFramed = (status: number, headers: Record<string, string>): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined ||
  statusesWithoutBody.has(status);
const loadOf = (value: string | undefined): WorkerLoad | null => {
  const match = value === undefined ? null : /^\s*(\d+)\s*,\s*(\d+)\s*,\s*(\d+)\s*$/.exec(value);
  return match ? { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]) } : null;
};
const keepAliveOf = (value: string | undefined): number | null => {
  const match = value === undefined ? null : /timeout=(\d+)/.exec(value);
  return match ? Number(match[1]) : null;
};

/** The headers that a worker gets: those of the client, and those that are set for this send. */
const requestHeadersOf = (names: HeaderNames, plan: ForwardRequest, send: Send): string[] => [
  ...plan.headers,
  names.deadlineMs,
  String(Math.max(1, duration.toMs(send.left))),
  names.expectInstance,
  send.instance,
  ...(send.lastEvent === null ? [] : [names.lastEvent, send.lastEvent]),
  ...(plan.expectVersion === null ? [] : [names.expectVersion, plan.expectVersion]),
  ...(send.length > 0 || !['GET', 'HEAD'].includes(plan.method) ? ['content-length', String(send.length)] : []),
];
/** Parses the head of a worker's response. `wrongInstance`: the status of a worker that is not the intended one. */
const responseHeadOf = (
  names: HeaderNames,
  wrongInstance: number,
  plan: ForwardRequest,
  status: number,
  headers: Record<string, string>,
): WorkerResponseHead => {
  const success = status >= 200 && status < 300;
  const encoded = headers['content-encoding'] !== undefined;
  const complete = headers[names.seal] !== undefined && !encoded && isFramed(status, headers);
  const notRun = headers[names.notRun] !== undefined || status === wrongInstance;
  const attempt = headers[names.attempt];
  return {
    matchesAttempt: attempt === plan.attempt || (status === wrongInstance && attempt === undefined),
    notRun,
    wrongInstance: status === wrongInstance,
    success: success && complete,
    unsound: (success && !complete) || (encoded && !notRun),
    load: loadOf(headers[names.load]),
    keepAlive: keepAliveOf(headers['keep-alive']),
  };
};
const refusalOf = (refusal: Refusal, retryAfter: number | null): RefusalResponse => ({
  status: refusal.status,
  headers: ['content-type', 'application/json', ...(retryAfter === null ? [] : ['retry-after', retryAfter.toFixed(3)])],
  body: JSON.stringify({
    error: errors.name(refusal.error),
    ...(refusal.field === null ? {} : { field: refusal.field }),
    message: refusal.text,
  }),
});

/** Opens dialects. */
export const dialect = {
  /** A dialect that has all values in headers. `wrongInstance`: the status of a worker that is not the intended one. */
  byHeaders: (names: HeaderNames, wrongInstance = 421): Dialect => {
    const replaced = new Set([names.deadlineMs, names.expectInstance, names.lastEvent, names.expectVersion]);
    const versionLine = Buffer.from(`${names.weightVersion}:`, 'latin1');
    return {
      plan: (request, config) => planOf(request, config, names, replaced),
      requestHeaders: (plan, send) => requestHeadersOf(names, plan, send),
      responseHead: (plan, status, headers) => responseHeadOf(names, wrongInstance, plan, status, headers),
      clientHeaders: (raw) => endToEnd(raw, noNames),
      headVersion: (headers) => {
        for (let i = 0; i < headers.length; i += 2)
          if (headers[i]!.toLowerCase() === names.weightVersion) return headers[i + 1]!.trim();
        return null;
      },
      eventVersion: (event) => {
        if (!event.subarray(0, versionLine.length).equals(versionLine)) return null;
        return event.toString('latin1', versionLine.length).split('\n', 1)[0]!.trim();
      },
      clientTimeout: (request) => {
        const value = request.headers[names.deadlineMs];
        return value !== undefined && number.test(value) ? duration.ms(Number(value)) : null;
      },
      refuse: refusalOf,
    };
  },
};
