/**
 * The protocols of the workers (§5.2). They are implemented only here; a deployment with other workers changes this
 * file. Model workers: `POST /v1/chat/completions`, answered with server-sent events and usage, and `GET /report`,
 * answered with `CacheTotal`. Application workers: `POST /jobs` with JSON, answered in JSON.
 */

/** A chat request to a model worker. */
export type ChatTurn = {
  messages: unknown[];
  maxTokens: number;
  /** Other fields of the caller's request, passed through unchanged. */
  rest: Record<string, unknown>;
};
type Delta = {
  /** The event's data as received. */
  data: string;
  /** Generated text; empty if the event has none. */
  text: string;
  /** The finish reason that the worker reports; null until generation ends. */
  finish: string | null;
  toolCall: boolean;
};
/**
 * An event of a model worker's response stream. `usage` carries the prompt and completion tokens, `done` marks the end
 * of the stream, and `error` is an error event of the worker or an event that cannot be parsed.
 */
export type StreamEvent =
  | ({ type: 'delta' } & Delta)
  | ({ type: 'usage'; prompt: number; completion: number } & Delta)
  | { type: 'done' }
  | { type: 'error'; text: string };

type Json = Record<string, unknown>;
const asObject = (value: unknown): Json => (typeof value === 'object' && value !== null ? (value as Json) : {});
const tokenCount = (value: unknown): number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : 0;

const readDelta = (data: string, body: Json): Delta => {
  const choice = asObject((Array.isArray(body['choices']) ? body['choices'] : [])[0]);
  const delta = asObject(choice['delta']);
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
    body = asObject(JSON.parse(data));
  } catch {
    return { type: 'error', text: 'an event that is not JSON' };
  }
  if (body['error'] !== undefined) {
    const { message } = asObject(body['error']);
    return { type: 'error', text: typeof message === 'string' ? message : 'worker error' };
  }
  const delta = readDelta(data, body);
  if (body['usage'] === undefined || body['usage'] === null) return { type: 'delta', ...delta };
  const usage = asObject(body['usage']);
  const [prompt, completion] = [tokenCount(usage['prompt_tokens']), tokenCount(usage['completion_tokens'])];
  return { type: 'usage', prompt, completion, ...delta };
};

const eventSeparator = /\r?\n\r?\n/;
const longestSeparator = '\r\n\r\n'.length;
/** The largest event of a stream, in characters: it is held until it is complete. */
const maxEventLength = 1 << 20;
/** The data of one server-sent event, its lines joined; comments and other fields are ignored. */
const eventData = (event: string): string =>
  event
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).replace(/^ /, ''))
    .join('\n');
/** Cuts a text that ends an event into the complete events' data and the rest. */
const cutEvents = (text: string): { complete: string[]; rest: string } => {
  const pieces = text.split(eventSeparator);
  const rest = pieces.pop()!;
  return { complete: pieces.map(eventData).filter((data) => data !== ''), rest };
};
/**
 * Returns an incremental parser: given a chunk of the stream, it returns the events completed by that chunk, and an
 * error in place of an event that is too large. Chunks of an incomplete event are joined once.
 */
const streamReader = (): ((text: string) => StreamEvent[]) => {
  let chunks: string[] = [];
  let length = 0;
  /** The end of the last chunks, where a separator may have begun. */
  let tail = '';
  const hold = (text: string): void => {
    chunks.push(text);
    length += text.length;
    tail = (tail + text).slice(1 - longestSeparator);
  };
  const reset = (): void => {
    chunks = [];
    length = 0;
    tail = '';
  };
  return (text) => {
    const events: StreamEvent[] = [];
    if (eventSeparator.test(tail + text)) {
      const { complete, rest } = cutEvents(chunks.join('') + text);
      events.push(...complete.map(readEvent));
      reset();
      hold(rest);
    } else hold(text);
    if (length <= maxEventLength) return events;
    reset();
    return [...events, { type: 'error', text: `an event over ${maxEventLength} characters` }];
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

/** Capacity of the KV cache in tokens from a worker's report; undefined if it is missing or the report is not JSON. */
const reportedCapacity = (text: string): number | undefined => {
  try {
    const capacity = asObject(JSON.parse(text))['CacheTotal'];
    return typeof capacity === 'number' && capacity > 0 ? capacity : undefined;
  } catch {
    return undefined;
  }
};

/** Paths, request bodies and response parsers of the workers' protocols. */
export const workerProtocol = {
  chat: { path: '/v1/chat/completions', body: chatBody, reader: streamReader },
  report: { path: '/report', capacity: reportedCapacity },
  job: { path: '/jobs' },
};
