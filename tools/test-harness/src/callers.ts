// Stand-in callers (§9.3): the brief's kinds of load, and the checks that a caller can make itself.
import {
  fault,
  time,
  duration,
  readText,
  type HttpClientResponse,
  type Runtime,
  type Address,
  type Random,
  type Microseconds,
} from '@thornsail/runtime';
import type { RequestLog } from './standins.js';
import { standText } from './standins.js';

/** What the callers know of one key, over all copies of its request. */
export type KeyStory = { ran: ('no' | 'unknown' | 'yes')[]; ok: boolean; sent: Microseconds[]; no: Microseconds[] };
export type Summary = {
  chats: number;
  kept: number;
  jobs: number;
  turns: number;
  results: number;
  cut: number;
  /** Streams that were cut by their caller after two seconds of silence. */
  silent: number;
  rejected: Record<string, number>;
  gaveUp: number;
  failed: number;
  recalled: number;
  slowest: Microseconds;
  /** The slowest refusal of each kind. */
  refusals: Record<string, Microseconds>;
  urgentWaits: Microseconds[];
  chatWaits: Microseconds[];
  breaches: string[];
  /** Turns whose caller heard nothing for too long, with no fault at its own gateway to excuse it. */
  silences: { program: string; begun: Microseconds; waited: Microseconds; what: string }[];
  lastOk: Microseconds;
};
export type Callers = {
  summary: Summary;
  keys: Map<string, KeyStory>;
  chat: (o: { turns: number; kept: boolean; program: string }) => Promise<void>;
  job: (o: { urgent: boolean; once: boolean; key: string }) => Promise<void>;
};
type Message = { role: string; content: string };
type Turn =
  | { ok: true; content: string; waited: Microseconds }
  | { ok: false; why: string; retry: Microseconds | null; ran: string; waited: Microseconds };
type Ask = {
  at: Address;
  program: string;
  cls: string;
  messages: Message[];
  conversation: string | null;
  key: string | null;
};
type Options = {
  runtime: Runtime;
  rand: Random;
  gateways: () => Address[];
  classes: { chat: string; kept: string; urgent: string; ping: string };
  chatTimeLeft: number;
  pushTimeLeft: number;
  gap: Microseconds;
  /** True if a fault had hold of this gateway since then: what its own callers bore is no breach. */
  excused: (at: Address, since: Microseconds) => boolean;
  /** Workers that stall on purpose. */
  stalls: boolean;
};
/** A caller gives up after so long without an event. */
const patience = duration.s(2);
const fresh = (): Summary => ({
  chats: 0,
  kept: 0,
  jobs: 0,
  turns: 0,
  results: 0,
  cut: 0,
  silent: 0,
  rejected: {},
  gaveUp: 0,
  failed: 0,
  recalled: 0,
  slowest: 0,
  refusals: {},
  urgentWaits: [],
  chatWaits: [],
  breaches: [],
  silences: [],
  lastOk: 0,
});

/** A kept conversation holds each message once and in order, and every reply that was received. */
export const keptProblems = (
  sent: Message[],
  replies: Map<string, string>,
  got: Message[],
  strict: boolean,
): string[] => {
  const out: string[] = [];
  const users = got.filter((m) => m.role === 'user').map((m) => m.content);
  const order = sent.map((m) => m.content).filter((c) => users.includes(c));
  const once = users.filter((c, i) => users.indexOf(c) === i);
  if (order.join('|') !== once.join('|')) out.push('its messages are out of order');
  if (strict && once.length !== users.length) out.push('a message stands in it twice');
  got.forEach((m, i) => {
    if (m.role !== (i % 2 === 0 ? 'user' : 'assistant')) out.push('message and reply do not alternate');
  });
  for (const [user, reply] of replies)
    if (!got.some((m, i) => m.content === user && got[i + 1]?.content === reply)) out.push('a kept result is missing');
  return out;
};

/** Reads a stream as a client does, and checks what it sees. */
const readStream = async (
  r: HttpClientResponse,
  onFirst: () => void,
  bad: (text: string) => void,
): Promise<{ done: boolean; content: string }> => {
  let rest = '';
  let n = 0;
  let content = '';
  let done = false;
  const event = (ev: string): void => {
    const id = Number(/^id: (\d+)$/m.exec(ev)?.[1]);
    const data = /^data: (.*)$/m.exec(ev)?.[1] ?? '';
    n += 1;
    if (id !== n) bad(`event ${id} where ${n} was due`);
    if (done) bad('an event after its end');
    if (data === '[DONE]') {
      done = true;
      return;
    }
    const j = JSON.parse(data) as { choices?: { delta?: { content?: string } }[] };
    content += j.choices?.[0]?.delta?.content ?? '';
  };
  for await (const p of r.body) {
    if (n === 0) onFirst();
    rest += p;
    for (let i = rest.indexOf('\n\n'); i >= 0; i = rest.indexOf('\n\n')) {
      event(rest.slice(0, i));
      rest = rest.slice(i + 2);
    }
  }
  return { done, content };
};

export const callers = {
  open: (o: Options): Callers => {
    const { runtime, rand } = o;
    const { clock } = runtime;
    const s = fresh();
    const keys = new Map<string, KeyStory>();
    const storyOf = (key: string): KeyStory => {
      const story = keys.get(key) ?? { ran: [], ok: false, sent: [], no: [] };
      keys.set(key, story);
      return story;
    };
    const gateway = (): Address => {
      const f = o.gateways();
      return f[rand.int(f.length)]!;
    };
    const gotFirst = (at: Address, begun: Microseconds, what: string, program: string): Microseconds => {
      const waited = clock.now() - begun;
      s.slowest = Math.max(s.slowest, waited);
      if (waited > patience && !o.excused(at, begun)) s.silences.push({ program, begun, waited, what });
      return waited;
    };
    /** A refusal: counted, timed, and checked for what every refusal has to say. */
    const refused = (
      r: HttpClientResponse,
      b: { error: string; ran?: string },
      waited: Microseconds,
    ): Microseconds | null => {
      s.rejected[b.error] = (s.rejected[b.error] ?? 0) + 1;
      s.refusals[b.error] = Math.max(s.refusals[b.error] ?? 0, waited);
      const ra = r.headers['retry-after'];
      if ((r.status === 429 || r.status === 503) && (ra === undefined || b.ran === undefined))
        s.breaches.push(`${r.status} ${b.error} without Retry-After or ran`);
      return ra === undefined ? null : duration.s(Number(ra));
    };
    const tellStory = (key: string | null, ran: 'no' | 'unknown' | 'yes'): void => {
      if (key === null) return;
      const story = storyOf(key);
      story.ran.push(ran);
      if (ran === 'yes') story.ok = true;
      if (ran === 'no') story.no.push(clock.now());
    };
    /** No answer: one that was not sent did not run, and no node has promised it of the key. */
    const tellUnanswered = (key: string | null, sent: boolean): void => {
      if (key !== null) storyOf(key).ran.push(sent ? 'unknown' : 'no');
    };

    const send = (a: Ask): Promise<HttpClientResponse> =>
      runtime.net.call({
        at: a.at,
        method: 'POST',
        path: '/v1/chat/completions',
        timeLeft: duration.ms(o.chatTimeLeft),
        silence: patience,
        headers: {
          'content-type': 'application/json',
          'x-thornsail-program': a.program,
          'x-thornsail-class': a.cls,
          'x-thornsail-time-left-ms': String(o.chatTimeLeft),
          ...(a.conversation ? { 'x-thornsail-conversation': a.conversation } : {}),
          ...(a.key ? { 'idempotency-key': a.key } : {}),
        },
        body: JSON.stringify({ messages: a.messages, stream: true, max_tokens: 48 }),
      });
    const broken = (a: Ask, begun: Microseconds, first: boolean, e: unknown): Turn => {
      const info = fault.info(e);
      const waited = clock.now() - begun;
      const silent = fault.text(e).endsWith('silence');
      if (silent) s.silent += 1;
      if (info.step === 'http.body') s.cut += 1;
      else s.failed += 1;
      // The connection stood, yet nothing came, or nothing more.
      if ((silent && !o.stalls) || (!first && info.sent && waited > patience))
        if (!o.excused(a.at, begun)) s.silences.push({ program: a.program, begun, waited, what: 'cut after silence' });
      tellUnanswered(a.key, info.sent !== false);
      return {
        ok: false,
        why: info.step ?? 'failed',
        retry: null,
        ran: info.sent === false ? 'no' : 'unknown',
        waited,
      };
    };
    const turn = async (a: Ask): Promise<Turn> => {
      s.turns += 1;
      const begun = clock.now();
      let first = false;
      if (a.key) storyOf(a.key).sent.push(begun);
      try {
        const r = await send(a);
        if (r.status !== 200) {
          const b = JSON.parse(await readText(r.body)) as { error: string; ran?: 'no' | 'unknown' };
          const waited = gotFirst(a.at, begun, `rejection ${r.status} ${b.error}`, a.program);
          tellStory(a.key, b.ran ?? 'unknown');
          return { ok: false, why: b.error, retry: refused(r, b, waited), ran: b.ran ?? '?', waited };
        }
        let waited = 0;
        const onFirst = (): void => {
          first = true;
          waited = gotFirst(a.at, begun, 'first piece', a.program);
        };
        const got = await readStream(r, onFirst, (t) => void s.breaches.push(`stream of ${a.program}: ${t}`));
        if (!got.done) {
          s.breaches.push(`stream of ${a.program}: a clean end without its end marker`);
          return { ok: false, why: 'incomplete', retry: null, ran: 'unknown', waited };
        }
        if (!a.conversation && got.content !== standText(a.messages, 48).join(''))
          s.breaches.push(`stream of ${a.program}: text differs from what its worker said`);
        tellStory(a.key, 'yes');
        s.results += 1;
        s.lastOk = clock.now();
        return { ok: true, content: got.content, waited };
      } catch (e) {
        return broken(a, begun, first, e);
      }
    };

    /** What is kept under a name; undefined if no node could say. */
    const recall = async (conversation: string): Promise<Message[] | 'missing' | undefined> => {
      for (let round = 0; round < 20; round++) {
        try {
          const path = `/v1/conversations/${conversation}`;
          const r = await runtime.net.call({ at: gateway(), method: 'GET', path, timeLeft: duration.s(2) });
          const text = await readText(r.body);
          if (r.status === 200) return (JSON.parse(text) as { messages: Message[] }).messages;
          if (r.status === 404) return 'missing';
        } catch {
          /* Another node is asked. */
        }
        await time.sleep(clock, duration.ms(500));
      }
      return undefined;
    };
    /** The reply to a message that was sent and whose outcome is not known: kept, not kept, or nobody could say. */
    const keptReply = async (conversation: string, user: Message): Promise<{ reply: string | null } | undefined> => {
      const all = await recall(conversation);
      if (all === undefined) return undefined;
      const i = all === 'missing' ? -1 : all.findIndex((m) => m.role === 'user' && m.content === user.content);
      return { reply: i < 0 ? null : (all[i + 1] as Message).content };
    };
    /** One turn with its retries, as a client would: another node, the same key; a new one only if it did not run. */
    const insist = async (a: Ask, user: Message, keyed: boolean): Promise<Turn> => {
      let r: Turn | undefined;
      let tries = 0;
      for (let round = 0; round < 5; round++) {
        r = await turn({ ...a, key: keyed ? `${a.key}.${tries}` : null });
        if (r.ok || r.why === 'budget_spent') return r;
        a.at = gateway();
        if (r.why === 'outcome_unknown' && keyed) {
          const there = await keptReply(a.conversation!, user);
          if (typeof there?.reply === 'string') return { ok: true, content: there.reply, waited: r.waited };
          // Another key only once it is known that the message is not kept (§5.5).
          if (there) tries += 1;
        }
        await time.sleep(clock, (r.retry ?? duration.ms(300)) + rand.int(duration.ms(200)));
      }
      return r!;
    };

    const chat: Callers['chat'] = async ({ turns, kept, program }) => {
      if (kept) s.kept += 1;
      else s.chats += 1;
      const cls = kept ? o.classes.kept : o.classes.chat;
      const conversation = kept ? `c-${program}` : null;
      const keyed = kept && rand.next() < 0.7;
      const history: Message[] = [];
      const sent: Message[] = [];
      const replies = new Map<string, string>();
      let at = gateway();
      for (let i = 0; i < turns; i++) {
        const last = i === turns - 1 ? ' [last]' : '';
        const filler = 'x'.repeat(40 + rand.int(kept ? 400 : 160));
        const user = { role: 'user', content: `${program} turn ${i + 1}${last} ${filler}` };
        sent.push(user);
        const messages = kept ? [user] : [...history, user];
        const r = await insist({ at, program, cls, messages, conversation, key: `${program}.${i}` }, user, keyed);
        if (!r.ok) {
          s.gaveUp += 1;
          break;
        }
        s.chatWaits.push(r.waited);
        history.push(user, { role: 'assistant', content: r.content });
        replies.set(user.content, r.content);
        // A mobile caller changes its node now and then.
        if (rand.next() < 0.2) at = gateway();
        await time.sleep(clock, o.gap + rand.int(o.gap));
      }
      if (!conversation || replies.size === 0) return;
      const got = await recall(conversation);
      if (got === undefined) s.gaveUp += 1;
      else if (got === 'missing') s.breaches.push(`conversation ${conversation} reported missing`);
      else {
        for (const p of keptProblems(sent, replies, got, keyed)) s.breaches.push(`conversation ${conversation}: ${p}`);
        s.recalled += 1;
      }
    };

    const sendJob = (
      at: Address,
      urgent: boolean,
      once: boolean,
      key: string,
      left: Microseconds,
    ): Promise<HttpClientResponse> =>
      runtime.net.call({
        at,
        method: 'POST',
        path: '/v1/jobs',
        timeLeft: Math.min(left, patience),
        headers: {
          'content-type': 'application/json',
          'x-thornsail-class': urgent ? o.classes.urgent : o.classes.ping,
          'x-thornsail-time-left-ms': String(Math.max(1, duration.toMs(left))),
          ...(once ? { 'x-thornsail-once': 'true', 'idempotency-key': key } : {}),
        },
        body: JSON.stringify({ key }),
      });
    const tryJob = async (
      at: Address,
      urgent: boolean,
      once: boolean,
      key: string,
      left: Microseconds,
    ): Promise<Microseconds | 'done'> => {
      const sent = clock.now();
      if (once) storyOf(key).sent.push(sent);
      try {
        const r = await sendJob(at, urgent, once, key, left);
        const text = await readText(r.body);
        const waited = gotFirst(at, sent, `job ${r.status}`, key);
        if (r.status === 200) {
          if (once) tellStory(key, 'yes');
          s.results += 1;
          s.lastOk = clock.now();
          if ((JSON.parse(text) as { said?: { key?: string } }).said?.key !== key)
            s.breaches.push(`job ${key}: another request's result`);
          return 'done';
        }
        const b = JSON.parse(text) as { error: string; ran?: 'no' | 'unknown' };
        const retry = refused(r, b, waited);
        if (once) tellStory(key, b.ran ?? 'unknown');
        return b.error === 'outcome_unknown' && once ? 'done' : (retry ?? duration.ms(200));
      } catch (e) {
        if (once) tellUnanswered(key, !fault.notSent(e));
        s.failed += 1;
        return duration.ms(50);
      }
    };
    const job: Callers['job'] = async ({ urgent, once, key }) => {
      s.jobs += 1;
      const begun = clock.now();
      for (let round = 0; round < 6; round++) {
        const left = duration.ms(o.pushTimeLeft) - (clock.now() - begun);
        if (left <= duration.ms(50)) break;
        const was = s.results;
        const wait = await tryJob(gateway(), urgent, once, key, left);
        if (wait === 'done') {
          if (urgent && s.results > was) s.urgentWaits.push(clock.now() - begun);
          return;
        }
        await time.sleep(clock, wait);
      }
      s.gaveUp += 1;
    };
    return { summary: s, keys, chat, job };
  },
};

/**
 * Of the silences, those that are the system's: the turn was not at a worker in time. Where it was, its worker's own
 * line made its caller wait; the design lets a forced turn through to a full worker: counted, not a breach.
 */
export const silent = (
  l: RequestLog,
  s: Summary['silences'],
  firstToken: Microseconds,
): { breaches: string[]; atWorkers: number } => {
  // In time for a first token from a worker that is not busy, before the caller gives up (§4.3).
  const releaseBy = patience - firstToken - duration.ms(50);
  const ofWorker = s.filter((x) =>
    l.entries.some((e) => e.program === x.program && e.at >= x.begun && e.at - x.begun <= releaseBy),
  );
  const rest = s.filter((x) => !ofWorker.includes(x));
  return {
    atWorkers: ofWorker.length,
    breaches: rest.map((x) => `${x.program}: ${x.what}, ${duration.toMs(x.waited)} ms of silence`),
  };
};

/** The rules that the workers' request log shows (§9.3). */
export const audit = (o: {
  requestLog: RequestLog;
  keys: Map<string, KeyStory>;
  budgets: (program: string) => number;
  leftAt: Map<string, Microseconds>;
}): string[] => {
  const out: string[] = [];
  const byProgram = new Map<string, { sum: number; largest: number }>();
  const byKey = new Map<string, number>();
  for (const e of o.requestLog.entries) {
    if (e.program !== null && e.ran) {
      const p = byProgram.get(e.program) ?? { sum: 0, largest: 0 };
      byProgram.set(e.program, {
        sum: p.sum + e.prompt + e.completion,
        largest: Math.max(p.largest, e.prompt + e.completion),
      });
    }
    if (e.key !== null && e.ran) byKey.set(e.key, (byKey.get(e.key) ?? 0) + 1);
    const left = o.leftAt.get(e.worker);
    if (left !== undefined && e.at - left > duration.s(3))
      out.push(`leaving worker ${e.worker} was sent a request ${duration.toMs(e.at - left)} ms after`);
  }
  for (const [id, p] of byProgram)
    if (p.sum > o.budgets(id) + p.largest)
      out.push(`program ${id} received ${p.sum} tokens of a budget of ${o.budgets(id)}`);
  for (const [k, n] of byKey) if (n > 1) out.push(`once-request ${k} ran ${n} times`);
  for (const e of o.requestLog.entries) {
    const st = e.key === null ? undefined : o.keys.get(e.key);
    const t = st?.no.find((x) => x < e.at && !st.sent.some((y) => y >= x && y <= e.at));
    if (t !== undefined)
      out.push(`once-request ${e.key} ran ${duration.toMs(e.at - t)} ms after "not run", with no copy sent since`);
  }
  for (const [k, st] of o.keys)
    if (!st.ok && st.ran.length && st.ran.every((r) => r === 'no') && byKey.has(k))
      out.push(`once-request ${k} ran after "not run"`);
  return out;
};
