/**
 * The protocols of the workers (§5.2), in this one place: a deployment whose workers differ changes this file. Model
 * workers: `POST /v1/chat/completions` with server-sent events and usage, `GET /report` with `CacheTotal`. Application
 * workers: `POST /jobs` with JSON, answered in JSON.
 */

/** What a model worker is to do. */
export type ChatTurn = {
  messages: unknown[];
  maxTokens: number;
  /** Other fields of the caller's request, passed on as they are. */
  rest: Record<string, unknown>;
};
type Delta = {
  /** The event's data as it came. */
  data: string;
  /** Generated text; empty if there is none. */
  text: string;
  /** The worker's finish reason; null before the last choice. */
  finish: string | null;
  toolCall: boolean;
};
/** One event of a model worker's answer. `usage` has tokens of prompt and completion; `done` is the end marker. */
export type StreamEvent =
  | ({ type: 'delta' } & Delta)
  | ({ type: 'usage'; prompt: number; completion: number } & Delta)
  | { type: 'done' }
  | { type: 'error'; text: string };

type Json = Record<string, unknown>;
const objectOf = (value: unknown): Json => (typeof value === 'object' && value !== null ? (value as Json) : {});
const countOf = (value: unknown): number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0;

const readDelta = (data: string, body: Json): Delta => {
  const choice = objectOf((Array.isArray(body['choices']) ? body['choices'] : [])[0]);
  const delta = objectOf(choice['delta']);
  return {
    data,
    text: typeof delta['content'] === 'string' ? delta['content'] : '',
    finish: typeof choice['finish_reason'] === 'string' ? choice['finish_reason'] : null,
    toolCall: Array.isArray(delta['tool_calls']) && delta['tool_calls'].length > 0,
  };
};
const readEvent = (data: string): StreamEvent => {
  if (data === '[DONE]') return { type: 'done' };
  let body: Json;
  try {
    body = objectOf(JSON.parse(data));
  } catch {
    return { type: 'error', text: 'an event that is not JSON' };
  }
  if (body['error'] !== undefined) {
    const { message } = objectOf(body['error']);
    return { type: 'error', text: typeof message === 'string' ? message : 'worker error' };
  }
  const delta = readDelta(data, body);
  if (body['usage'] === undefined || body['usage'] === null) return { type: 'delta', ...delta };
  const usage = objectOf(body['usage']);
  const [prompt, completion] = [countOf(usage['prompt_tokens']), countOf(usage['completion_tokens'])];
  return { type: 'usage', prompt, completion, ...delta };
};

const endOfEvent = /\r?\n\r?\n/;
/** The data lines of one server-sent event; comments and other fields are passed over. */
const dataOf = (event: string): string =>
  event
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).replace(/^ /, ''))
    .join('\n');
/** Splits a text stream into events, however it is cut up; keeps back an event that is not complete yet. */
const streamReader = (): ((text: string) => StreamEvent[]) => {
  let incomplete = '';
  return (text) => {
    incomplete += text;
    const events: StreamEvent[] = [];
    for (;;) {
      const end = endOfEvent.exec(incomplete);
      if (!end) return events;
      const data = dataOf(incomplete.slice(0, end.index));
      incomplete = incomplete.slice(end.index + end[0].length);
      if (data !== '') events.push(readEvent(data));
    }
  };
};

const chatBody = (turn: ChatTurn): string =>
  JSON.stringify({
    ...turn.rest,
    messages: turn.messages,
    max_tokens: turn.maxTokens,
    stream: true,
    stream_options: { include_usage: true },
  });

/** Capacity of the KV cache in tokens, by a worker's report; undefined if the report does not say. */
const reportedCapacity = (text: string): number | undefined => {
  try {
    const capacity = objectOf(JSON.parse(text))['CacheTotal'];
    return typeof capacity === 'number' && capacity > 0 ? capacity : undefined;
  } catch {
    return undefined;
  }
};

/** Requests to workers and how their answers are read. */
export const formats = {
  chat: { path: '/v1/chat/completions', body: chatBody, reader: streamReader },
  report: { path: '/report', capacity: reportedCapacity },
  job: { path: '/jobs' },
};
