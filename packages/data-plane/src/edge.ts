// What the parts that carry plans out share at one edge.
import type { WorkerEntry } from '@thornsail/load-balancer';
import type { Config } from '@thornsail/config-schema';
import { tokenBudget } from '@thornsail/token-budget';
import {
  fault,
  time,
  duration,
  type HttpClientResponse,
  type HttpResponseWriter,
  type Runtime,
  type Address,
  type Microseconds,
} from '@thornsail/runtime';
import type { Membership } from '@thornsail/membership';
import type { Admission } from './admission.js';
import { keyOf, type TurnRecords, type Chat, type Claimed, type Done, type Job, type Once } from './turn-records.js';
import { errors } from './errors.js';
import { completion, type Say } from './say.js';
import type { Stages } from './stage.js';

export type Edge = {
  runtime: Runtime;
  me: string;
  membership: Membership;
  adm: Admission;
  turnRecords: TurnRecords;
  say: Say;
  config: () => Config;
  bump: (k: string) => void;
  /** Turns of this edge whose records are not closed. */
  inFlight: Set<string>;
  /** Takes one from the retry budget, if there is one left (§5.4). */
  mayRetry: () => boolean;
  /** After a freeze nothing is dispatched on old news (§3.7). */
  freshen: () => Promise<boolean>;
  /** A program has come over from another edge (§4.4). */
  tookOver: (program: string) => void;
  /** Asks another edge whether it still has a turn at hand. */
  askOpen: (at: Address, turn: string) => Promise<boolean>;
};
/** A client gives up after about two seconds of silence: all that comes before the first byte fits in this (§4.3). */
export const silenceLimit = duration.ms(1850);
/** How long a turn may wait for a slot, from its arrival. */
export const slotLimit = duration.ms(1500);

export type Sent = { ok: true; res: HttpClientResponse } | { ok: false; unsent: boolean };
export const worker = {
  send: async (
    runtime: Runtime,
    w: WorkerEntry,
    o: { path: string; body: string; headers: Record<string, string>; left: Microseconds },
  ): Promise<Sent> => {
    try {
      return {
        ok: true,
        res: await runtime.net.call({
          at: w.at,
          method: 'POST',
          path: o.path,
          headers: { 'content-type': 'application/json', ...o.headers },
          body: o.body,
          // These workers name no request in their answers: none may come in another's place (§5.8).
          fresh: true,
          timeLeft: o.left,
          silence: duration.s(20),
        }),
      };
    } catch (e) {
      return { ok: false, unsent: fault.notSent(e) };
    }
  },
};

/** A waiting turn charges now and then though nothing seems to have changed: only that finds a turn that was lost. */
const chargeEvery = duration.ms(600);
/**
 * Other turns of the program hold the rest of its budget: waits until that has changed (§5.3). It looks at the register
 * without a ballot, for ballots would stand in the way of the turn that is to settle.
 */
export const untilRoom = async (
  x: Edge,
  program: string,
  budget: number,
  o: { left: Microseconds; gone: () => boolean },
): Promise<void> => {
  const { clock, rand } = x.runtime;
  const end = clock.now() + Math.min(o.left, chargeEvery);
  for (;;) {
    await time.sleep(clock, duration.ms(40 + rand.int(40)));
    if (clock.now() >= end || o.gone()) return;
    const p = await x.turnRecords
      .budgetRecord(program, Math.max(duration.ms(50), end - clock.now()))
      .catch(() => undefined);
    if (!p || !tokenBudget.isReserved(p, budget)) return;
  }
};

/** Whether the edge that claimed a key still has the turn at hand; its own word, not a clock, decides. */
export const stillOpen = async (x: Edge, once: Once): Promise<boolean> => {
  if (once.by === x.me) return x.inFlight.has(once.turn);
  const n = x.membership.state()?.nodes[once.by];
  if (!n || n.status === 'dead') return false;
  return x.askOpen(n.place, once.turn).catch(() => true);
};
const keptResult = (kept: { content?: unknown } | undefined): Done | undefined =>
  typeof kept?.content === 'string'
    ? { status: 200, type: 'chat', body: kept.content, finish: null, prompt: 0, completion: 0 }
    : undefined;
/** A result that was recorded, or that the turn left in its conversation. */
const recorded = async (x: Edge, p: Chat | Job, once: Once): Promise<Done | undefined> => {
  const done = once.done as Done | null;
  if (done && done.type !== 'too-large') return done;
  return keptResult(await x.turnRecords.keptReply(p, duration.ms(600)).catch(() => undefined));
};
const replay = (x: Edge, p: Chat | Job, say: HttpResponseWriter, d: Done): void => {
  x.bump('replayed');
  const head = { 'x-thornsail-replayed': 'true' };
  if (p.kind === 'chat' && p.stream) {
    say.head(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...head });
    say.write(`id: 1\ndata: ${JSON.stringify(completion.chunk(d.body, d.finish, d.prompt, d.completion))}\n\n`);
    say.end('id: 2\ndata: [DONE]\n\n');
  } else if (p.kind === 'chat')
    x.say.json(say, 200, completion.whole(d.body, d.finish, [], d.prompt, d.completion), head);
  else {
    say.head(d.status, { 'content-type': d.type, ...head });
    say.end(d.body);
  }
};
/** The result for a copy of a request whose key is taken (§5.4). */
const repeated = async (
  x: Edge,
  p: Chat | Job,
  say: HttpResponseWriter,
  once: Once,
  end: Microseconds,
): Promise<void> => {
  if (once.sum !== undefined && once.sum !== p.sum) {
    const message = 'this key came with another request before';
    const body = { error: 'key_reused', field: 'idempotency-key', message, ran: 'unknown' };
    return x.say.json(say, errors.status('chat', 'key_reused'), body, { 'x-thornsail-ran': 'unknown' });
  }
  const d = await recorded(x, p, once);
  if (d) return replay(x, p, say, d);
  if (!once.done && (await stillOpen(x, once)))
    return x.say.reject(say, 'in_progress', 'a request with this key is being served', 'unknown', 1);
  // Its edge may only seem dead, and what it wrote may be on its way. The caller is going to look at what is kept, and
  // to send the message under another key if it is not there: from here on it does not come any more (§5.5).
  let late: Done | undefined;
  try {
    late = keptResult(
      await x.turnRecords.fence(p, Math.min(duration.ms(600), Math.max(duration.ms(50), end - x.runtime.clock.now()))),
    );
  } catch (e) {
    x.runtime.log('data-plane')(`a turn could not be fenced: ${fault.text(e)}.`);
    const why = 'whether the turn with this key is kept could not be settled by a majority';
    return x.say.reject(say, 'no_keepers', why, 'unknown', x.say.backoff());
  }
  if (late) return replay(x, p, say, late);
  const text = 'a request with this key was sent and its outcome is not known';
  return x.say.reject(say, 'outcome_unknown', text, 'unknown', null);
};

type Claiming = { x: Edge; p: Chat | Job; say: HttpResponseWriter; st: Stages; claimed: boolean };
/** A key is claimed before any wait: a copy at another edge must find it (§5.4). */
export const claimKey = async (
  r: Claiming,
  turn: string,
  left: Microseconds,
  no: (text: string, error: 'stale' | 'no_keepers') => 'done',
): Promise<'done' | 'again'> => {
  const { x, p } = r;
  if (p.key === null) return 'again';
  if (x.membership.stale()) return no('this node has just woken: the request may be an old copy', 'stale');
  const end = x.runtime.clock.now() + left;
  let c: Claimed;
  try {
    c = await x.turnRecords.claim(keyOf(p), turn, Math.max(duration.ms(50), left));
  } catch (e) {
    x.runtime.log('data-plane')(`a claim failed: ${fault.text(e)}.`);
    return no('the claim could not be kept by a majority', 'no_keepers');
  }
  r.claimed = c.ok;
  if (c.ok) return 'again';
  r.st.go('reject');
  await repeated(x, p, r.say, c.once, end);
  return 'done';
};
