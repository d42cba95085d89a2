// Carrying out a turn of a program (§5.1), a function for each stage: claim, context, admission, slot, charge, send.
import { formats, type WorkerEntry } from '@thornsail/load-balancer';
import { fault, invariant, duration, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { Released } from './admission.js';
import { accountOf, keyOf, type Charged, type Chat } from './turn-records.js';
import type { ErrorCode } from './errors.js';
import { claimKey, silenceLimit, slotLimit, untilRoom, worker, type Edge } from './edge.js';
import { relay } from './relay.js';
import type { Ran } from './say.js';
import { stages, type Stages } from './stage.js';

/** What a turn's stages share. `first` names its claim; `turn` its charge, which is another one if it is sent twice. */
type Run = {
  x: Edge;
  p: Chat;
  say: HttpResponseWriter;
  st: Stages;
  begun: Microseconds;
  first: string;
  turn: string;
  claimed: boolean;
  charged: boolean;
  inTable: boolean;
  /** The turn was given up; its records are being closed behind the answer. */
  closing: boolean;
  at: string | null;
  hint: string | null;
  not: Set<string>;
  forced: boolean;
};
/** What the worker is given: the kept messages before the new ones, and what that may cost. */
type Context = {
  messages: unknown[];
  base: number;
  known: { tokens: number; worker: string | null } | undefined;
  reserve: number;
  guess: number;
};
type Next = 'done' | 'again';

const spent = (r: Run): Microseconds => r.x.runtime.clock.now() - r.begun;
const left = (r: Run): Microseconds => Math.min(silenceLimit, r.p.timeLeft) - spent(r);
/** What may be waited: the client's patience less what charging and a first token are likely to take (§4.3). */
const quiet = (r: Run, forced = false): Microseconds => silenceLimit - spent(r) - r.x.adm.likelyDelay(r.p.cls, forced);

/** Gives the turn up before anything was sent: the answer goes out first, the records follow. */
const no = (r: Run, error: ErrorCode, text: string, retryAfter: number | null, ran?: Ran): 'done' => {
  const { x, p } = r;
  r.st.go('reject');
  if (r.inTable) x.adm.endTurn(r.turn, { tokens: null, final: false, worker: null });
  r.inTable = false;
  r.closing = true;
  const close = async (): Promise<void> => {
    if (r.charged) await x.turnRecords.giveBack(accountOf(p), r.turn);
    if (r.claimed) await x.turnRecords.unclaim(keyOf(p), r.first);
  };
  void close().finally(() => x.inFlight.delete(r.first));
  x.say.reject(r.say, error, text, ran ?? r.st.ran(), retryAfter);
  return 'done';
};
const gone = (r: Run): 'done' => {
  r.x.bump('orphaned');
  return no(r, 'gone', 'the client went away', null);
};
const overBudget = (r: Run): 'done' => {
  r.x.bump('budget_rejected');
  return no(r, 'budget_spent', 'the budget of this program is spent', null);
};
const noStores = (r: Run, text: string, ran?: Ran): 'done' => no(r, 'no_keepers', text, r.x.say.backoff(), ran);

const claim = (r: Run): Promise<Next> =>
  claimKey(r, r.first, left(r), (text, error) =>
    error === 'stale' ? no(r, 'stale', text, 1, 'unknown') : noStores(r, text, 'unknown'),
  );

/** Reads what is kept: the conversation, and of a program that is new to this edge its budget record (§4.4). */
const context = async (r: Run): Promise<Context | 'done'> => {
  const { x, p } = r;
  try {
    const [kept, budgetRecord] = await Promise.all([
      p.conversation === null ? undefined : x.turnRecords.kept(p.conversation, left(r)),
      x.adm.knowsProgram(p.program) ? undefined : x.turnRecords.budgetRecord(p.program, left(r)),
    ]);
    if (budgetRecord && budgetRecord.turns > 0) x.tookOver(p.program);
    const messages = [...(kept?.messages ?? []), ...p.messages];
    const bytes = Buffer.byteLength(JSON.stringify(messages), 'utf8');
    const limits = x.config().limits;
    if (kept && bytes > limits.maxKeptBytes)
      return no(r, 'conversation_full', `a kept conversation has at most ${limits.maxKeptBytes} bytes`, null);
    const bound = Math.ceil(bytes / limits.promptBytesPerToken) + 16;
    return {
      messages,
      base: kept?.messages.length ?? 0,
      known: budgetRecord && { tokens: budgetRecord.tokens, worker: budgetRecord.worker },
      reserve: bound + p.maxTokens,
      guess: Math.ceil(bound / 4),
    };
  } catch (e) {
    x.runtime.log('data-plane')(`a program's register could not be read: ${fault.text(e)}.`);
    return noStores(r, 'no majority of stores was reached');
  }
};

/** The scheduler's word: now, later at this boundary, or not at all (§4). */
const admit = (r: Run, c: Context, onHold: () => void): Promise<Released> => {
  const { x, p } = r;
  const t = x.adm.admitTurn(
    {
      turn: r.turn,
      program: p.program,
      tokens: c.guess,
      timeLeft: p.timeLeft - spent(r),
      expectedService: x.adm.expectedService(p.cls),
      // A hold that runs out ends forced.
      patience: quiet(r, true),
      known: c.known,
    },
    onHold,
  );
  r.say.onGone(t.abandon);
  if (r.say.gone()) t.abandon();
  return t.released;
};
const notAdmitted = (r: Run, answer: Exclude<Released, { type: 'released' }>): 'done' => {
  if (answer.type === 'abandoned') return gone(r);
  const again = r.x.say.backoff();
  if (answer.reason === 'program-busy') return no(r, 'turn_open', 'another turn of this program is open', again);
  return no(r, 'full', `the table of ${answer.reason === 'turn-limit' ? 'turns' : 'programs'} is full`, again);
};

const slot = async (r: Run): Promise<WorkerEntry | 'done'> => {
  const { x, p } = r;
  const limit = Math.min(slotLimit - spent(r), p.timeLeft - spent(r) - x.adm.expectedService(p.cls), quiet(r));
  const want = x.adm.acquireSlot(p.cls, { preferred: r.hint, excluded: r.not, force: r.forced, limit });
  r.say.onGone(want.abandon);
  const s = await want.slot;
  if (s.type === 'acquired') return s.worker;
  const again = x.say.backoff();
  if (s.type === 'no-worker') return no(r, 'no_worker', 'no model worker is there', again);
  return no(r, 'busy', 'all workers of this class are taken', again);
};

/** Reserves the turn's most in the program's budget, before it is sent (§5.3). */
const charge = async (r: Run, c: Context): Promise<Next> => {
  const { x, p } = r;
  const begun = x.runtime.clock.now();
  while (!r.charged) {
    let got: Charged;
    try {
      got = await x.turnRecords.charge(accountOf(p), r.turn, c.reserve, Math.max(duration.ms(50), left(r)));
    } catch (e) {
      x.runtime.log('data-plane')(`a charge failed: ${fault.text(e)}.`);
      r.charged = true; // It may have been written: the records give it back if so.
      return noStores(r, 'the charge could not be kept by a majority');
    }
    if (!got.ok && got.why === 'spent') return overBudget(r);
    r.charged = got.ok;
    if (r.charged) break;
    // Other turns of the program hold the rest of its budget: one may be settling right now.
    if (left(r) < duration.ms(400)) return no(r, 'turn_open', 'other turns of this program hold its budget', 1);
    await untilRoom(x, p.program, p.of.budgetTokens, { left: left(r) - duration.ms(400), gone: () => r.say.gone() });
  }
  x.adm.observeCharge(x.runtime.clock.now() - begun);
  if (r.st.now() === 'admitted') r.st.go('charge');
  return 'again';
};

/** The last look before sending: news as fresh as it must be, a worker that stays, a client that still waits. */
const clear = async (r: Run, to: WorkerEntry): Promise<WorkerEntry | Next> => {
  const { x } = r;
  if (!(await x.freshen())) return no(r, 'stale', 'this node has just woken and could not refresh its news', 1);
  const now = x.adm.worker(to.id);
  if (!now || now.leaving) return 'again';
  if (r.say.gone()) return gone(r);
  if (left(r) <= 0) return no(r, 'late', 'the time left ran out before anything was sent', 1);
  return now;
};

type Sent = 'done' | 'unsent' | 'empty' | 'cut';
const send = async (r: Run, c: Context, to: WorkerEntry): Promise<{ how: Sent; took: Microseconds | null }> => {
  const { x, p } = r;
  invariant.hold(r.charged && r.inTable, 'a turn is charged and admitted before it is sent');
  r.st.go('send');
  r.at = to.id;
  const sentAt = x.runtime.clock.now();
  const got = await worker.send(x.runtime, to, {
    path: formats.chat.path,
    body: formats.chat.body({ messages: c.messages, maxTokens: p.maxTokens, rest: p.rest }),
    left: duration.s(30),
    headers: {
      accept: 'text/event-stream',
      'x-program-id': p.program,
      ...(p.key === null ? {} : { 'idempotency-key': p.key }),
    },
  });
  if (!got.ok) return { how: got.unsent ? 'unsent' : 'empty', took: null };
  if (got.res.status !== 200) {
    got.res.cut();
    return { how: 'empty', took: null };
  }
  const how = await relay(x, p, r.say, r.st, got.res, r.turn, {
    sentAt,
    base: c.base,
    guess: c.guess,
    reserve: c.reserve,
    worker: to.id,
    claimed: r.claimed,
    first: r.first,
    forced: r.forced,
  });
  return { how, took: how === 'done' ? x.runtime.clock.now() - sentAt : null };
};

/** What was reserved for a lost turn stays charged; a second one gets a charge of its own. */
const secondTurn = async (r: Run, c: Context): Promise<boolean> => {
  const { x, p } = r;
  x.bump('retried');
  const lost = { actual: c.reserve, tokens: c.guess, worker: null };
  await x.turnRecords.settle(accountOf(p), r.turn, lost, Math.max(duration.ms(50), left(r))).catch(() => undefined);
  r.charged = false;
  x.adm.endTurn(r.turn, { tokens: null, final: false, worker: null });
  r.inTable = false;
  const was = r.turn;
  r.turn = `${x.me}.${x.runtime.rand.id()}`;
  x.inFlight.add(r.turn);
  x.inFlight.delete(was);
  const rel = await admit(r, c, () => undefined);
  if (rel.type !== 'released') return false;
  r.inTable = true;
  r.hint = rel.worker;
  r.st.go('again');
  return true;
};
/** The worker was lost. Repeated only if nothing was relayed, it is safe to, and the retry budget has one left. */
const lost = async (r: Run, c: Context, how: 'empty' | 'cut', round: number): Promise<Next> => {
  const { x, p } = r;
  const safe = how === 'empty' && !p.once && p.key === null && round === 0;
  const again = safe && left(r) > 0 && !r.say.gone() && x.mayRetry();
  r.st.go('lose');
  x.bump('lost');
  if (again && (await secondTurn(r, c))) return 'again';
  if (r.inTable) x.adm.endTurn(r.turn, { tokens: null, final: false, worker: null });
  r.inTable = false;
  if (how === 'empty') {
    const text = 'the worker was lost before its first token';
    x.say.reject(r.say, 'worker_lost', text, 'unknown', p.once ? null : 1);
    return 'done';
  }
  x.bump('cut');
  r.say.cut();
  return 'done';
};

/** One worker: charged, looked at again, sent to. 'again' if another worker is to be picked. */
const tryAt = async (r: Run, c: Context, to: WorkerEntry, round: number): Promise<Next> => {
  const { x } = r;
  let took: Microseconds | null = null;
  const elsewhere = (): void => {
    r.not.add(to.id);
    r.hint = null;
  };
  try {
    if ((await charge(r, c)) === 'done') return 'done';
    const now = await clear(r, to);
    if (now === 'done') return 'done';
    if (now === 'again') {
      elsewhere();
      return 'again';
    }
    const s = await send(r, c, now);
    took = s.took;
    if (s.how === 'done') {
      r.inTable = false;
      return 'done';
    }
    x.adm.markUnhealthy(to.id);
    if (s.how === 'unsent') {
      r.st.go('unsent');
      elsewhere();
      return round < 3 && left(r) > 0 ? 'again' : no(r, 'no_worker', 'no worker could be reached', 1);
    }
    const next = await lost(r, c, s.how, round);
    if (next === 'again') r.not.add(to.id);
    return next;
  } finally {
    x.adm.releaseSlot(to.id, r.p.cls, took);
  }
};

const carryOut = async (r: Run): Promise<void> => {
  if ((await claim(r)) === 'done') return;
  const c = await context(r);
  if (c === 'done') return;
  const rel = await admit(r, c, () => r.st.go('hold'));
  if (rel.type !== 'released') return void notAdmitted(r, rel);
  r.inTable = true;
  r.st.go('admit');
  r.hint = rel.worker;
  r.forced = rel.reason === 'forced';
  for (let round = 0; ; round++) {
    const to = await slot(r);
    if (to === 'done' || (await tryAt(r, c, to, round)) === 'done') return;
  }
};

export const chat = async (x: Edge, p: Chat, say: HttpResponseWriter): Promise<void> => {
  x.bump('turns');
  const turn = `${x.me}.${x.runtime.rand.id()}`;
  const r: Run = {
    x,
    p,
    say,
    st: stages.open(),
    begun: x.runtime.clock.now(),
    first: turn,
    turn,
    claimed: false,
    charged: false,
    inTable: false,
    closing: false,
    at: null,
    hint: null,
    not: new Set(),
    forced: false,
  };
  x.inFlight.add(turn);
  try {
    await carryOut(r);
  } finally {
    if (!r.closing) x.inFlight.delete(r.first);
    if (r.turn !== r.first) x.inFlight.delete(r.turn);
    if (r.inTable) x.adm.endTurn(r.turn, { tokens: null, final: false, worker: r.at });
  }
};
