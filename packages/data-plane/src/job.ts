// Carrying out a job (§5.1), a function for each stage: claim, slot, send, result.
import { formats, type WorkerEntry } from '@thornsail/load-balancer';
import {
  fault,
  duration,
  type HttpClientResponse,
  type HttpResponseWriter,
  type Microseconds,
} from '@thornsail/runtime';
import { keyOf, type Job } from './turn-records.js';
import type { ErrorCode } from './errors.js';
import { claimKey, silenceLimit, slotLimit, worker, type Edge } from './edge.js';
import type { Ran } from './say.js';
import { stages, type Stages } from './stage.js';

type Run = {
  x: Edge;
  p: Job;
  say: HttpResponseWriter;
  st: Stages;
  begun: Microseconds;
  turn: string;
  claimed: boolean;
  /** The key is given back behind the answer: a refusal does not wait for the stores. */
  closing: boolean;
  not: Set<string>;
};
type Next = 'done' | 'again';
const largestResult = 4 << 20;

const spent = (r: Run): Microseconds => r.x.runtime.clock.now() - r.begun;
const left = (r: Run): Microseconds => Math.min(silenceLimit, r.p.timeLeft) - spent(r);
const close = (r: Run): void => {
  if (!r.claimed) return;
  r.closing = true;
  void r.x.turnRecords.unclaim(keyOf(r.p), r.turn).finally(() => r.x.inFlight.delete(r.turn));
};
const no = (r: Run, error: ErrorCode, text: string, retryAfter: number | null, ran?: Ran): 'done' => {
  r.st.go('reject');
  close(r);
  r.x.say.reject(r.say, error, text, ran ?? r.st.ran(), retryAfter);
  return 'done';
};

const claim = (r: Run): Promise<Next> =>
  claimKey(r, r.turn, left(r), (text, error) =>
    no(r, error, text, error === 'stale' ? 1 : r.x.say.backoff(), 'unknown'),
  );

const slot = async (r: Run): Promise<WorkerEntry | 'done'> => {
  const { x, p } = r;
  const limit = Math.min(slotLimit - spent(r), left(r) - x.adm.expectedService(p.cls));
  const want = x.adm.acquireSlot(p.cls, { preferred: null, excluded: r.not, force: false, limit });
  r.say.onGone(want.abandon);
  const s = await want.slot;
  if (s.type === 'acquired') return s.worker;
  if (s.type === 'abandoned') {
    r.st.go('reject');
    close(r);
    return 'done';
  }
  const again = x.say.backoff();
  if (s.type === 'no-worker') return no(r, 'no_worker', 'no worker of this kind is there', again);
  return no(r, 'busy', 'all workers of this class are taken', again);
};

/** A byte may have reached the worker: only what is safe to repeat, and only within the retry budget. */
const lost = (r: Run, text: string, mayRepeat: boolean): Next => {
  const { x, p } = r;
  const again = mayRepeat && !p.once && p.key === null && left(r) > 0 && x.mayRetry();
  r.st.go('lose');
  if (again) {
    x.bump('retried');
    r.st.go('again');
    return 'again';
  }
  x.bump('lost');
  x.say.reject(r.say, 'worker_lost', text, 'unknown', p.once ? null : 1);
  return 'done';
};
const wholeResult = async (res: HttpClientResponse): Promise<string> => {
  let body = '';
  for await (const piece of res.body) {
    body += piece;
    if (body.length > largestResult) {
      res.cut();
      throw fault.make({ step: 'job.body' }, 'a result over 4 MiB');
    }
  }
  return body;
};
const tell = async (r: Run, res: HttpClientResponse, body: string): Promise<void> => {
  const type = res.headers['content-type'] ?? 'application/json';
  const done = { status: res.status, type, body, finish: null, prompt: 0, completion: 0 };
  r.st.go('relay');
  if (r.claimed) await r.x.turnRecords.record(keyOf(r.p), r.turn, done);
  r.st.go('end');
  r.x.bump('results');
  if (r.say.gone()) return;
  r.say.head(res.status, { 'content-type': type, 'x-thornsail-ran': 'yes' });
  r.say.end(body);
};

/** One worker: looked at again, sent to. 'again' if another is to be picked. */
const tryAt = async (r: Run, to: WorkerEntry, round: number): Promise<Next> => {
  const { x, p } = r;
  let took: Microseconds | null = null;
  try {
    if (round === 0) r.st.go('admit');
    if (!(await x.freshen())) return no(r, 'stale', 'this node has just woken and could not refresh its news', 1);
    const now = x.adm.worker(to.id);
    if (!now || now.leaving) {
      r.not.add(to.id);
      return 'again';
    }
    if (r.say.gone() || left(r) <= 0) return no(r, 'late', 'the time left ran out before anything was sent', 1);
    if (r.st.now() === 'admitted') r.st.go('charge');
    r.st.go('send');
    const sentAt = x.runtime.clock.now();
    const got = await worker.send(x.runtime, now, {
      path: formats.job.path,
      body: p.body,
      headers: p.key === null ? {} : { 'idempotency-key': p.key },
      left: Math.max(duration.ms(100), p.timeLeft - spent(r)),
    });
    if (!got.ok) {
      x.adm.markUnhealthy(now.id);
      r.not.add(now.id);
      if (!got.unsent) return lost(r, 'the worker was lost before its result', round === 0);
      r.st.go('unsent');
      return round < 3 && left(r) > 0 ? 'again' : no(r, 'no_worker', 'no worker could be reached', 1);
    }
    let body: string;
    try {
      body = await wholeResult(got.res);
    } catch (e) {
      x.runtime.log('data-plane')(`a job's result broke off: ${fault.text(e)}.`);
      return lost(r, 'the result broke off', false);
    }
    took = x.runtime.clock.now() - sentAt;
    await tell(r, got.res, body);
    return 'done';
  } finally {
    x.adm.releaseSlot(to.id, p.cls, took);
  }
};

export const job = async (x: Edge, p: Job, say: HttpResponseWriter): Promise<void> => {
  x.bump('jobs');
  const r: Run = {
    x,
    p,
    say,
    st: stages.open(),
    begun: x.runtime.clock.now(),
    turn: `${x.me}.${x.runtime.rand.id()}`,
    claimed: false,
    closing: false,
    not: new Set(),
  };
  x.inFlight.add(r.turn);
  try {
    if ((await claim(r)) === 'done') return;
    for (let round = 0; ; round++) {
      const to = await slot(r);
      if (to === 'done' || (await tryAt(r, to, round)) === 'done') return;
    }
  } finally {
    if (!r.closing) x.inFlight.delete(r.turn);
  }
};
