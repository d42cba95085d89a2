// fairway: the data plane that a front embeds (§5): plans a request, then carries the plan out.
import type { Beam } from '@thornsail/beam';
import { formats, type Piece, type WorkerEntry } from '@thornsail/berth';
import type { Config } from '@thornsail/chart';
import { dues, type Purse } from '@thornsail/dues';
import { fault, invariant, time, us, type HttpAsk, type HttpHandler, type HttpResult, type HttpSay, type Lens, type Us } from '@thornsail/lens';
import { registers, type Registers } from '@thornsail/keeper';
import type { Mooring } from '@thornsail/mooring';
import type { Pipe } from '@thornsail/pipe';
import { admission, type Admission, type EdgeLoad } from './admission.js';
import { plan as plans, type Plan } from './plan.js';
import { stages, type Stages } from './stage.js';

export type { EdgeLoad } from './admission.js';
export { optionsOf } from './admission.js';
type Chat = Plan & { kind: 'chat' };
type Job = Plan & { kind: 'job' };
type Once = { by: string; at: Us; turn: string; done: Done | null; refusedAt?: Us };
type Done = { status: number; type: string; body: string; finish: string | null; prompt: number; completion: number };
type Kept = { messages: unknown[]; marks: string[] };
/** What the platform's list looks like in the news: one item for each pilot that reads it. */
export type WorkersNews = { list: WorkerEntry[] };

export type Fairway = {
  handle: HttpHandler;
  ready: () => { ok: boolean; why: string[] };
  drain: () => Promise<void>;
  counts: () => Record<string, number>;
  admission: Admission;
  registers: Registers;
  close: () => void;
};

/** A client gives up after about two seconds without an event: all that comes before the first byte fits in this (§4.3). */
const silenceLimit = us.ms(1850);
const maxTurn = us.s(300);
const edgeGone = us.s(2);
/** Shorter than the shortest Retry-After. */
const refusedQuiet = us.ms(900);
const slowReader = us.s(5);
const retryBudget = { most: 10, perTurn: 0.1 };

/** The workers as the news has them: the newest list, and leaving wherever any fresh list says so (§3.8). */
export const workersOf = (beam: Beam, now: Us, own: string | undefined): WorkerEntry[] => {
  const items = beam.all('workers/').map((x) => ({ name: x.name, at: x.item.at, list: (x.item.value as WorkersNews).list }));
  if (items.length === 0) return [];
  const fresh = items.filter((x) => now - x.at < us.s(4));
  const newest = [...items].sort((a, b) => b.at - a.at)[0]!;
  const base = fresh.find((x) => x.name === own) ?? newest;
  const leaving = new Set(fresh.flatMap((x) => x.list.filter((w) => w.leaving).map((w) => w.id)));
  return base.list.map((w) => ({ ...w, leaving: w.leaving || leaving.has(w.id) }));
};

export const fairway = {
  open: (o: { lens: Lens; pipe: Pipe; mooring: Mooring; pilotId?: () => string | undefined; plain?: boolean }): Fairway => {
    const { lens, pipe, mooring } = o;
    const { clock } = lens;
    const log = lens.log('fairway');
    const adm = admission.open(lens, o.plain);
    const me = mooring.id;
    const regs = registers.open({ lens, pipe, by: me, group: () => { const k = mooring.state()?.keepers; return k && k.mark > 0 ? { mark: k.mark, members: k.members } : undefined; } });
    const c: Record<string, number> = { requests: 0, turns: 0, jobs: 0, results: 0, rejected: 0, lost: 0, cut: 0, replayed: 0, budget_rejected: 0, retried: 0, orphaned: 0, refreshed: 0, slow_cut: 0, bad_requests: 0 };
    const bump = (k: string): void => { c[k] = (c[k] ?? 0) + 1; };
    const inFlight = new Set<string>();
    let draining = false;
    let closed = false;
    let config: Config | undefined;
    let configMark = 0;
    let keepersOk = false;
    let retries = retryBudget.most;

    const takeState = (): void => {
      const s = mooring.state();
      if (!s || s.config.value === null || s.config.mark <= configMark) return;
      invariant.hold(s.config.mark > configMark, 'the configuration slipped back');
      configMark = s.config.mark;
      config = s.config.value;
      adm.config(config);
      log(`configuration ${configMark} is in use.`);
    };
    const takeWorkers = (): void => {
      const pilot = o.pilotId?.();
      adm.workers(workersOf(mooring.beam, clock.now(), pilot === undefined ? undefined : `workers/${pilot}`));
    };
    mooring.onState(takeState);
    mooring.beam.on((n) => { if (n.name.startsWith('workers/')) takeWorkers(); });
    const siblings = (): void => {
      // Totals age out with their owner: by the roster, or by silence.
      const now = clock.now();
      adm.siblings(mooring.beam.all('load/').filter((x) => x.name !== `load/${me}` && now - x.item.at < us.s(5)).map((x) => x.item.value as EdgeLoad));
    };
    /** Programs taken over from another edge lately: the siblings forget them (§4.4). */
    const took = new Map<string, Us>();
    let loadMark = 0;
    let lastLoad = '';
    let lastPut = 0;
    const stops = [
      time.every(clock, us.ms(250), () => {
        takeState();
        siblings();
        const now = clock.now();
        for (const [k, at] of took) if (now - at > us.s(3) || took.size > 500) took.delete(k);
        const l: EdgeLoad = { ...adm.load(), took: [...took.keys()] };
        const text = JSON.stringify(l);
        if (text !== lastLoad || clock.now() - lastPut > us.s(2)) {
          lastLoad = text;
          lastPut = clock.now();
          mooring.beam.put(`load/${me}`, ++loadMark, l);
        }
        retries = Math.min(retryBudget.most, retries + 0.25);
      }),
      time.every(clock, us.ms(500), async () => { keepersOk = await regs.reachable(); takeWorkers(); }),
    ];

    const ready = (): { ok: boolean; why: string[] } => {
      const why: string[] = [];
      if (draining) why.push('leaving');
      if (!config) why.push('no configuration');
      if (adm.held() >= 0 && !workersOf(mooring.beam, clock.now(), undefined).some((w) => !w.leaving)) why.push('no workers');
      if (!keepersOk) why.push('no keeper majority');
      return { ok: why.length === 0, why };
    };

    // --- results that are not streams
    const json = (say: HttpSay, status: number, body: unknown, headers: Record<string, string> = {}): void => {
      if (say.gone()) return;
      say.head(status, { 'content-type': 'application/json', ...headers });
      say.end(JSON.stringify(body));
    };
    /** The final answer of a turn that is given up, at once, with when to come back (§4.3). */
    const reject = (say: HttpSay, status: number, error: string, text: string, ran: 'no' | 'unknown', retryAfter: number | null): void => {
      bump('rejected');
      json(say, status, { error, message: text, ran }, { 'x-thornsail-ran': ran, ...(retryAfter === null ? {} : { 'retry-after': String(retryAfter) }) });
    };
    const backoff = (): number => 1 + lens.rand.int(3);

    // --- once-requests (§5.4)
    const onceKey = (cls: string, key: string): string => `once/${cls}/${key}`;
    const claim = async (p: Chat | Job, turn: string, left: Us): Promise<{ ok: true } | { ok: false; once: Once }> => {
      const keep = us.s(config!.limits.onceKeepSeconds);
      return regs.change<{ ok: true } | { ok: false; once: Once }>(onceKey(p.cls, p.key!), (v, w) => {
        const was = v as Once | undefined;
        // A key that was refused is free again, but only after the Retry-After that its caller was given:
        // a copy that was already on its way must not run after "not run" was said (§5.4).
        const quiet = was?.refusedAt !== undefined && Math.abs(w.max - was.refusedAt) < refusedQuiet;
        if (was && was.turn !== turn && (was.refusedAt === undefined || quiet)) return { keep: true, result: { ok: false, once: was } };
        const once: Once = { by: me, at: w.max, turn, done: null };
        return { held: { value: once, until: Math.max(w.max, clock.wall()) + keep }, result: { ok: true } };
      }, left);
    };
    /** Only from a stage in which nothing was sent: the key is free again. */
    const unclaim = async (p: Chat | Job, turn: string): Promise<void> => {
      await regs.change<void>(onceKey(p.cls, p.key!), (v, w) => {
        const was = v as Once | undefined;
        if (was?.turn !== turn) return { keep: true, result: undefined };
        return { held: { value: { ...was, refusedAt: w.max }, until: Math.max(w.max, clock.wall()) + us.s(config!.limits.onceKeepSeconds) }, result: undefined };
      }, us.ms(600)).catch(() => undefined);
    };
    const record = async (p: Chat | Job, turn: string, done: Done): Promise<void> => {
      const small: Done = done.body.length > 65_536 ? { ...done, body: '' , type: 'too-large' } : done;
      await regs.change(onceKey(p.cls, p.key!), (v, w) => {
        const was = v as Once | undefined;
        if (!was || was.turn !== turn) return { keep: true, result: undefined };
        return { held: { value: { ...was, done: small }, until: Math.max(w.max, clock.wall()) + us.s(config!.limits.onceKeepSeconds) }, result: undefined };
      }, us.s(2)).catch((e) => log(`a once-result was not recorded: ${fault.text(e)}.`));
    };
    const repeated = (p: Chat | Job, say: HttpSay, once: Once): void => {
      if (once.refusedAt !== undefined) return reject(say, 429, 'refused', 'a copy of this request has just been refused', 'no', 1);
      if (!once.done || once.done.type === 'too-large') {
        const alive = once.by === me ? inFlight.has(once.turn) : mooring.state()?.roster[once.by]?.standing !== 'dead' && mooring.state()?.roster[once.by] !== undefined;
        const fresh = clock.wall() - once.at < maxTurn;
        bump('rejected');
        if (!once.done && alive && fresh) json(say, 409, { error: 'in_progress', message: 'a request with this key is being served', ran: 'unknown' }, { 'x-thornsail-ran': 'unknown', 'retry-after': '1' });
        else json(say, 409, { error: 'outcome_unknown', message: 'a request with this key was sent and its outcome is not known', ran: 'unknown' }, { 'x-thornsail-ran': 'unknown' });
        return;
      }
      bump('replayed');
      const d = once.done;
      if (p.kind === 'chat' && p.stream) {
        say.head(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-thornsail-replayed': 'true' });
        say.write(`id: 1\ndata: ${JSON.stringify({ object: 'chat.completion.chunk', choices: [{ index: 0, delta: { role: 'assistant', content: d.body }, finish_reason: d.finish }], usage: { prompt_tokens: d.prompt, completion_tokens: d.completion, total_tokens: d.prompt + d.completion } })}\n\n`);
        say.end('id: 2\ndata: [DONE]\n\n');
      } else if (p.kind === 'chat') json(say, 200, whole(d.body, d.finish, [], d.prompt, d.completion), { 'x-thornsail-replayed': 'true' });
      else { say.head(d.status, { 'content-type': d.type, 'x-thornsail-replayed': 'true' }); say.end(d.body); }
    };
    const whole = (content: string, finish: string | null, toolCalls: unknown[], prompt: number, completion: number): unknown => ({
      object: 'chat.completion', choices: [{ index: 0, message: { role: 'assistant', content, ...(toolCalls.length ? { tool_calls: toolCalls } : {}) }, finish_reason: finish }],
      usage: { prompt_tokens: prompt, completion_tokens: completion, total_tokens: prompt + completion },
    });

    // --- registers of programs and conversations
    const programKey = (id: string): string => `program/${id}`;
    const goneEdge = (by: string): boolean => mooring.deadFor(by) > edgeGone;
    const keepProgram = (w: { max: Us }): Us => Math.max(w.max, clock.wall()) + us.s(config!.limits.programKeepSeconds);
    const charge = (p: Chat, turn: string, reserve: number, left: Us): Promise<{ ok: true } | { ok: false; why: 'spent' | 'open' }> =>
      regs.change<{ ok: true } | { ok: false; why: 'spent' | 'open' }>(programKey(p.program), (v, w) => {
        const r = dues.charge(v as Purse | undefined, {
          turn, by: me, reserve, budget: p.of.budgetTokens, at: w.max,
          gone: (x) => (x.by === me ? !inFlight.has(x.turn) : goneEdge(x.by) || w.min - x.at > maxTurn),
        });
        if (!r.ok) return { keep: true, result: { ok: false, why: r.why } };
        return { held: { value: r.purse, until: keepProgram(w) }, result: { ok: true } };
      }, left);
    const settle = (p: Chat, turn: string, e: { actual: number; tokens: number; worker: string | null }, left: Us): Promise<void> =>
      regs.change<void>(programKey(p.program), (v, w) => {
        const next = dues.settle(v as Purse | undefined, { turn, ...e });
        return next === v || next === undefined ? { keep: true, result: undefined } : { held: { value: next, until: keepProgram(w) }, result: undefined };
      }, left);
    const giveBack = (p: Chat, turn: string): Promise<void> =>
      regs.change<void>(programKey(p.program), (v, w) => {
        const next = dues.giveBack(v as Purse | undefined, turn);
        return next === v || next === undefined ? { keep: true, result: undefined } : { held: { value: next, until: keepProgram(w) }, result: undefined };
      }, us.ms(800)).catch(() => undefined);
    const convKey = (id: string): string => `conv/${id}`;
    const append = (p: Chat, turn: string, said: unknown[], left: Us): Promise<void> =>
      regs.change<void>(convKey(p.conversation!), (v, w) => {
        const was = (v as Kept | undefined) ?? { messages: [], marks: [] };
        if (was.marks.includes(turn)) return { keep: true, result: undefined };
        const next: Kept = { messages: [...was.messages, ...said], marks: [...was.marks, turn].slice(-16) };
        return { held: { value: next, until: Math.max(w.max, clock.wall()) + us.s(p.of.keepSeconds) }, result: undefined };
      }, left);

    /** After a freeze nothing is dispatched on old news (§3.7). */
    const freshen = async (): Promise<boolean> => {
      if (!mooring.stale()) return true;
      bump('refreshed');
      const ok = await mooring.refresh();
      if (ok) { takeState(); takeWorkers(); siblings(); }
      return ok;
    };

    const promptBound = (messages: unknown[]): number => Math.ceil(Buffer.byteLength(JSON.stringify(messages), 'utf8') / config!.limits.promptBytesPerToken) + 16;

    type Sent = { ok: true; res: HttpResult } | { ok: false; unsent: boolean; e: unknown };
    const send = async (w: WorkerEntry, path: string, body: string, headers: Record<string, string>, fresh: boolean, left: Us): Promise<Sent> => {
      try {
        return { ok: true, res: await lens.net.call({ at: w.at, method: 'POST', path, headers: { 'content-type': 'application/json', ...headers }, body, fresh, timeLeft: left, silence: us.s(20) }) };
      } catch (e) {
        return { ok: false, unsent: fault.notSent(e), e };
      }
    };

    const job = async (p: Job, say: HttpSay): Promise<void> => {
      bump('jobs');
      const begun = clock.now();
      const turn = `${me}.${lens.rand.id()}`;
      const st: Stages = stages.open();
      const left = (): Us => Math.min(silenceLimit, p.timeLeft) - (clock.now() - begun);
      let claimed = false;
      inFlight.add(turn);
      const no = async (status: number, error: string, text: string, retryAfter: number | null, ran: 'no' | 'unknown' = st.ran()): Promise<void> => {
        st.go('reject');
        if (claimed) await unclaim(p, turn);
        reject(say, status, error, text, ran, retryAfter);
      };
      try {
        // The claim comes before any wait: a copy with the same key at another edge must find it (§5.4).
        if (p.key !== null) {
          if (mooring.stale()) return await no(503, 'stale', 'this node has just woken: the request may be an old copy', 1, 'unknown');
          let r: Awaited<ReturnType<typeof claim>>;
          try { r = await claim(p, turn, Math.max(us.ms(50), left())); } catch (e) {
            log(`a claim failed: ${fault.text(e)}.`);
            return await no(503, 'no_keepers', 'the claim could not be kept by a majority', backoff(), 'unknown');
          }
          if (!r.ok) { st.go('reject'); repeated(p, say, r.once); return; }
          claimed = true;
        }
        const not = new Set<string>();
        for (let round = 0; ; round++) {
          const slot = adm.slot(p.cls, { hint: null, not, force: false, limit: Math.min(us.ms(1500) - (clock.now() - begun), left() - adm.expected(p.cls)) });
          say.onGone(slot.gone);
          const s = await slot.got;
          if (!s.ok) {
            if (s.why === 'gone') { st.go('reject'); if (claimed) await unclaim(p, turn); return; }
            return await no(s.why === 'none' ? 503 : 429, s.why === 'none' ? 'no_worker' : 'busy', s.why === 'none' ? 'no worker of this kind is there' : 'all workers of this class are taken', backoff());
          }
          let took: Us | null = null;
          try {
            if (round === 0) st.go('admit');
            if (!(await freshen())) return await no(503, 'stale', 'this node has just woken and could not refresh its news', 1);
            const now = adm.worker(s.worker.id);
            if (!now || now.leaving) { not.add(s.worker.id); continue; }
            if (say.gone() || left() <= 0) return await no(503, 'late', 'the time left ran out before anything was sent', 1);
            if (st.now() === 'admitted') st.go('charge');
            st.go('send');
            const sentAt = clock.now();
            const r = await send(now, formats.job.path, p.body, p.key === null ? {} : { 'idempotency-key': p.key }, p.key !== null, Math.max(us.ms(100), p.timeLeft - (clock.now() - begun)));
            if (!r.ok) {
              adm.bad(now.id);
              if (r.unsent) { st.go('unsent'); not.add(now.id); if (round < 3 && left() > 0) continue; return await no(503, 'no_worker', 'no worker could be reached', 1); }
              // A byte may have reached the worker: only what is safe to repeat, and only within the retry budget.
              if (!p.once && p.key === null && round === 0 && retries >= 1 && left() > 0) { retries -= 1; bump('retried'); st.go('lose'); st.go('again'); not.add(now.id); continue; }
              st.go('lose');
              bump('lost');
              return reject(say, 502, 'outcome_unknown', 'the worker was lost before its result', 'unknown', p.once ? null : 1);
            }
            let body = '';
            try {
              for await (const x of r.res.body) {
                body += x;
                if (body.length > 4 << 20) { r.res.cut(); throw fault.make({ step: 'job.body', sibling: now.at }, 'a result over 4 MiB'); }
              }
            } catch (e) {
              log(`a job's result broke off: ${fault.text(e)}.`);
              st.go('lose');
              bump('lost');
              return reject(say, 502, 'outcome_unknown', 'the result broke off', 'unknown', p.once ? null : 1);
            }
            took = clock.now() - sentAt;
            st.go('relay');
            const type = r.res.headers['content-type'] ?? 'application/json';
            if (claimed) await record(p, turn, { status: r.res.status, type, body, finish: null, prompt: 0, completion: 0 });
            st.go('end');
            bump('results');
            if (!say.gone()) { say.head(r.res.status, { 'content-type': type, 'x-thornsail-ran': 'yes' }); say.end(body); }
            return;
          } finally { adm.leave(s.worker.id, p.cls, took); }
        }
      } finally { inFlight.delete(turn); }
    };

    const chat = async (p: Chat, say: HttpSay): Promise<void> => {
      bump('turns');
      const begun = clock.now();
      const st: Stages = stages.open();
      let turn = `${me}.${lens.rand.id()}`;
      const first = turn;
      const left = (): Us => Math.min(silenceLimit, p.timeLeft) - (clock.now() - begun);
      let claimed = false;
      let charged = false;
      let inTable = false;
      let worker: string | null = null;
      inFlight.add(first);
      /** Gives the turn up before anything was sent: the result goes out first, the books follow. */
      const no = (status: number, error: string, text: string, retryAfter: number | null, ran: 'no' | 'unknown' = st.ran()): void => {
        st.go('reject');
        if (inTable) { inTable = false; adm.end(turn, { tokens: null, final: false, worker: null }); }
        const books = (async (): Promise<void> => {
          if (charged) await giveBack(p, turn);
          if (claimed) await unclaim(p, first);
        })();
        void books.finally(() => inFlight.delete(first));
        reject(say, status, error, text, ran, retryAfter);
      };
      try {
        if (p.key !== null) {
          if (mooring.stale()) return no(503, 'stale', 'this node has just woken: the request may be an old copy', 1, 'unknown');
          let r: Awaited<ReturnType<typeof claim>>;
          try { r = await claim(p, first, Math.max(us.ms(50), left())); } catch { return no(503, 'no_keepers', 'the claim could not be kept by a majority', backoff(), 'unknown'); }
          if (!r.ok) { st.go('reject'); return repeated(p, say, r.once); }
          claimed = true;
        }
        let messages = p.messages;
        let known: { tokens: number; worker: string | null } | undefined;
        try {
          const [kept, purse] = await Promise.all([
            p.conversation === null ? undefined : regs.read(convKey(p.conversation), left()) as Promise<Kept | undefined>,
            adm.knows(p.program) ? undefined : regs.read(programKey(p.program), left()) as Promise<Purse | undefined>,
          ]);
          if (kept) messages = [...kept.messages, ...p.messages];
          if (purse) {
            known = { tokens: purse.tokens, worker: purse.worker };
            if (purse.turns > 0) took.set(p.program, clock.now());
            if (purse.spent >= p.of.budgetTokens) { bump('budget_rejected'); return no(403, 'budget_spent', 'the budget of this program is spent', null); }
          }
        } catch (e) {
          log(`a program's register could not be read: ${fault.text(e)}.`);
          return no(503, 'no_keepers', 'no majority of keepers was reached', backoff());
        }
        const reserve = promptBound(messages) + p.maxTokens;
        const guess = Math.ceil(promptBound(messages) / 4);
        const t = adm.turn({ kind: 'arrive', turn, program: p.program, tokens: guess, timeLeft: p.timeLeft - (clock.now() - begun), expected: adm.expected(p.cls), known }, () => st.go('hold'));
        say.onGone(t.gone);
        if (say.gone()) t.gone();
        const rel = await t.released;
        if (!rel.ok) {
          if (rel.why === 'gone') { bump('orphaned'); return no(499, 'gone', 'the client went away', null); }
          return no(rel.why === 'busy' ? 429 : 503, rel.why === 'busy' ? 'turn_open' : 'full', rel.why === 'busy' ? 'another turn of this program is open' : `the table of ${rel.why} is full`, backoff());
        }
        inTable = true;
        st.go('admit');
        let hint = rel.worker;
        const not = new Set<string>();
        for (let round = 0; ; round++) {
          const slot = adm.slot(p.cls, { hint, not, force: rel.why === 'forced', limit: Math.min(us.ms(1500) - (clock.now() - begun), p.timeLeft - (clock.now() - begun) - adm.expected(p.cls)) });
          say.onGone(slot.gone);
          const s = await slot.got;
          if (!s.ok) return no(s.why === 'none' ? 503 : 429, s.why === 'none' ? 'no_worker' : 'busy', s.why === 'none' ? 'no model worker is there' : 'all workers of this class are taken', backoff());
          let took: Us | null = null;
          try {
            if (!charged) {
              for (;;) {
                let r: Awaited<ReturnType<typeof charge>>;
                try { r = await charge(p, turn, reserve, Math.max(us.ms(50), left())); } catch (e) {
                  log(`a charge failed: ${fault.text(e)}.`);
                  charged = true; // It may have been written: the books give it back if so.
                  return no(503, 'no_keepers', 'the charge could not be kept by a majority', backoff());
                }
                if (r.ok) break;
                if (r.why === 'spent') { bump('budget_rejected'); return no(403, 'budget_spent', 'the budget of this program is spent', null); }
                // Another edge has the program's turn open: it may be settling right now.
                if (left() < us.ms(400)) return no(429, 'turn_open', 'another turn of this program is open', 1);
                await time.sleep(clock, us.ms(60 + lens.rand.int(60)));
              }
              charged = true;
              st.go('charge');
            }
            if (!(await freshen())) return no(503, 'stale', 'this node has just woken and could not refresh its news', 1);
            const now = adm.worker(s.worker.id);
            if (!now || now.leaving) { not.add(s.worker.id); hint = null; continue; }
            if (say.gone()) { bump('orphaned'); return no(499, 'gone', 'the client went away', null); }
            if (left() <= 0) return no(503, 'late', 'the time left ran out before anything was sent', 1);
            invariant.hold(charged && inTable, 'a turn is charged and admitted before it is sent');
            st.go('send');
            worker = now.id;
            const sentAt = clock.now();
            const r = await send(now, formats.chat.path, formats.chat.body({ messages, maxTokens: p.maxTokens, rest: p.rest }),
              { accept: 'text/event-stream', 'x-program-id': p.program, ...(p.key === null ? {} : { 'idempotency-key': p.key }) }, p.key !== null, us.s(30));
            if (!r.ok && r.unsent) {
              st.go('unsent');
              adm.bad(now.id);
              not.add(now.id);
              hint = null;
              if (round < 3 && left() > 0) continue;
              return no(503, 'no_worker', 'no worker could be reached', 1);
            }
            const rounds = r.ok && r.res.status === 200 ? await relay(p, say, st, r.res, turn, { messages, guess, reserve, worker: now.id, claimed, first }) : 'empty';
            if (rounds === 'done') { took = clock.now() - sentAt; inTable = false; return; }
            adm.bad(now.id);
            if (r.ok && r.res.status !== 200) r.res.cut();
            // Lost: what was reserved stays charged. Repeated only if nothing was relayed and it is safe to.
            const again = rounds === 'empty' && !p.once && p.key === null && round === 0 && retries >= 1 && left() > 0 && !say.gone();
            st.go('lose');
            bump('lost');
            if (again) {
              retries -= 1;
              bump('retried');
              await settle(p, turn, { actual: reserve, tokens: guess, worker: null }, Math.max(us.ms(50), left())).catch(() => undefined);
              charged = false;
              adm.end(turn, { tokens: null, final: false, worker: null });
              inTable = false;
              const was = turn;
              turn = `${me}.${lens.rand.id()}`;
              inFlight.add(turn);
              inFlight.delete(was);
              const t2 = adm.turn({ kind: 'arrive', turn, program: p.program, tokens: guess, timeLeft: p.timeLeft - (clock.now() - begun), expected: adm.expected(p.cls) }, () => undefined);
              say.onGone(t2.gone);
              const rel2 = await t2.released;
              if (rel2.ok) {
                inTable = true;
                st.go('again');
                not.add(now.id);
                hint = rel2.worker;
                continue;
              }
            }
            if (inTable) { inTable = false; adm.end(turn, { tokens: null, final: false, worker: null }); }
            if (rounds === 'empty') return reject(say, 502, 'outcome_unknown', 'the worker was lost before its first token', 'unknown', p.once ? null : 1);
            bump('cut');
            return say.cut();
          } finally { adm.leave(s.worker.id, p.cls, took); }
        }
      } finally {
        if (st.now() !== 'rejected') inFlight.delete(first);
        inFlight.delete(turn === first ? '' : turn);
        if (inTable) adm.end(turn, { tokens: null, final: false, worker });
      }
    };

    /** Relays a worker's stream. 'done': settled, kept and ended; 'empty': nothing was relayed; 'cut': broken off within. */
    const relay = async (p: Chat, say: HttpSay, st: Stages, res: HttpResult, turn: string, x: { messages: unknown[]; guess: number; reserve: number; worker: string; claimed: boolean; first: string }): Promise<'done' | 'empty' | 'cut'> => {
      const split = formats.chat.reader();
      let n = 0;
      let count = 0;
      let prompt = x.guess;
      let completion: number | null = null;
      let content = '';
      let finish: string | null = null;
      const tools = new Map<number, { id?: string; type: string; function: { name: string; arguments: string } }>();
      let headSaid = false;
      const tell = async (data: string): Promise<void> => {
        if (!p.stream || say.gone()) return;
        if (!headSaid) { headSaid = true; say.head(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-thornsail-worker': x.worker }); }
        n += 1;
        // A slow reader holds the worker's stream back; nothing piles up here.
        if (say.write(`id: ${n}\ndata: ${data}\n\n`)) return;
        // One that has stopped reading is let go of; the turn at the worker runs on and is settled (§5.6).
        const stuck = await Promise.race([say.drained().then(() => false), time.sleep(clock, slowReader).then(() => true)]);
        if (stuck && !say.gone()) { bump('slow_cut'); say.cut(); }
      };
      const finishOff = async (): Promise<void> => {
        const actual = completion === null ? Math.max(x.reserve - p.maxTokens, prompt) + count : prompt + completion;
        const tokens = prompt + (completion ?? count);
        await settle(p, turn, { actual, tokens, worker: x.worker }, us.s(1)).catch((e) => log(`a turn was not settled and stays charged: ${fault.text(e)}.`));
        const reply = { role: 'assistant', content, ...(tools.size ? { tool_calls: [...tools.values()] } : {}) };
        if (p.conversation !== null) await append(p, x.first, [...p.messages, reply], us.s(1));
        if (x.claimed) await record(p, x.first, { status: 200, type: 'chat', body: content, finish, prompt, completion: completion ?? count });
        adm.end(turn, { tokens, final: finish !== null && finish !== 'tool_calls', worker: x.worker });
      };
      try {
        for await (const text of res.body) {
          for (const piece of split(text) as Piece[]) {
            if (piece.kind === 'fault') throw fault.make({ step: 'relay', sibling: x.worker }, piece.text);
            if (piece.kind === 'done') {
              if (st.now() === 'sent') st.go('relay');
              try { await finishOff(); } catch (e) {
                log(`a conversation was not kept, so its stream is cut: ${fault.text(e)}.`);
                return 'cut';
              }
              st.go('end');
              bump('results');
              res.cut();
              if (say.gone()) return 'done';
              if (p.stream) { if (!headSaid) await tell('{}'); n += 1; say.end(`id: ${n}\ndata: [DONE]\n\n`); } else json(say, 200, whole(content, finish, [...tools.values()], prompt, completion ?? count), { 'x-thornsail-worker': x.worker });
              return 'done';
            }
            if (st.now() === 'sent') st.go('relay');
            content += piece.text;
            if (piece.finish !== null) finish = piece.finish;
            if (piece.kind === 'usage') { prompt = piece.prompt; completion = piece.completion; } else if (piece.text !== '' || piece.toolCall) count += 1;
            if (piece.toolCall) mergeTools(tools, piece.data);
            adm.grow(p.program, prompt + (completion ?? count));
            await tell(piece.data);
          }
        }
        throw fault.make({ step: 'relay', sibling: x.worker }, 'the stream ended without its end marker');
      } catch (e) {
        log(`a turn was lost: ${fault.text(e)}.`);
        res.cut();
        return st.now() === 'sent' || (!headSaid && p.stream === false && n === 0 && count === 0) ? 'empty' : 'cut';
      }
    };

    const recall = async (id: string, say: HttpSay): Promise<void> => {
      try {
        const v = await regs.read(convKey(id), us.ms(1500)) as Kept | undefined;
        if (v) json(say, 200, { conversation: id, messages: v.messages });
        else json(say, 404, { error: 'no_such_conversation', message: 'nothing is kept under this name', ran: 'no' });
      } catch { reject(say, 503, 'no_keepers', 'no majority of keepers was reached', 'no', backoff()); }
    };

    const handle = async (ask: HttpAsk, say: HttpSay): Promise<void> => {
      bump('requests');
      // Of a request with a key, a copy may have run elsewhere: before the claim is seen nobody may say "no" (§5.4).
      const ran = ask.headers['idempotency-key'] === undefined ? 'no' : 'unknown';
      if (!config) return reject(say, 503, 'not_ready', 'no configuration yet', ran, 1);
      if (draining && ask.method === 'POST') return reject(say, 503, 'leaving', 'this node is leaving', ran, 1);
      if (inFlight.size >= config.scheduler.maxTurns) return reject(say, 503, 'full', 'this node holds as many turns as it may', ran, backoff());
      const p = plans.make(ask, config);
      switch (p.kind) {
        case 'reject': bump('bad_requests'); return json(say, p.status, { error: p.error, field: p.field, message: p.text, ran }, { 'x-thornsail-ran': ran });
        case 'recall': return recall(p.conversation, say);
        case 'job': return job(p, say);
        case 'chat': return chat(p, say);
      }
    };

    return {
      handle: async (ask, say) => {
        try { await handle(ask, say); } catch (e) {
          log(`a request failed: ${fault.text(e)}.`);
          say.cut();
        }
      },
      ready,
      drain: async () => {
        draining = true;
        const end = clock.now() + maxTurn;
        while (inFlight.size && clock.now() < end && !closed) await time.sleep(clock, us.ms(50));
      },
      counts: () => ({ ...c, ...adm.counts(), in_flight: inFlight.size, holding: adm.held(), config_mark: configMark, ...Object.fromEntries(Object.entries(regs.counts()).map(([k, v]) => [`register_${k}`, v])) }),
      admission: adm, registers: regs,
      close: () => { closed = true; for (const s of stops) s(); adm.close(); },
    };
  },
};

const mergeTools = (into: Map<number, { id?: string; type: string; function: { name: string; arguments: string } }>, data: string): void => {
  const j = JSON.parse(data) as { choices?: { delta?: { tool_calls?: { index?: number; id?: string; function?: { name?: string; arguments?: string } }[] } }[] };
  for (const t of j.choices?.[0]?.delta?.tool_calls ?? []) {
    const cur = into.get(t.index ?? 0) ?? { type: 'function', function: { name: '', arguments: '' } };
    if (t.id !== undefined) cur.id = t.id;
    cur.function.name += t.function?.name ?? '';
    cur.function.arguments += t.function?.arguments ?? '';
    into.set(t.index ?? 0, cur);
  }
};
