// One attempt of a chat turn: the request, its stream or rejection, and what of it breaks a rule.
import {
  duration,
  fault,
  readText,
  type Address,
  type HttpClientResponse,
  type Microseconds,
} from '@thornsail/runtime';
import { standText } from '../standins.js';
import { patience, type Account, type Rejection } from './account.js';
import type { Message } from './conversation-check.js';
import { readStream } from './event-stream.js';

/** What came of an attempt; `retry` is the time that a rejection asks to wait. */
export type TurnResult =
  | { ok: true; content: string; waited: Microseconds }
  | { ok: false; why: string; retry: Microseconds | null; ran: string; waited: Microseconds };

/** An attempt at a gateway; `conversation` is null for one that is not stored. */
export type TurnRequest = {
  at: Address;
  program: string;
  cls: string;
  messages: Message[];
  conversation: string | null;
  key: string | null;
};

const maxTokens = 48;

const send = ({ options }: Account, request: TurnRequest): Promise<HttpClientResponse> =>
  options.runtime.net.request({
    at: request.at,
    method: 'POST',
    path: '/v1/chat/completions',
    headersTimeout: duration.ms(options.chatTimeLeft),
    bodyTimeout: patience,
    headers: {
      'content-type': 'application/json',
      'x-thornsail-program': request.program,
      'x-thornsail-class': request.cls,
      'x-thornsail-time-left-ms': String(options.chatTimeLeft),
      ...(request.conversation ? { 'x-thornsail-conversation': request.conversation } : {}),
      ...(request.key ? { 'idempotency-key': request.key } : {}),
    },
    body: JSON.stringify({ messages: request.messages, stream: true, max_tokens: maxTokens }),
  });

type Attempt = { account: Account; request: TurnRequest; begun: Microseconds; hasFirst: boolean };

/** The connection failed or fell silent. */
const broken = ({ account, request, begun, hasFirst }: Attempt, error: unknown): TurnResult => {
  const { options, summary } = account;
  const { at, program, key } = request;
  const info = fault.info(error);
  const waited = options.runtime.clock.now() - begun;
  const isSilent = fault.text(error).endsWith('silence');
  if (isSilent) summary.silent += 1;
  if (info.step === 'http.body') summary.cut += 1;
  else summary.failed += 1;
  // The connection stood, yet nothing came, or nothing more.
  const isSystems = (isSilent && !options.stalls) || (!hasFirst && info.sent && waited > patience);
  if (isSystems && !options.excused(at, begun))
    summary.silences.push({ program, begun, waited, what: 'cut after silence' });
  account.unanswered(key, info.sent !== false);
  const ran = info.sent === false ? 'no' : 'unknown';
  return { ok: false, why: info.step ?? 'failed', retry: null, ran, waited };
};

const rejected = async ({ account, request, begun }: Attempt, response: HttpClientResponse): Promise<TurnResult> => {
  const body = JSON.parse(await readText(response.body)) as Rejection;
  const what = `rejection ${response.status} ${body.error}`;
  const waited = account.gotFirst({ at: request.at, begun, what, program: request.program });
  account.answered(request.key, body.ran ?? 'unknown');
  const retry = account.rejected(response, body, waited);
  return { ok: false, why: body.error, retry, ran: body.ran ?? '?', waited };
};

const streamed = async (attempt: Attempt, response: HttpClientResponse): Promise<TurnResult> => {
  const { account, request, begun } = attempt;
  const { options, summary } = account;
  const { at, program, messages, conversation } = request;
  const onBreach = (text: string): void => void summary.breaches.push(`stream of ${program}: ${text}`);
  let waited = 0;
  const onFirst = (): void => {
    attempt.hasFirst = true;
    waited = account.gotFirst({ at, begun, what: 'first piece', program });
  };
  const { done, content } = await readStream(response, { onFirst, onBreach });
  if (!done) {
    onBreach('a clean end without its end marker');
    return { ok: false, why: 'incomplete', retry: null, ran: 'unknown', waited };
  }
  if (!conversation && content !== standText(messages, maxTokens).join(''))
    onBreach('text differs from what its worker said');
  account.answered(request.key, 'yes');
  summary.results += 1;
  summary.lastOk = options.runtime.clock.now();
  return { ok: true, content, waited };
};

/** Makes one attempt; it never throws. */
export const attemptTurn = async (account: Account, request: TurnRequest): Promise<TurnResult> => {
  account.summary.turns += 1;
  const begun = account.options.runtime.clock.now();
  const attempt: Attempt = { account, request, begun, hasFirst: false };
  if (request.key) account.storyOf(request.key).sent.push(begun);
  try {
    const response = await send(account, request);
    return await (response.status === 200 ? streamed(attempt, response) : rejected(attempt, response));
  } catch (error) {
    return broken(attempt, error);
  }
};
