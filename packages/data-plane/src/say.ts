// Results that are not a worker's stream (§4.3, §5.4).
import type { HttpResponseWriter, Random } from '@thornsail/runtime';
import { errors, type ErrorCode } from './errors.js';

export type Ran = 'no' | 'unknown';
export type Say = {
  json: (say: HttpResponseWriter, status: number, body: unknown, headers?: Record<string, string>) => void;
  /** The final answer of a turn that is given up, at once, with when to come back (§4.3). */
  reject: (say: HttpResponseWriter, error: ErrorCode, text: string, ran: Ran, retryAfter: number | null) => void;
  /** Whole seconds, spread out so that those refused together do not come back together. */
  backoff: () => number;
};

export const completion = {
  whole: (content: string, finish: string | null, toolCalls: unknown[], prompt: number, count: number): unknown => ({
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

export const saying = {
  open: (o: { rand: Random; bump: (k: string) => void }): Say => {
    const json: Say['json'] = (say, status, body, headers = {}) => {
      if (say.gone()) return;
      say.head(status, { 'content-type': 'application/json', ...headers });
      say.end(JSON.stringify(body));
    };
    return {
      json,
      reject: (say, error, text, ran, retryAfter) => {
        o.bump('rejected');
        json(
          say,
          errors.status('chat', error),
          { error: errors.name(error), message: text, ran },
          { 'x-thornsail-ran': ran, ...(retryAfter === null ? {} : { 'retry-after': String(retryAfter) }) },
        );
      },
      backoff: () => 1 + o.rand.int(3),
    };
  },
};
