// The workers' outside formats, in this one place (§5.2): a deployment that differs changes this file.
// Model workers: POST /v1/chat/completions with server-sent events and usage; GET /report with CacheTotal.
// Application workers: POST /jobs with JSON, a JSON result.
export type ChatTurn = { messages: unknown[]; maxTokens: number; rest: Record<string, unknown> };
export type Piece =
  | { kind: 'delta'; data: string; text: string; finish: string | null; toolCall: boolean }
  | {
      kind: 'usage';
      data: string;
      prompt: number;
      completion: number;
      text: string;
      finish: string | null;
      toolCall: boolean;
    }
  | { kind: 'done' }
  | { kind: 'fault'; text: string };

type Json = Record<string, unknown>;
const obj = (u: unknown): Json => (typeof u === 'object' && u !== null ? (u as Json) : {});
const num = (u: unknown): number => (typeof u === 'number' && Number.isFinite(u) && u >= 0 ? u : 0);

const read = (data: string): Piece => {
  if (data === '[DONE]') return { kind: 'done' };
  let j: Json;
  try {
    j = obj(JSON.parse(data));
  } catch {
    return { kind: 'fault', text: 'an event that is not JSON' };
  }
  if (j['error'] !== undefined) return { kind: 'fault', text: String(obj(j['error'])['message'] ?? 'worker error') };
  const choice = obj((Array.isArray(j['choices']) ? j['choices'] : [])[0]);
  const delta = obj(choice['delta']);
  const base = {
    data,
    text: typeof delta['content'] === 'string' ? delta['content'] : '',
    finish: typeof choice['finish_reason'] === 'string' ? choice['finish_reason'] : null,
    toolCall: Array.isArray(delta['tool_calls']) && delta['tool_calls'].length > 0,
  };
  const usage = j['usage'] === undefined || j['usage'] === null ? undefined : obj(j['usage']);
  return usage
    ? { kind: 'usage', prompt: num(usage['prompt_tokens']), completion: num(usage['completion_tokens']), ...base }
    : { kind: 'delta', ...base };
};

export const formats = {
  chat: {
    path: '/v1/chat/completions',
    body: (t: ChatTurn): string =>
      JSON.stringify({
        ...t.rest,
        messages: t.messages,
        max_tokens: t.maxTokens,
        stream: true,
        stream_options: { include_usage: true },
      }),
    /** Splits a text stream into events; holds back what is not yet whole. */
    reader: (): ((text: string) => Piece[]) => {
      let rest = '';
      return (text) => {
        rest += text;
        const out: Piece[] = [];
        for (;;) {
          const m = /\r?\n\r?\n/.exec(rest);
          if (!m) return out;
          const event = rest.slice(0, m.index);
          rest = rest.slice(m.index + m[0].length);
          const data = event
            .split(/\r?\n/)
            .filter((l) => l.startsWith('data:'))
            .map((l) => l.slice(5).replace(/^ /, ''))
            .join('\n');
          if (data !== '') out.push(read(data));
        }
      };
    },
  },
  report: {
    path: '/report',
    capacity: (text: string): number | undefined => {
      try {
        const n = obj(JSON.parse(text))['CacheTotal'];
        return typeof n === 'number' && n > 0 ? n : undefined;
      } catch {
        return undefined;
      }
    },
  },
  job: { path: '/jobs' },
};
