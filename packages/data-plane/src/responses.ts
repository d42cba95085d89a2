/** Responses of the product API other than relayed streams (§4.3, §5.4). */
import type { HttpResponseWriter, Random } from '@thornsail/runtime';
import { errors, type ErrorCode } from './errors.js';
import type { Execution } from './phases.js';

/** Writes complete responses. Nothing is written to a client that has disconnected. */
export type Responses = {
  json: (response: HttpResponseWriter, status: number, body: unknown, headers?: Record<string, string>) => void;
  /** Writes an error response. `retryAfter` in seconds; null: no Retry-After header (§4.3). */
  reject: (
    response: HttpResponseWriter,
    error: ErrorCode,
    text: string,
    ran: Execution,
    retryAfter: number | null,
  ) => void;
  /** Random Retry-After of 1 to 3 seconds, so that clients rejected together do not retry together. */
  backoff: () => number;
};

/** Builds chat completions in the usual format of model servers. `prompt` and `count` are tokens. */
export const completion = {
  complete: (content: string, finish: string | null, toolCalls: unknown[], prompt: number, count: number): unknown => ({
    object: 'chat.completion',
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content, ...(toolCalls.length ? { tool_calls: toolCalls } : {}) },
        finish_reason: finish,
      },
    ],
    usage: { prompt_tokens: prompt, completion_tokens: count, total_tokens: prompt + count },
  }),
  chunk: (content: string, finish: string | null, prompt: number, count: number): unknown => ({
    object: 'chat.completion.chunk',
    choices: [{ index: 0, delta: { role: 'assistant', content }, finish_reason: finish }],
    usage: { prompt_tokens: prompt, completion_tokens: count, total_tokens: prompt + count },
  }),
};

/** Opens the responses of one gateway. */
export const responses = {
  open: ({ rand, count }: { rand: Random; count: (counter: string) => void }): Responses => {
    const json: Responses['json'] = (response, status, body, headers = {}) => {
      if (response.isClosed()) return;
      response.writeHead(status, { 'content-type': 'application/json', ...headers });
      response.end(JSON.stringify(body));
    };
    return {
      json,
      reject: (response, error, text, ran, retryAfter) => {
        count('rejected');
        json(
          response,
          errors.status('chat', error),
          { error: errors.name(error), message: text, ran },
          { 'x-thornsail-ran': ran, ...(retryAfter === null ? {} : { 'retry-after': String(retryAfter) }) },
        );
      },
      backoff: () => 1 + rand.int(3),
    };
  },
};
