// How requests, workers' answers and refusals are worded (§5.7). The request path knows meanings; a dialect knows
// names. One that keeps its meanings in headers is a table of their names.
import type { Config, Route } from '@thornsail/config-schema';
import { duration, type HttpRequest, type Microseconds } from '@thornsail/runtime';
import { errors } from '../errors.js';
import { refusal, type ForwardRequest, type ForwardPlan, type Refused, type Turn } from './plan.js';

/** Header names in lower case. */
export type HeaderNames = {
  attempt: string;
  deadlineMs: string;
  key: string;
  program: string;
  session: string;
  remainingMs: string;
  budget: string;
  usage: string;
  previous: string;
  lastEvent: string;
  /** To a worker: only the one of this name may run it. */
  expectInstance: string;
  /** To a worker: only one whose weights have this version may run it. */
  expectVersion: string;
  /** From a worker: the version of its weights, in its head and as a first line of the event at which it changes. */
  weightVersion: string;
  /** From a worker: it has not run the request, and never will. */
  notRun: string;
  /** From a worker: the stamp without which a success does not count. */
  seal: string;
  /** From a worker: running, waiting, slots. */
  load: string;
};
/** How many requests a worker runs, how many wait there, and how many it can run at once. */
export type WorkerLoad = { running: number; waiting: number; slots: number };
/** What the head of a worker's answer says. */
export type Incoming = {
  /** It answers the attempt that was sent, and not an earlier one. */
  mine: boolean;
  notRun: boolean;
  /** Another worker has this address. */
  wrongInstance: boolean;
  /** A success that carries all a success must carry. */
  success: boolean;
  /** Says success and lacks what a success must carry, a length too; or has an encoding that nobody asked for. */
  unsound: boolean;
  load: WorkerLoad | null;
  /** Seconds for which the worker keeps an idle connection. */
  keepAlive: number | null;
};
/** An answer as it goes out; headers as name, value, ... */
export type Words = { status: number; headers: readonly string[]; body: string };
/** What one attempt at a worker adds to its request: time left in microseconds, length of the body in bytes. */
type Send = { instance: string; left: Microseconds; lastEvent: string | null; length: number };
type Refusal = Omit<Refused, 'kind'>;
/** Reads and words requests and answers. */
export type Dialect = {
  plan: (ask: HttpRequest, config: Config) => ForwardPlan;
  outgoing: (plan: ForwardRequest, send: Send) => string[];
  incoming: (plan: ForwardRequest, status: number, headers: Record<string, string>) => Incoming;
  /** The headers of an answer that are the caller's to see. */
  passed: (rawHeaders: readonly string[]) => string[];
  /** The version of weights that headers of a worker's answer tell (name, value, ...), or null. */
  headVersion: (headers: readonly string[]) => string | null;
  /** The version that begins with this event, or null. */
  eventVersion: (event: Buffer) => string | null;
  /** How long the client waits for its answer by its own word, or null. */
  patience: (ask: HttpRequest) => Microseconds | null;
  /** `retryAfter` in seconds, fractions included. */
  refuse: (refusal: Refusal, retryAfter: number | null) => Words;
};

/** What concerns one connection only (RFC 9110 §7.6.1), and what is said anew for each. */
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
const endToEnd = (raw: readonly string[], but: ReadonlySet<string>): string[] => {
  const named = new Set<string>();
  for (let i = 0; i < raw.length; i += 2)
    if (raw[i]!.toLowerCase() === 'connection')
      for (const name of raw[i + 1]!.split(',')) named.add(name.trim().toLowerCase());
  const out: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i]!.toLowerCase();
    if (!hopByHop.has(name) && !named.has(name) && !but.has(name)) out.push(raw[i]!, raw[i + 1]!);
  }
  return out;
};
const none: ReadonlySet<string> = new Set();

/** The route of a host and path: of those of the host, the longest prefix that begins the path. */
export const routeOf = (config: Config, host: string, path: string): Route | undefined => {
  const at = host.toLowerCase().replace(/:\d+$/, '');
  let best: Route | undefined;
  for (const route of config.routes)
    if (
      route.host.toLowerCase() === at &&
      path.startsWith(route.prefix) &&
      route.prefix.length > (best?.prefix.length ?? -1)
    )
      best = route;
  return best;
};

const printable = /^[\x21-\x7e]{1,200}$/;
const number = /^\d{1,12}(\.\d{1,6})?$/;
const isRefused = (value: unknown): value is Refused => (value as Refused | null)?.kind === 'refuse';

/** Reads one header by its pattern; a missing one is null. */
const reader =
  (ask: HttpRequest) =>
  (name: string, ok: RegExp, what: string): string | null | Refused => {
    const value = ask.headers[name];
    if (value === undefined) return null;
    return ok.test(value) ? value : refusal('bad_field', name, what);
  };
const turnOf = (ask: HttpRequest, names: HeaderNames): Turn | null | Refused => {
  const read = reader(ask);
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
const usageOf = (ask: HttpRequest, names: HeaderNames): ForwardRequest['usage'] | Refused => {
  const usage = reader(ask)(names.usage, /^\d{1,12},\d{1,12}$/, 'two whole numbers with a comma between');
  if (isRefused(usage)) return usage;
  const [prompt = 0, most = 0] = usage === null ? [] : usage.split(',').map(Number);
  return { prompt, most };
};

const planOf = (ask: HttpRequest, config: Config, names: HeaderNames, set: ReadonlySet<string>): ForwardPlan => {
  const host = ask.headers['host'];
  if (host === undefined) return refusal('missing_field', 'host', 'a host is needed');
  // As it came: what a worker gets unchanged is what chooses its route.
  const route = routeOf(config, host, ask.target.split('?', 1)[0]!);
  if (!route) return refusal('no_such_route', null, 'no route leads there');
  if (ask.bodyTooLarge) return refusal('too_large', 'body', `the body is over ${config.limits.maxBodyBytes} bytes`);
  const read = reader(ask);
  const attempt = read(names.attempt, printable, '1 to 200 printable characters');
  if (attempt === null) return refusal('missing_field', names.attempt, 'every attempt carries an id of its own');
  const deadline = read(names.deadlineMs, number, 'a number of milliseconds');
  const key = read(names.key, printable, '1 to 200 printable characters');
  const previous = read(names.previous, printable, '1 to 200 printable characters');
  const turn = turnOf(ask, names);
  const usage = usageOf(ask, names);
  for (const field of [attempt, deadline, key, previous, turn, usage]) if (isRefused(field)) return field;
  if (route.semantics === 'keyed' && key === null)
    return refusal('missing_field', names.key, 'requests of this route carry a key');
  const stream = route.semantics === 'stream';
  return {
    kind: 'forward',
    route,
    cls: route.class,
    attempt: attempt as string,
    method: ask.method,
    target: ask.target,
    headers: endToEnd(ask.rawHeaders, set),
    body: ask.bytes,
    deadline: Math.min(
      duration.ms(route.deadlineMs),
      deadline === null ? duration.ms(route.deadlineMs) : duration.ms(Number(deadline)),
    ),
    key: route.semantics === 'keyed' ? (key as string) : null,
    usage: usage as ForwardRequest['usage'],
    turn: stream ? (turn as Turn | null) : null,
    previous: stream && route.keepSeconds > 0 ? (previous as string | null) : null,
    lastEvent: stream ? (ask.headers[names.lastEvent] ?? null) : null,
    expectVersion: ask.headers[names.expectVersion] ?? null,
  };
};

const withoutBody: ReadonlySet<number> = new Set([204, 304]);
/**
 * Whether the end of an answer can be told from a worker that ended within it. One without a length ends with its
 * connection, and that looks alike for both.
 */
const isFramed = (status: number, headers: Record<string, string>): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || withoutBody.has(status);
const loadOf = (value: string | undefined): WorkerLoad | null => {
  const match = value === undefined ? null : /^\s*(\d+)\s*,\s*(\d+)\s*,\s*(\d+)\s*$/.exec(value);
  return match ? { running: Number(match[1]), waiting: Number(match[2]), slots: Number(match[3]) } : null;
};
const keepAliveOf = (value: string | undefined): number | null => {
  const match = value === undefined ? null : /timeout=(\d+)/.exec(value);
  return match ? Number(match[1]) : null;
};

/** The headers that a worker gets: the client's own, and what is said anew for this attempt. */
const outgoingOf = (names: HeaderNames, plan: ForwardRequest, send: Send): string[] => [
  ...plan.headers,
  names.deadlineMs,
  String(Math.max(1, duration.toMs(send.left))),
  names.expectInstance,
  send.instance,
  ...(send.lastEvent === null ? [] : [names.lastEvent, send.lastEvent]),
  ...(plan.expectVersion === null ? [] : [names.expectVersion, plan.expectVersion]),
  ...(send.length > 0 || !['GET', 'HEAD'].includes(plan.method) ? ['content-length', String(send.length)] : []),
];
/** What the head of a worker's answer says; `wrongInstance` is the status by which a worker denies its name. */
const incomingOf = (
  names: HeaderNames,
  wrongInstance: number,
  plan: ForwardRequest,
  status: number,
  headers: Record<string, string>,
): Incoming => {
  const success = status >= 200 && status < 300;
  const encoded = headers['content-encoding'] !== undefined;
  const sound = headers[names.seal] !== undefined && !encoded && isFramed(status, headers);
  const notRun = headers[names.notRun] !== undefined || status === wrongInstance;
  const attempt = headers[names.attempt];
  return {
    mine: attempt === plan.attempt || (status === wrongInstance && attempt === undefined),
    notRun,
    wrongInstance: status === wrongInstance,
    success: success && sound,
    unsound: (success && !sound) || (encoded && !notRun),
    load: loadOf(headers[names.load]),
    keepAlive: keepAliveOf(headers['keep-alive']),
  };
};
const refusalOf = (refusal: Refusal, retryAfter: number | null): Words => ({
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
  /** A dialect that keeps all its meanings in headers. */
  byHeaders: (names: HeaderNames, wrongInstance = 421): Dialect => {
    const set = new Set([names.deadlineMs, names.expectInstance, names.lastEvent, names.expectVersion]);
    const versionLine = Buffer.from(`${names.weightVersion}:`, 'latin1');
    return {
      plan: (ask, config) => planOf(ask, config, names, set),
      outgoing: (plan, send) => outgoingOf(names, plan, send),
      incoming: (plan, status, headers) => incomingOf(names, wrongInstance, plan, status, headers),
      passed: (raw) => endToEnd(raw, none),
      headVersion: (headers) => {
        for (let i = 0; i < headers.length; i += 2)
          if (headers[i]!.toLowerCase() === names.weightVersion) return headers[i + 1]!.trim();
        return null;
      },
      eventVersion: (event) => {
        if (!event.subarray(0, versionLine.length).equals(versionLine)) return null;
        return event.toString('latin1', versionLine.length).split('\n', 1)[0]!.trim();
      },
      patience: (ask) => {
        const told = ask.headers[names.deadlineMs];
        return told !== undefined && number.test(told) ? duration.ms(Number(told)) : null;
      },
      refuse: refusalOf,
    };
  },
};
