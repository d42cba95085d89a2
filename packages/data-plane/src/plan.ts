// The plan of a request, made first and as data (§5.1). Nothing here touches the outside.
import type { ClassOf, Config } from '@thornsail/config-schema';
import { createHash } from 'node:crypto';
import { duration, type HttpRequest, type Microseconds } from '@thornsail/runtime';
import { errors, type ErrorCode } from './errors.js';

/** A turn of a program, as its request plans it. Identifies nothing outside: it is data. */
export type ChatPlan = {
  kind: 'chat';
  cls: string;
  of: ClassOf;
  program: string;
  key: string | null;
  /** Digest of the request, by which another one under the same key is recognised (§5.4). */
  sum: string;
  /** It must not run twice: it is not repeated by itself, nor may its caller repeat it without its key. */
  once: boolean;
  conversation: string | null;
  stream: boolean;
  timeLeft: Microseconds;
  messages: unknown[];
  /** Fields of the body that only the worker reads. */
  rest: Record<string, unknown>;
  maxTokens: number;
};
/** A job: its body goes to a worker as it came. */
export type JobPlan = {
  kind: 'job';
  cls: string;
  of: ClassOf;
  key: string | null;
  sum: string;
  once: boolean;
  timeLeft: Microseconds;
  body: string;
};
/** What is to be done with a request of the product's interface. */
export type Plan =
  | ChatPlan
  | JobPlan
  | { kind: 'recall'; conversation: string }
  | { kind: 'reject'; status: number; error: ErrorCode; field: string | null; text: string };

const header = 'x-thornsail-';
const reject = (error: ErrorCode, field: string | null, text: string): Plan => ({
  kind: 'reject',
  status: errors.status('chat', error),
  error,
  field,
  text,
});
const ident = /^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$/;

const decoded = (s: string): string => {
  try {
    return decodeURIComponent(s);
  } catch {
    return '';
  }
};

const digest = (parts: unknown[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('base64').slice(0, 22);

export const plan = {
  make: (ask: HttpRequest, config: Config): Plan => {
    const recall = /^\/v1\/conversations\/([^/]+)$/.exec(ask.path);
    if (recall) {
      if (ask.method !== 'GET') return reject('bad_method', null, 'only GET is served here');
      const id = decoded(recall[1]!);
      return ident.test(id)
        ? { kind: 'recall', conversation: id }
        : reject('bad_field', 'conversation', 'not a valid name');
    }
    const chat = ask.path === '/v1/chat/completions';
    if (!chat && ask.path !== '/v1/jobs') return reject('no_such_path', null, `nothing is served at ${ask.path}`);
    if (ask.method !== 'POST') return reject('bad_method', null, 'only POST is served here');
    if (ask.bodyTooLarge || Buffer.byteLength(ask.body, 'utf8') > config.limits.maxBodyBytes)
      return reject('too_large', 'body', `the body is over ${config.limits.maxBodyBytes} bytes`);
    const h = (name: string): string | undefined => ask.headers[header + name];
    const cls = h('class');
    if (cls === undefined) return reject('missing_field', `${header}class`, 'a class is needed');
    const of = Object.hasOwn(config.classes, cls) ? config.classes[cls] : undefined;
    if (!of) return reject('unknown_class', `${header}class`, `there is no class ${cls.slice(0, 40)}`);
    if (of.kind !== (chat ? 'model' : 'app'))
      return reject(
        'bad_field',
        `${header}class`,
        `class ${cls} is for ${of.kind === 'app' ? '/v1/jobs' : '/v1/chat/completions'}`,
      );
    let timeLeft = duration.ms(of.timeLeftMs);
    const left = h('time-left-ms');
    if (left !== undefined) {
      if (!/^\d{1,7}$/.test(left) || Number(left) < 1)
        return reject('bad_field', `${header}time-left-ms`, 'a whole number of milliseconds from 1 is needed');
      timeLeft = duration.ms(Number(left));
    }
    const key = ask.headers['idempotency-key'] ?? null;
    if (key !== null && !/^[\x21-\x7e]{1,200}$/.test(key))
      return reject('bad_field', 'idempotency-key', '1 to 200 printable characters');
    const onceText = h('once');
    if (onceText !== undefined && onceText !== 'true' && onceText !== 'false')
      return reject('bad_field', `${header}once`, 'true or false');
    const once = onceText === 'true';
    if (once && key === null) return reject('missing_field', 'idempotency-key', 'a once-request needs a key');
    let body: unknown;
    try {
      body = JSON.parse(ask.body);
    } catch {
      return reject('bad_json', 'body', 'the body is not JSON');
    }
    const sum = digest(chat ? [h('program'), h('conversation'), ask.body] : [ask.body]);
    if (!chat) return { kind: 'job', cls, of, key, sum, once, timeLeft, body: ask.body };
    const program = h('program');
    if (program === undefined) return reject('missing_field', `${header}program`, 'a program is needed');
    if (!ident.test(program))
      return reject('bad_field', `${header}program`, 'letters, digits and ._:@- only, 128 at most');
    const conversation = h('conversation') ?? null;
    if (conversation !== null && !ident.test(conversation))
      return reject('bad_field', `${header}conversation`, 'letters, digits and ._:@- only, 128 at most');
    if (typeof body !== 'object' || body === null || Array.isArray(body))
      return reject('bad_field', 'body', 'an object is needed');
    const { messages, max_tokens, stream, ...rest } = body as Record<string, unknown>;
    if (!Array.isArray(messages) || messages.length === 0)
      return reject('bad_field', 'messages', 'a list of at least one message is needed');
    if (messages.some((m) => typeof m !== 'object' || m === null || typeof (m as { role?: unknown }).role !== 'string'))
      return reject('bad_field', 'messages', 'every message needs a role');
    if (max_tokens !== undefined && !(Number.isInteger(max_tokens) && (max_tokens as number) > 0))
      return reject('bad_field', 'max_tokens', 'a whole number above 0');
    if (stream !== undefined && typeof stream !== 'boolean') return reject('bad_field', 'stream', 'true or false');
    delete rest['stream_options'];
    return {
      kind: 'chat',
      cls,
      of,
      program,
      key,
      sum,
      once,
      conversation,
      timeLeft,
      messages,
      rest,
      stream: stream !== false,
      maxTokens: Math.min((max_tokens as number | undefined) ?? of.maxTokens, of.maxTokens),
    };
  },
};
