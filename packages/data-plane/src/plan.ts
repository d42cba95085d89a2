/**
 * Parses and validates a request of the product API into a plan, before anything else is done with it (§5.1). Pure
 * functions: no I/O.
 */
import type { ClassConfig, Config } from '@thornsail/config-schema';
import { createHash } from 'node:crypto';
import { duration, type HttpRequest, type Microseconds } from '@thornsail/runtime';
import { errors, type ErrorCode } from './errors.js';

/** A chat turn of a program, as parsed from its request. */
export type ChatPlan = {
  kind: 'chat';
  className: string;
  /** Settings of the class. */
  classSettings: ClassConfig;
  program: string;
  /** The idempotency key. */
  key: string | null;
  /** Digest of the request: detects a different request under the same key (§5.4). */
  sum: string;
  /** At-most-once: the gateway does not retry it, and the caller may retry it only with its key. */
  once: boolean;
  conversation: string | null;
  stream: boolean;
  /** From arrival to the caller's deadline. */
  timeLeft: Microseconds;
  messages: unknown[];
  /** Fields of the body that are passed to the worker unread. */
  rest: Record<string, unknown>;
  maxTokens: number;
};
/** A job: its body is passed to a worker unchanged. Fields as in `ChatPlan`. */
export type JobPlan = {
  kind: 'job';
  className: string;
  classSettings: ClassConfig;
  key: string | null;
  sum: string;
  once: boolean;
  timeLeft: Microseconds;
  body: string;
};
/** What to do with a request of the product API. `recall` reads a stored conversation. */
export type Plan =
  | ChatPlan
  | JobPlan
  | { kind: 'recall'; conversation: string }
  | { kind: 'reject'; status: number; error: ErrorCode; field: string | null; text: string };

const headerPrefix = 'x-thornsail-';
const reject = (error: ErrorCode, field: string | null, text: string): Plan => ({
  kind: 'reject',
  status: errors.status('chat', error),
  error,
  field,
  text,
});
const identifierPattern = /^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$/;

/** Decodes a path segment; empty if it is malformed, which no identifier is. */
const decodeSegment = (segment: string): string => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return '';
  }
};

const digest = (parts: unknown[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('base64').slice(0, 22);

/** Plans requests. */
export const plan = {
  /** Never throws: a malformed request becomes a plan of kind `reject`, with the error and the field at fault. */
  make: (request: HttpRequest, config: Config): Plan => {
    const conversationPath = /^\/v1\/conversations\/([^/]+)$/.exec(request.path);
    if (conversationPath) {
      if (request.method !== 'GET') return reject('bad_method', null, 'only GET is served here');
      const id = decodeSegment(conversationPath[1]!);
      return identifierPattern.test(id)
        ? { kind: 'recall', conversation: id }
        : reject('bad_field', 'conversation', 'not a valid name');
    }
    const isChat = request.path === '/v1/chat/completions';
    if (!isChat && request.path !== '/v1/jobs')
      return reject('no_such_path', null, `nothing is served at ${request.path}`);
    if (request.method !== 'POST') return reject('bad_method', null, 'only POST is served here');
    if (request.bodyTooLarge || Buffer.byteLength(request.body, 'utf8') > config.limits.maxBodyBytes)
      return reject('too_large', 'body', `the body is over ${config.limits.maxBodyBytes} bytes`);
    const headerValue = (name: string): string | undefined => request.headers[headerPrefix + name];
    const className = headerValue('class');
    if (className === undefined) return reject('missing_field', `${headerPrefix}class`, 'a class is needed');
    const classSettings = Object.hasOwn(config.classes, className) ? config.classes[className] : undefined;
    if (!classSettings)
      return reject('unknown_class', `${headerPrefix}class`, `there is no class ${className.slice(0, 40)}`);
    if (classSettings.kind !== (isChat ? 'model' : 'app'))
      return reject(
        'bad_field',
        `${headerPrefix}class`,
        `class ${className} is for ${classSettings.kind === 'app' ? '/v1/jobs' : '/v1/chat/completions'}`,
      );
    let timeLeft = duration.ms(classSettings.timeLeftMs);
    const timeLeftText = headerValue('time-left-ms');
    if (timeLeftText !== undefined) {
      if (!/^\d{1,7}$/.test(timeLeftText) || Number(timeLeftText) < 1)
        return reject('bad_field', `${headerPrefix}time-left-ms`, 'a whole number of milliseconds from 1 is needed');
      timeLeft = duration.ms(Number(timeLeftText));
    }
    const key = request.headers['idempotency-key'] ?? null;
    if (key !== null && !/^[\x21-\x7e]{1,200}$/.test(key))
      return reject('bad_field', 'idempotency-key', '1 to 200 printable characters');
    const onceText = headerValue('once');
    if (onceText !== undefined && onceText !== 'true' && onceText !== 'false')
      return reject('bad_field', `${headerPrefix}once`, 'true or false');
    const once = onceText === 'true';
    if (once && key === null) return reject('missing_field', 'idempotency-key', 'a once-request needs a key');
    let body: unknown;
    try {
      body = JSON.parse(request.body);
    } catch {
      return reject('bad_json', 'body', 'the body is not JSON');
    }
    const sum = digest(isChat ? [headerValue('program'), headerValue('conversation'), request.body] : [request.body]);
    if (!isChat) return { kind: 'job', className, classSettings, key, sum, once, timeLeft, body: request.body };
    const program = headerValue('program');
    if (program === undefined) return reject('missing_field', `${headerPrefix}program`, 'a program is needed');
    if (!identifierPattern.test(program))
      return reject('bad_field', `${headerPrefix}program`, 'letters, digits and ._:@- only, 128 at most');
    const conversation = headerValue('conversation') ?? null;
    if (conversation !== null && !identifierPattern.test(conversation))
      return reject('bad_field', `${headerPrefix}conversation`, 'letters, digits and ._:@- only, 128 at most');
    if (typeof body !== 'object' || body === null || Array.isArray(body))
      return reject('bad_field', 'body', 'an object is needed');
    const { messages, max_tokens, stream, ...rest } = body as Record<string, unknown>;
    if (!Array.isArray(messages) || messages.length === 0)
      return reject('bad_field', 'messages', 'a list of at least one message is needed');
    if (
      messages.some(
        (message) =>
          typeof message !== 'object' || message === null || typeof (message as { role?: unknown }).role !== 'string',
      )
    )
      return reject('bad_field', 'messages', 'every message needs a role');
    if (max_tokens !== undefined && !(Number.isInteger(max_tokens) && (max_tokens as number) > 0))
      return reject('bad_field', 'max_tokens', 'a whole number above 0');
    if (stream !== undefined && typeof stream !== 'boolean') return reject('bad_field', 'stream', 'true or false');
    delete rest['stream_options'];
    return {
      kind: 'chat',
      className,
      classSettings,
      program,
      key,
      sum,
      once,
      conversation,
      timeLeft,
      messages,
      rest,
      stream: stream !== false,
      maxTokens: Math.min((max_tokens as number | undefined) ?? classSettings.maxTokens, classSettings.maxTokens),
    };
  },
};
