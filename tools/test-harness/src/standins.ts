// Stand-ins for what is outside (§9.3): model workers, application workers and the platform, in published formats.
// They keep a request log of what reached them, against which the rules are checked.
import {
  hash,
  time,
  duration,
  type Clock,
  type HttpResponseWriter,
  type Runtime,
  type Address,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';

export type RequestLogEntry = {
  worker: string;
  program: string | null;
  key: string | null;
  at: Microseconds;
  prompt: number;
  completion: number;
  /** It had a place at its worker; one that waited in line for its whole time did not. */
  ran: boolean;
  ended: boolean;
  reprefilled: number;
  body: string;
};
const blank = (worker: string, at: Microseconds): RequestLogEntry => ({
  worker,
  program: null,
  key: null,
  at,
  prompt: 0,
  completion: 0,
  ran: false,
  ended: false,
  reprefilled: 0,
  body: '',
});
export type RequestLog = { entries: RequestLogEntry[]; add: (e: RequestLogEntry) => RequestLogEntry };
export const requestLog = {
  open: (): RequestLog => {
    const entries: RequestLogEntry[] = [];
    return {
      entries,
      add: (e) => {
        entries.push(e);
        return e;
      },
    };
  },
};

/** `slow` stretches all that a worker does; a worker without places left makes its turns wait in line. */
export type Faults = { loseResult: number; dieMidStream: number; slow: number; report: 'ok' | 'rubbish' | 'silent' };
const noFaults = (): Faults => ({ loseResult: 0, dieMidStream: 0, slow: 1, report: 'ok' });
export type StandIn = {
  id: string;
  at: Address;
  faults: Faults;
  running: () => number;
  /** The longest line of turns there was at this worker, and the most turns that ran at once. */
  peak: () => { line: number; running: number };
  close: () => Promise<void>;
};

/** So many turns at once, the rest in line, first come first served. `fits` may hold the first in line back. */
const places = (
  n: number,
): {
  enter: (fits: () => boolean, say: HttpResponseWriter | null) => Promise<boolean>;
  leave: () => void;
  running: () => number;
  peak: () => { line: number; running: number };
} => {
  const line: { fits: () => boolean; go: (in_: boolean) => void }[] = [];
  const peak = { line: 0, running: 0 };
  let running = 0;
  const pump = (): void => {
    while (line.length && running < n && (running === 0 || line[0]!.fits())) {
      running += 1;
      peak.running = Math.max(peak.running, running);
      line.shift()!.go(true);
    }
    peak.line = Math.max(peak.line, line.length);
  };
  return {
    enter: (fits, say) =>
      new Promise((go) => {
        const me = { fits, go };
        line.push(me);
        // One whose caller has gone leaves the line; one that runs is finished.
        say?.onClose(() => {
          const i = line.indexOf(me);
          if (i >= 0) line.splice(i, 1);
          if (i >= 0) go(false);
        });
        pump();
      }),
    leave: () => {
      running -= 1;
      pump();
    },
    running: () => running,
    peak: () => ({ ...peak }),
  };
};

/** The KV cache of a model worker: contexts by program, least recently used first; running ones are not evicted. */
const kvCache = (
  capacity: number,
): {
  fits: (tokens: number) => boolean;
  /** Takes a context in and says how many of its tokens were still there. */
  take: (program: string, tokens: number) => number;
  release: (program: string) => void;
} => {
  const cache = new Map<string, number>();
  const pinned = new Map<string, number>();
  const pinnedTokens = (): number => [...pinned.keys()].reduce((a, p) => a + (cache.get(p) ?? 0), 0);
  return {
    fits: (tokens) => pinnedTokens() + tokens <= capacity,
    take: (program, tokens) => {
      const had = cache.get(program) ?? 0;
      cache.delete(program);
      cache.set(program, tokens);
      pinned.set(program, (pinned.get(program) ?? 0) + 1);
      let sum = [...cache.values()].reduce((a, b) => a + b, 0);
      for (const [k, n] of cache) {
        if (sum <= capacity) break;
        if (pinned.has(k)) continue;
        sum -= n;
        cache.delete(k);
      }
      return Math.min(had, tokens);
    },
    release: (program) => {
      const n = (pinned.get(program) ?? 1) - 1;
      if (n === 0) pinned.delete(program);
      else pinned.set(program, n);
    },
  };
};

const json = (say: HttpResponseWriter, status: number, body: unknown): void => {
  say.writeHead(status, { 'content-type': 'application/json' });
  say.end(JSON.stringify(body));
};
export const standTokens = (messages: unknown[]): number => Math.ceil(JSON.stringify(messages).length / 4);
/** What a model worker says is a function of what it was asked, so that a splice shows. */
export const standText = (messages: unknown[], maxTokens: number): string[] => {
  const h = hash.of(JSON.stringify(messages));
  const n = Math.min(maxTokens, 8 + (h % 40));
  return Array.from({ length: n }, (_, i) => `w${(h + i * 7919) % 9973} `);
};

const chunk = (choices: unknown[], usage?: unknown): string =>
  `data: ${JSON.stringify({ object: 'chat.completion.chunk', choices, ...(usage ? { usage } : {}) })}\n\n`;

export type Listed = { id: string; at: Address; kind: 'model' | 'app' };
export type Mood = 'ok' | 'silent' | 'slow' | 'failing' | 'rubbish' | 'empty';
export type Platform = {
  at: Address;
  leave: (id: string) => void;
  /** Takes a worker off the list without marking it first. */
  drop: (id: string) => void;
  add: (w: Listed) => void;
  /** When each worker was first marked or dropped. */
  leftAt: Map<string, Microseconds>;
  mood: { now: Mood };
  close: () => Promise<void>;
};
type Model = {
  id: string;
  at: Address;
  capacity: number;
  places: number;
  firstToken: Microseconds;
  perToken: Microseconds;
  perPrefill: Microseconds;
  requestLog: RequestLog;
  rand: Random;
};
type Asked = { messages: { role: string; content?: string }[]; max_tokens: number };
const parseAsked = (body: string): Asked | undefined => {
  try {
    const b = JSON.parse(body) as Asked;
    return Array.isArray(b.messages) && Number.isInteger(b.max_tokens) ? b : undefined;
  } catch {
    return undefined;
  }
};

export const standIns = {
  model: async (runtime: Runtime, o: Model): Promise<StandIn> => {
    const faults = noFaults();
    const seats = places(o.places);
    const cache = kvCache(o.capacity);
    // Decoding slows with the batch: twice the time for each token when every place is taken.
    const pace = (): Microseconds =>
      Math.round(o.perToken * faults.slow * (1 + Math.max(0, seats.running() - 1) / o.places));
    const speak = async (words: string[], say: HttpResponseWriter): Promise<boolean> => {
      const dieAt = o.rand.next() < faults.dieMidStream ? o.rand.int(words.length) : -1;
      for (const [i, w] of words.entries()) {
        if (i === dieAt) return false;
        const delta = { ...(i === 0 ? { role: 'assistant' } : {}), content: w };
        say.write(chunk([{ index: 0, delta, finish_reason: null }]));
        await time.sleep(runtime.clock, pace());
      }
      return true;
    };
    const turn = async (b: Asked, program: string, e: RequestLogEntry, say: HttpResponseWriter): Promise<void> => {
      const words = standText(b.messages, b.max_tokens);
      const need = e.prompt + words.length;
      if (!(await seats.enter(() => cache.fits(need), say))) return;
      try {
        e.ran = true;
        e.reprefilled = e.prompt - Math.min(cache.take(program, need), e.prompt);
        await time.sleep(runtime.clock, Math.round((o.firstToken + e.reprefilled * o.perPrefill) * faults.slow));
        if (o.rand.next() < faults.loseResult) {
          e.ended = true;
          say.abort();
          return;
        }
        say.writeHead(200, { 'content-type': 'text/event-stream' });
        if (!(await speak(words, say))) {
          say.abort();
          return;
        }
        const last = String(b.messages[b.messages.length - 1]?.content ?? '').includes('[last]');
        const usage = { prompt_tokens: e.prompt, completion_tokens: words.length, total_tokens: need };
        say.write(chunk([{ index: 0, delta: {}, finish_reason: last ? 'stop' : 'tool_calls' }]));
        say.write(chunk([], usage));
        say.end('data: [DONE]\n\n');
        e.ended = true;
      } finally {
        cache.release(program);
        seats.leave();
      }
    };
    const report = (say: HttpResponseWriter): void => {
      if (faults.report === 'ok') return json(say, 200, { CacheTotal: o.capacity, Running: seats.running() });
      if (faults.report === 'silent') return;
      say.writeHead(200, { 'content-type': 'application/json' });
      say.end(['{"CacheTotal":"much"}', '<html>', '', '[1,2', '{"CacheTotal":-5}'][o.rand.int(5)]);
    };
    const s = await runtime.net.serveHttp(
      o.at,
      async (ask, say) => {
        if (ask.path === '/report') return report(say);
        if (ask.path !== '/v1/chat/completions' || ask.method !== 'POST')
          return json(say, 404, { error: 'no such path' });
        const b = parseAsked(ask.body);
        if (!b) return json(say, 400, { error: { message: 'not a chat request' } });
        const program = ask.headers['x-program-id'] ?? '-';
        const e = o.requestLog.add({
          ...blank(o.id, runtime.clock.now()),
          program,
          key: ask.headers['idempotency-key'] ?? null,
          prompt: standTokens(b.messages),
          completion: standText(b.messages, b.max_tokens).length,
        });
        await turn(b, program, e, say);
      },
      8 << 20,
    );
    return { id: o.id, at: s.at, faults, running: seats.running, peak: seats.peak, close: s.close };
  },
  app: async (
    runtime: Runtime,
    o: { id: string; at: Address; takes: Microseconds; places: number; requestLog: RequestLog; rand: Random },
  ): Promise<StandIn> => {
    const faults = noFaults();
    const seats = places(o.places);
    const s = await runtime.net.serveHttp(
      o.at,
      async (ask, say) => {
        if (ask.path !== '/jobs' || ask.method !== 'POST') return json(say, 404, { error: 'no such path' });
        const key = ask.headers['idempotency-key'] ?? null;
        const e = o.requestLog.add({ ...blank(o.id, runtime.clock.now()), key, body: ask.body });
        // What has arrived is run, though its caller may be gone by then.
        await seats.enter(() => true, null);
        try {
          e.ran = true;
          await time.sleep(runtime.clock, Math.round(o.takes * faults.slow));
          e.ended = true;
          if (o.rand.next() < faults.loseResult) {
            say.abort();
            return;
          }
          json(say, 200, { ok: true, by: o.id, said: JSON.parse(ask.body) as unknown });
        } finally {
          seats.leave();
        }
      },
      1 << 20,
    );
    return { id: o.id, at: s.at, faults, running: seats.running, peak: seats.peak, close: s.close };
  },
  platform: async (runtime: Runtime, o: { at: Address; workers: Listed[] }): Promise<Platform> => {
    let list = o.workers.map((w) => ({ id: w.id, address: w.at, kind: w.kind, leaving: false }));
    const leftAt = new Map<string, Microseconds>();
    const mood = { now: 'ok' as Mood };
    const clock: Clock = runtime.clock;
    const s = await runtime.net.serveHttp(
      o.at,
      async (ask, say) => {
        if (ask.path !== '/workers') return json(say, 404, { error: 'no such path' });
        if (mood.now === 'silent') return;
        if (mood.now === 'slow') await time.sleep(clock, duration.ms(600));
        if (mood.now === 'failing') return json(say, 500, { error: 'try again' });
        if (mood.now === 'rubbish')
          return json(say, 200, { workers: [1, null, { id: 7 }, { id: 'x', address: 'nowhere' }] });
        json(say, 200, { workers: mood.now === 'empty' ? [] : list });
      },
      1024,
    );
    const leave = (id: string): void => {
      leftAt.set(id, clock.now());
      list = list.map((w) => (w.id === id ? { ...w, leaving: true } : w));
    };
    const drop = (id: string): void => {
      if (!leftAt.has(id)) leftAt.set(id, clock.now());
      list = list.filter((w) => w.id !== id);
    };
    const add = (w: Listed): void => {
      leftAt.delete(w.id);
      list = [...list, { id: w.id, address: w.at, kind: w.kind, leaving: false }];
    };
    return { at: s.at, leftAt, mood, close: s.close, leave, drop, add };
  },
};
