// How requests, workers' answers and refusals are worded (§5.7). The request path knows meanings; a dialect knows
// names. One that keeps its meanings in headers is a table of their names.
import type { Config, Route } from '@thornsail/config-schema';
import { us, type HttpAsk, type Us } from '@thornsail/runtime';
import { errors } from '../errors.js';
import { refused, type Forward, type ForwardPlan, type Refused, type Turn } from './plan.js';

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
export type Words = { status: number; headers: readonly string[]; body: string };
export type Dialect = {
  plan: (ask: HttpAsk, config: Config) => ForwardPlan;
  outgoing: (p: Forward, o: { instance: string; left: Us; lastEvent: string | null; length: number }) => string[];
  incoming: (p: Forward, status: number, headers: Record<string, string>) => Incoming;
  /** The headers of an answer that are the caller's to see. */
  passed: (rawHeaders: readonly string[]) => string[];
  /** The version of weights that headers of a worker's answer tell (name, value, ...), or null. */
  headVersion: (headers: readonly string[]) => string | null;
  /** The version that begins with this event, or null. */
  eventVersion: (event: Buffer) => string | null;
  /** How long the client waits for its answer by its own word, or null. */
  patience: (ask: HttpAsk) => Us | null;
  /** `retryAfter` in seconds, fractions included. */
  refuse: (r: Omit<Refused, 'kind'>, retryAfter: number | null) => Words;
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
      for (const n of raw[i + 1]!.split(',')) named.add(n.trim().toLowerCase());
  const out: string[] = [];
  for (let i = 0; i < raw.length; i += 2) {
    const n = raw[i]!.toLowerCase();
    if (!hopByHop.has(n) && !named.has(n) && !but.has(n)) out.push(raw[i]!, raw[i + 1]!);
  }
  return out;
};
const none: ReadonlySet<string> = new Set();

/** The route of a host and path: of those of the host, the longest prefix that begins the path. */
export const routeOf = (config: Config, host: string, path: string): Route | undefined => {
  const at = host.toLowerCase().replace(/:\d+$/, '');
  let best: Route | undefined;
  for (const r of config.routes)
    if (r.host.toLowerCase() === at && path.startsWith(r.prefix) && r.prefix.length > (best?.prefix.length ?? -1))
      best = r;
  return best;
};

const printable = /^[\x21-\x7e]{1,200}$/;
const number = /^\d{1,12}(\.\d{1,6})?$/;
const isRefused = (x: unknown): x is Refused => (x as Refused | null)?.kind === 'refuse';

/** Reads one header by its pattern; a missing one is null. */
const reader =
  (ask: HttpAsk) =>
  (name: string, ok: RegExp, what: string): string | null | Refused => {
    const v = ask.headers[name];
    if (v === undefined) return null;
    return ok.test(v) ? v : refused('bad_field', name, what);
  };
const turnOf = (ask: HttpAsk, n: HeaderNames): Turn | null | Refused => {
  const read = reader(ask);
  const program = read(n.program, printable, '1 to 200 printable characters');
  const session = read(n.session, printable, '1 to 200 printable characters');
  const remaining = read(n.remainingMs, /^-?\d{1,12}(\.\d{1,6})?$/, 'a number of milliseconds');
  const budget = read(n.budget, number, 'a number of tokens');
  for (const x of [program, session, remaining, budget]) if (isRefused(x)) return x;
  if (program === null) return null;
  return {
    program: program as string,
    session: (session as string | null) ?? '',
    remaining: remaining === null ? null : us.ms(Number(remaining)),
    budget: budget === null ? null : Number(budget),
  };
};
const usageOf = (ask: HttpAsk, n: HeaderNames): Forward['usage'] | Refused => {
  const v = reader(ask)(n.usage, /^\d{1,12},\d{1,12}$/, 'two whole numbers with a comma between');
  if (isRefused(v)) return v;
  const [prompt = 0, most = 0] = v === null ? [] : v.split(',').map(Number);
  return { prompt, most };
};

const planOf = (ask: HttpAsk, config: Config, n: HeaderNames, set: ReadonlySet<string>): ForwardPlan => {
  const host = ask.headers['host'];
  if (host === undefined) return refused('missing_field', 'host', 'a host is needed');
  // As it came: what a worker gets unchanged is what chooses its route.
  const route = routeOf(config, host, ask.target.split('?', 1)[0]!);
  if (!route) return refused('no_such_route', null, 'no route leads there');
  if (ask.tooBig) return refused('too_large', 'body', `the body is over ${config.limits.maxBodyBytes} bytes`);
  const read = reader(ask);
  const attempt = read(n.attempt, printable, '1 to 200 printable characters');
  if (attempt === null) return refused('missing_field', n.attempt, 'every attempt carries an id of its own');
  const deadline = read(n.deadlineMs, number, 'a number of milliseconds');
  const key = read(n.key, printable, '1 to 200 printable characters');
  const previous = read(n.previous, printable, '1 to 200 printable characters');
  const turn = turnOf(ask, n);
  const usage = usageOf(ask, n);
  for (const x of [attempt, deadline, key, previous, turn, usage]) if (isRefused(x)) return x;
  if (route.semantics === 'keyed' && key === null)
    return refused('missing_field', n.key, 'requests of this route carry a key');
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
    deadline: Math.min(us.ms(route.deadlineMs), deadline === null ? us.ms(route.deadlineMs) : us.ms(Number(deadline))),
    key: route.semantics === 'keyed' ? (key as string) : null,
    usage: usage as Forward['usage'],
    turn: stream ? (turn as Turn | null) : null,
    previous: stream && route.keepSeconds > 0 ? (previous as string | null) : null,
    lastEvent: stream ? (ask.headers[n.lastEvent] ?? null) : null,
    expectVersion: ask.headers[n.expectVersion] ?? null,
  };
};

const withoutBody: ReadonlySet<number> = new Set([204, 304]);
/**
 * Whether the end of an answer can be told from a worker that ended within it. One without a length ends with its
 * connection, and that looks alike for both.
 */
const isFramed = (status: number, headers: Record<string, string>): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || withoutBody.has(status);
const loadOf = (v: string | undefined): WorkerLoad | null => {
  const m = v === undefined ? null : /^\s*(\d+)\s*,\s*(\d+)\s*,\s*(\d+)\s*$/.exec(v);
  return m ? { running: Number(m[1]), waiting: Number(m[2]), slots: Number(m[3]) } : null;
};
const keepAliveOf = (v: string | undefined): number | null => {
  const m = v === undefined ? null : /timeout=(\d+)/.exec(v);
  return m ? Number(m[1]) : null;
};

export const dialect = {
  /** A dialect that keeps all its meanings in headers. */
  byHeaders: (n: HeaderNames, wrongInstance = 421): Dialect => {
    const set = new Set([n.deadlineMs, n.expectInstance, n.lastEvent, n.expectVersion]);
    const versionLine = Buffer.from(`${n.weightVersion}:`, 'latin1');
    return {
      plan: (ask, config) => planOf(ask, config, n, set),
      outgoing: (p, o) => [
        ...p.headers,
        n.deadlineMs,
        String(Math.max(1, us.toMs(o.left))),
        n.expectInstance,
        o.instance,
        ...(o.lastEvent === null ? [] : [n.lastEvent, o.lastEvent]),
        ...(p.expectVersion === null ? [] : [n.expectVersion, p.expectVersion]),
        ...(o.length > 0 || !['GET', 'HEAD'].includes(p.method) ? ['content-length', String(o.length)] : []),
      ],
      incoming: (p, status, headers) => {
        const success = status >= 200 && status < 300;
        const encoded = headers['content-encoding'] !== undefined;
        const sound = headers[n.seal] !== undefined && !encoded && isFramed(status, headers);
        const notRun = headers[n.notRun] !== undefined || status === wrongInstance;
        return {
          mine: headers[n.attempt] === p.attempt || (status === wrongInstance && headers[n.attempt] === undefined),
          notRun,
          wrongInstance: status === wrongInstance,
          success: success && sound,
          unsound: (success && !sound) || (encoded && !notRun),
          load: loadOf(headers[n.load]),
          keepAlive: keepAliveOf(headers['keep-alive']),
        };
      },
      passed: (raw) => endToEnd(raw, none),
      headVersion: (headers) => {
        for (let i = 0; i < headers.length; i += 2)
          if (headers[i]!.toLowerCase() === n.weightVersion) return headers[i + 1]!.trim();
        return null;
      },
      eventVersion: (event) => {
        if (!event.subarray(0, versionLine.length).equals(versionLine)) return null;
        return event.toString('latin1', versionLine.length).split('\n', 1)[0]!.trim();
      },
      patience: (ask) => {
        const told = ask.headers[n.deadlineMs];
        return told !== undefined && number.test(told) ? us.ms(Number(told)) : null;
      },
      refuse: (r, retryAfter) => ({
        status: r.status,
        headers: [
          'content-type',
          'application/json',
          ...(retryAfter === null ? [] : ['retry-after', retryAfter.toFixed(3)]),
        ],
        body: JSON.stringify({
          error: errors.name(r.error),
          ...(r.field === null ? {} : { field: r.field }),
          message: r.text,
        }),
      }),
    };
  },
};
