// Carrying out a request that is passed on unread (§5.7), a function for each stage: claim, context, charge, admission,
// slot, send, end. A turn of a program goes through all of them, a call of a tool through some.
import { createHash } from 'node:crypto';
import type { WorkerEntry } from '@thornsail/load-balancer';
import { fault, invariant, time, us, type HttpSay, type Us } from '@thornsail/runtime';
import type { Account, Answer, Charged, Claimed, Key, Once } from '../books.js';
import { stillOpen, untilRoom, type Edge } from '../edge.js';
import { stages, type Stages } from '../stage.js';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import { events } from './events.js';
import { exchange, type Outcome, type StreamSink } from './exchange.js';
import type { KeptTurns } from './kept.js';
import type { Forward } from './plan.js';

export type Forwarding = {
  edge: Edge;
  dialect: Dialect;
  connections: Connections;
  kept: KeptTurns;
  /** How many edges share what a worker accepts. */
  edges: () => number;
};
type Run = {
  f: Forwarding;
  x: Edge;
  p: Forward;
  say: HttpSay;
  st: Stages;
  begun: Us;
  /** Names this request's claim, charge and place in the scheduler's table. */
  id: string;
  claimed: Key | null;
  charged: Account | null;
  inTable: boolean;
  closing: boolean;
  hint: string | null;
  /** The hint has the context of the program's earlier turns. */
  warm: boolean;
  forced: boolean;
  not: Set<string>;
  /** Workers that it was sent to. */
  sends: number;
  chain: string[];
  /** The turn before it was answered by another edge. */
  elsewhere: boolean;
  body: Uint8Array;
  /** Tokens of the prompt, as the scheduler counts them. */
  prompt: number;
  /** Events that reached the caller, the last one's id, and their data. */
  events: number;
  lastEvent: string | null;
  last: Buffer | null;
  output: string;
  headSaid: boolean;
  /** Where it goes: chosen once, by the route's weights. */
  service: string;
};
type Next = 'done' | 'again';

/** A caller gives a stream up after the longest of these without an event (§4.3). */
const patience = (p: Forward): Us => Math.max(us.s(2), us.ms(4 * p.route.aimMs), us.ms(8 * p.route.gapMs)) - us.ms(150);
const slowReader = us.s(5);
const largestAnswer = 8 << 20;
/** How long the books may take to close before a stream's end. */
const closeWithin = us.ms(900);

const spent = (r: Run): Us => r.x.lens.clock.now() - r.begun;
/** Until the caller's deadline. */
const left = (r: Run): Us => r.p.deadline - spent(r);
/** Until the caller gives up waiting for a first event. */
const quiet = (r: Run): Us =>
  r.p.route.semantics === 'stream' ? Math.min(left(r), patience(r.p) - spent(r)) : left(r);
const log = (r: Run, text: string): void => r.x.lens.log('fairway')(text);

/** The final answer of a request that is given up, at once (§4.3). Seconds to come back after, or null. */
const say = (r: Run, status: number, error: string, text: string, retryAfter: number | null): void => {
  if (r.say.gone()) return;
  if (r.headSaid) return r.say.cut();
  r.x.bump('rejected');
  const w = r.f.dialect.refuse({ status, error, field: null, text }, retryAfter);
  r.say.head(w.status, [...w.headers, 'content-length', String(Buffer.byteLength(w.body))]);
  r.say.end(w.body);
};
/** Soon, and spread out: those refused together do not come back together. */
const soon = (r: Run): number => 0.1 + 0.2 * r.x.lens.rand.next();

const leaveTable = (r: Run, tokens: number | null, worker: string | null, final = false): void => {
  if (r.inTable) r.x.adm.end(r.id, { tokens, final, worker });
  r.inTable = false;
};
/** Gives the request up before anything was sent: the answer goes out first, the books follow. */
const no = (r: Run, status: number, error: string, text: string, retryAfter: number | null): 'done' => {
  const { x } = r;
  r.st.go('reject');
  leaveTable(r, null, null, status === 402 || status === 404);
  r.closing = true;
  const { charged, claimed } = r;
  const ran = r.st.ran() !== 'no';
  const close = async (): Promise<void> => {
    if (charged) await (ran ? settle(r, actual(r), null) : x.books.giveBack(charged, r.id));
    // Each attempt has an id of its own here: no copy of this one can be on its way, so the key is free at once.
    if (claimed && !ran) await x.books.unclaim(claimed, r.id, 0);
  };
  void close().finally(() => x.inFlight.delete(r.id));
  say(r, status, error, text, retryAfter);
  return 'done';
};
const gone = (r: Run): 'done' => {
  r.x.bump('orphaned');
  return no(r, 499, 'gone', 'the client went away', null);
};
const noKeepers = (r: Run, text: string): 'done' => no(r, 503, 'no_keepers', text, soon(r));

/** A key's operation, whichever edge it reaches (§5.4). */
const keyOf = (p: Forward): Key => ({
  name: p.key!,
  sum: createHash('sha256').update(`${p.method} ${p.target}\n`).update(p.body).digest('base64').slice(0, 22),
});
const repeated = async (r: Run, once: Once, sum: string): Promise<void> => {
  const { x } = r;
  if (once.sum !== undefined && once.sum !== sum)
    return say(r, 422, 'key_reused', 'this key came with another request before', null);
  const a = once.done as Answer | null;
  if (a && a.status > 0) {
    x.bump('replayed');
    if (r.say.gone()) return;
    const body = Buffer.from(a.body, 'latin1');
    r.say.head(a.status, [...a.headers, 'content-length', String(body.length)]);
    return r.say.end(body);
  }
  if (!a && (await stillOpen(x, once)))
    return say(r, 409, 'in_progress', 'a request with this key is being served', soon(r));
  // Nothing is at work any more, and nothing is promised: it may have run.
  return say(r, 502, 'outcome_unknown', 'a request with this key was sent and its outcome is not known', null);
};
const claim = async (r: Run): Promise<Next> => {
  const { x, p } = r;
  if (p.key === null) return 'again';
  // An old copy that a frozen node still held may have run elsewhere meanwhile: no promise is made.
  if (x.mooring.stale() && !(await x.freshen())) {
    r.st.go('reject');
    say(r, 502, 'stale', 'this node has just woken', null);
    return 'done';
  }
  const key = keyOf(p);
  let c: Claimed;
  try {
    c = await x.books.claim(key, r.id, Math.max(us.ms(50), left(r)));
  } catch (e) {
    log(r, `a claim failed: ${fault.text(e)}.`);
    r.st.go('reject');
    say(r, 502, 'no_keepers', 'the claim could not be kept by a majority', null);
    r.closing = true;
    void x.books.unclaim(key, r.id, 0).finally(() => x.inFlight.delete(r.id));
    return 'done';
  }
  if (c.ok) {
    r.claimed = key;
    return 'again';
  }
  r.st.go('reject');
  await repeated(r, c.once, key.sum);
  return 'done';
};

/** The whole prompt of a turn that continues another one (§5.9). */
const chain = async (r: Run): Promise<Next> => {
  const { p, f } = r;
  if (p.previous === null) return 'again';
  try {
    const c = await f.kept.chain(p.previous, Math.min(left(r), us.s(2)));
    if (!c) return no(r, 404, 'no_such_turn', 'there is no such earlier turn', null);
    r.chain = c.ids;
    r.elsewhere = !c.here;
    r.body = Buffer.concat([Buffer.from(c.text, 'latin1'), p.body]);
    return 'again';
  } catch (e) {
    log(r, `a chain could not be read: ${fault.text(e)}.`);
    return noKeepers(r, 'an earlier turn could not be read');
  }
};

/** Ballots that a purse sees for each turn of a line at most, mostly: charge and settlement, helpers beside it. */
const ballotsOfTurn = 8;
/** The scheduler's unit: a program's line of turns (§4.3). */
const lineOf = (t: { program: string; session: string }): string => `${t.program}/${t.session}`;

/** Reserves the turn's most in the program's budget, before it is sent (§5.3). */
const charge = async (r: Run): Promise<Next> => {
  const { x, p } = r;
  const { turn } = p;
  if (turn === null || turn.budget === null) return 'again';
  // Where turns are kept, the first of a program continues none: no purse is there yet.
  const fresh = p.route.keepSeconds > 0 && p.previous === null;
  const past = r.elsewhere ? ballotsOfTurn * (r.chain.length + 1) : 0;
  const account: Account = { program: turn.program, budget: turn.budget, keepSeconds: 0, fresh, past };
  const begun = x.lens.clock.now();
  for (;;) {
    let got: Charged;
    try {
      got = await x.books.charge(account, r.id, Math.max(1, p.usage.most), Math.max(us.ms(50), quiet(r)));
    } catch (e) {
      log(r, `a charge failed: ${fault.text(e)}.`);
      r.charged = account; // It may have been written: the books give it back if so.
      return noKeepers(r, 'the charge could not be kept by a majority');
    }
    if (got.ok) {
      r.charged = account;
      r.hint = got.purse.worker;
      // The line of turns was at another edge before: that one forgets it (§4.4).
      if (r.hint !== null && !x.adm.knows(lineOf(turn))) x.tookOver(lineOf(turn));
      x.adm.sawCharge(x.lens.clock.now() - begun);
      return 'again';
    }
    if (got.why === 'spent') {
      x.bump('budget_rejected');
      return no(r, 402, 'budget_spent', 'the budget of this program is spent', null);
    }
    // Other turns of the program hold the rest of its budget: one may be settling right now.
    if (quiet(r) < us.ms(400)) return no(r, 429, 'turn_open', 'other turns of this program hold its budget', soon(r));
    if (r.say.gone()) return gone(r);
    await untilRoom(x, turn.program, turn.budget, { left: quiet(r) - us.ms(400), gone: () => r.say.gone() });
  }
};

/** The scheduler's word: now, later at this boundary, or not at all (§4). */
const admit = async (r: Run): Promise<Next> => {
  const { x, p } = r;
  const { turn } = p;
  if (turn === null) {
    r.st.go('admit');
    return 'again';
  }
  const t = x.adm.turn(
    {
      kind: 'arrive',
      turn: r.id,
      program: lineOf(turn),
      tokens: r.prompt,
      timeLeft: left(r),
      expected: x.adm.expected(p.cls),
      silence: quiet(r) - x.adm.ahead(p.cls, true),
      ...(r.hint === null ? {} : { known: { tokens: r.prompt, worker: r.hint } }),
      ...(turn.remaining === null ? {} : { remaining: turn.remaining }),
    },
    () => r.st.go('hold'),
  );
  r.say.onGone(t.gone);
  const rel = await t.released;
  if (!rel.ok) {
    if (rel.why === 'gone') return gone(r);
    if (rel.why === 'busy') return no(r, 429, 'turn_open', 'another turn of this session is open', soon(r));
    return no(r, 503, 'full', `the table of ${rel.why} is full`, soon(r));
  }
  r.inTable = true;
  r.st.go('admit');
  r.warm = r.hint !== null && rel.why === 'ordinary';
  r.hint = rel.worker;
  r.forced = rel.why === 'forced';
  return 'again';
};

/** The service that this request goes to: by weight, where a route is split. */
const serviceOf = (p: Forward, rand: number): string => {
  const { targets } = p.route;
  const sum = targets.reduce((a, t) => a + t.weight, 0);
  let at = rand * sum;
  for (const t of targets) {
    if (t.weight <= 0) continue;
    at -= t.weight;
    if (at < 0) return t.service;
  }
  return targets.find((t) => t.weight > 0)!.service;
};
const slot = async (r: Run): Promise<WorkerEntry | 'done'> => {
  const { x, p } = r;
  const limit = Math.min(quiet(r), left(r)) - x.adm.expected(p.cls);
  const want = x.adm.slot(p.cls, {
    hint: r.hint,
    warm: r.warm,
    not: r.not,
    force: r.forced,
    limit,
    service: r.service,
  });
  r.say.onGone(want.gone);
  const s = await want.got;
  if (s.ok) return s.worker;
  if (s.why === 'gone') return gone(r);
  if (s.why === 'none') return no(r, 503, 'no_worker', 'no worker of this service is there', soon(r));
  return no(r, 429, 'busy', 'all workers of this class are taken', soon(r));
};

/** The last look before sending: news as fresh as it must be, a worker that stays, a client that still waits. */
const clear = async (r: Run, to: WorkerEntry): Promise<WorkerEntry | Next> => {
  const { x } = r;
  if (!(await x.freshen()))
    return no(r, 503, 'stale', 'this node has just woken and could not refresh its news', soon(r));
  const now = x.adm.worker(to.id);
  if (!now || now.leaving) return 'again';
  if (r.say.gone()) return gone(r);
  if (left(r) <= us.ms(1)) return no(r, 503, 'late', 'the time left ran out before anything was sent', null);
  return now;
};

/** Events go to the caller as they come; what was said of the first worker stays the answer's head. */
const sinkOf = (r: Run): StreamSink => ({
  head: (status, headers) => {
    if (r.st.now() === 'sent') r.st.go('relay');
    if (r.headSaid || r.say.gone()) return;
    r.headSaid = true;
    r.say.head(status, headers);
  },
  event: (e) => {
    if (e.hasData) {
      r.events += 1;
      r.last = e.bytes;
      if (r.p.route.keepSeconds > 0) r.output += `${events.fields(e.bytes).data}\n`;
    }
    return r.say.gone() || r.say.write(e.bytes);
  },
  drained: async () => {
    const { clock } = r.x.lens;
    const stuck = await Promise.race([
      r.say.drained().then(() => false),
      time.sleep(clock, slowReader).then(() => true),
    ]);
    if (stuck && !r.say.gone()) {
      r.x.bump('slow_cut');
      r.say.cut();
    }
  },
});
const tokensPerEvent = (r: Run): number => r.x.config().services.find((s) => s.name === r.service)?.tokensPerEvent ?? 1;
const actual = (r: Run): number => Math.min(Math.max(1, r.p.usage.most), r.events * tokensPerEvent(r));

/** Settles what was used, behind the caller's back or before the stream's end. */
const settle = (r: Run, used: number, worker: string | null): Promise<void> => {
  if (!r.charged) return Promise.resolve();
  const e = { actual: used, tokens: r.prompt + used, worker };
  return r.x.books
    .settle(r.charged, r.id, e, closeWithin)
    .catch((err) => log(r, `a turn was not settled and stays charged: ${fault.text(err)}.`));
};
/** The end of a stream: kept and settled first, beside one another; a turn that cannot be kept is cut (§5.9). */
const endStream = async (r: Run, to: WorkerEntry, rest: Uint8Array): Promise<'done'> => {
  const { p, f, x } = r;
  const used = actual(r);
  const settled = settle(r, used, to.id);
  try {
    if (p.route.keepSeconds > 0) {
      const turn = { chain: r.chain, input: Buffer.from(p.body).toString('latin1'), output: r.output };
      await f.kept.keep(p.attempt, turn, p.route.keepSeconds, closeWithin);
    }
    await settled;
  } catch (e) {
    log(r, `a turn was not kept, so its stream is cut: ${fault.text(e)}.`);
    leaveTable(r, r.prompt + used, to.id);
    r.st.go('lose');
    x.bump('cut');
    r.say.cut();
    return 'done';
  }
  leaveTable(r, r.prompt + used, to.id);
  r.st.go('end');
  x.bump('results');
  if (!r.say.gone()) {
    if (rest.length) r.say.write(rest);
    r.say.end();
  }
  return 'done';
};
const endAnswer = async (r: Run, to: WorkerEntry, a: Outcome & { how: 'answer' }): Promise<'done'> => {
  const { x } = r;
  r.st.go('relay');
  void settle(r, 0, to.id);
  leaveTable(r, null, to.id);
  if (r.claimed)
    await x.books.record(r.claimed, r.id, {
      status: a.status,
      headers: a.headers,
      body: a.body.toString('latin1'),
    });
  r.st.go('end');
  x.bump('results');
  if (r.say.gone()) return 'done';
  r.say.head(a.status, [...a.headers, 'content-length', String(a.body.length)]);
  r.say.end(a.body);
  return 'done';
};

/** What may be sent again is, to another worker; else its outcome is told as far as it is known (§5.4). */
const lost = async (r: Run, to: WorkerEntry, o: Outcome & { why: string }): Promise<Next> => {
  const { x, p } = r;
  log(r, `${p.attempt} was lost at ${to.id}: ${o.why}.`);
  r.not.add(to.id);
  r.hint = null;
  const whole = o.how === 'lost' ? p.route.semantics === 'idempotent' : false;
  const resumes = p.route.semantics === 'stream' && p.route.resumable;
  if (r.last) r.lastEvent = events.fields(r.last).id ?? r.lastEvent;
  const again = (whole || resumes) && r.sends < p.route.maxAttempts && left(r) > 0 && !r.say.gone();
  r.st.go('lose');
  if (again) {
    x.bump('retried');
    r.st.go('again');
    return 'again';
  }
  x.bump('lost');
  // What reached the caller is known; what a worker went on to make is not his.
  void settle(r, actual(r), null);
  leaveTable(r, null, null);
  if (r.headSaid) r.say.cut();
  else say(r, 502, 'outcome_unknown', 'the worker was lost', null);
  return 'done';
};

const after = async (r: Run, to: WorkerEntry, o: Outcome): Promise<Next> => {
  const { x, p } = r;
  switch (o.how) {
    case 'streamed':
      return endStream(r, to, o.rest);
    case 'answer':
      return endAnswer(r, to, o);
    case 'gone':
      x.bump('orphaned');
      r.st.go('lose');
      void settle(r, actual(r), to.id);
      leaveTable(r, r.prompt, to.id);
      return 'done';
    case 'unsent': {
      r.st.go('unsent');
      r.not.add(to.id);
      r.hint = null;
      if (o.worker) x.adm.bad(to.id);
      // A stream that was already begun and cannot go on anywhere is cut.
      if (r.sends < p.route.maxAttempts + (o.worker ? 3 : 0) && left(r) > us.ms(20)) return 'again';
      if (r.headSaid) {
        void settle(r, actual(r), null);
        leaveTable(r, null, null);
        r.say.cut();
        return 'done';
      }
      return no(r, 503, 'no_worker', `no worker took it: ${o.why}`, soon(r));
    }
    case 'lost':
    case 'cut':
      if (o.how === 'lost') x.adm.bad(to.id);
      return lost(r, to, o);
  }
};

/** One worker: looked at again, sent to. 'again' if another one is to be chosen. */
const tryAt = async (r: Run, to: WorkerEntry): Promise<Next> => {
  const { x, p, f } = r;
  let took: Us | null = null;
  try {
    if (r.st.now() === 'admitted') r.st.go('charge');
    const now = await clear(r, to);
    if (now === 'done') return 'done';
    if (now === 'again') {
      r.not.add(to.id);
      return 'again';
    }
    const most = x.config().services.find((s) => s.name === r.service)?.connections ?? 64;
    const lease = f.connections.take(now, Math.max(2, Math.floor((most * 0.9) / f.edges())));
    if (!lease) {
      r.not.add(to.id);
      return 'again';
    }
    r.st.go('send');
    r.sends += 1;
    const sentAt = x.lens.clock.now();
    const sink = sinkOf(r);
    const o = await exchange.run({
      lens: x.lens,
      lease,
      worker: now,
      dialect: f.dialect,
      plan: p,
      body: r.body,
      left: left(r),
      lastEvent: r.lastEvent,
      say: r.say,
      sink: {
        ...sink,
        head: (status, headers) => {
          x.adm.sawFirst(p.cls, x.lens.clock.now() - sentAt, r.forced);
          sink.head(status, headers);
        },
      },
      most: largestAnswer,
    });
    if (o.how === 'unsent' && o.worker) r.sends -= 1;
    if (o.how === 'streamed' || o.how === 'answer') took = x.lens.clock.now() - sentAt;
    return await after(r, to, o);
  } finally {
    x.adm.leave(to.id, p.cls, took);
  }
};

const carryOut = async (r: Run): Promise<void> => {
  if ((await claim(r)) === 'done') return;
  if ((await chain(r)) === 'done') return;
  if ((await charge(r)) === 'done') return;
  if ((await admit(r)) === 'done') return;
  for (let i = 0; ; i++) {
    invariant.hold(i < 100, 'a request was tried a hundred times');
    const to = await slot(r);
    if (to === 'done' || (await tryAt(r, to)) === 'done') return;
  }
};

/** `arrived` is when the request came: what it waited before this counts. */
export const forward = async (f: Forwarding, p: Forward, out: HttpSay, arrived: Us): Promise<void> => {
  const x = f.edge;
  x.bump(p.turn ? 'turns' : 'jobs');
  const id = `${x.me}.${x.lens.rand.id()}`;
  const r: Run = {
    f,
    x,
    p,
    say: out,
    st: stages.open(),
    begun: arrived,
    id,
    claimed: null,
    charged: null,
    inTable: false,
    closing: false,
    hint: null,
    warm: false,
    forced: false,
    not: new Set(),
    sends: 0,
    chain: [],
    elsewhere: false,
    body: p.body,
    prompt: p.usage.prompt,
    events: 0,
    lastEvent: p.lastEvent,
    last: null,
    output: '',
    headSaid: false,
    service: serviceOf(p, x.lens.rand.next()),
  };
  x.inFlight.add(id);
  try {
    await carryOut(r);
  } finally {
    if (!r.closing) x.inFlight.delete(id);
    leaveTable(r, null, null);
  }
};
