/** Serves a job (§5.1), a function for each step: claim, slot, send, result. */
import { workerProtocol, type WorkerEntry } from '@thornsail/load-balancer';
import {
  duration,
  fault,
  type HttpClientResponse,
  type HttpResponseWriter,
  type Microseconds,
} from '@thornsail/runtime';
import { internalErrors, type ErrorCode } from './errors.js';
import type { Gateway } from './gateway.js';
import { phases, type Execution } from './phases.js';
import type { JobPlan } from './plan.js';
import { claimKey, lastUnsentRound, remaining, slotTimeout, type ProductRequest } from './product-request.js';
import { idempotencyKeyOf } from './records/idempotency-keys.js';
import { lastCheck, lateText } from './requests/attempt.js';
import { elapsed } from './requests/deadline.js';
import { openTimeline } from './requests/timeline.js';
import type { StepResult } from './requests/steps.js';
import { worker } from './worker-request.js';

type JobRequest = ProductRequest<JobPlan>;
/** Characters of a result at most. */
const maxResultLength = 4 << 20;
/** A worker gets at least so long for its result. */
const minimumJobTime = duration.ms(100);

const releaseKey = (job: JobRequest): void => {
  if (!job.claimed) return;
  job.closing = true;
  const { gateway, plan, id } = job;
  void gateway.keys.release(idempotencyKeyOf(plan), id).finally(() => gateway.inFlight.delete(id));
};
/** Gives a job up before anything was sent: the answer does not wait for the stores. */
const reject = (
  job: JobRequest,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
): 'answered' => {
  job.phases.transition('reject');
  job.timeline.ended(code);
  releaseKey(job);
  job.gateway.responses.reject(job.response, code, text, ran ?? job.phases.execution(), retryAfter);
  return 'answered';
};

const claim = claimKey(reject);

/** A worker with a free slot, waited for if need be. */
const takeSlot = async (job: JobRequest): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, response } = job;
  job.timeline.enter('slot');
  const limit = Math.min(slotTimeout - elapsed(job), remaining(job) - gateway.admission.expectedService(plan.cls));
  const asked = gateway.admission.acquireSlot(plan.cls, {
    preferred: null,
    excluded: job.excluded,
    force: false,
    limit,
  });
  response.onClose(asked.abandon);
  const slot = await asked.slot;
  if (slot.type === 'acquired') return slot.worker;
  if (slot.type === 'abandoned') {
    job.phases.transition('reject');
    releaseKey(job);
    return 'answered';
  }
  const retryAfter = gateway.responses.backoff();
  if (slot.type === 'no-worker') return reject(job, 'no_worker', 'no worker of this kind is there', retryAfter);
  return reject(job, 'busy', 'all workers of this class are taken', retryAfter);
};

const checkBeforeSend = lastCheck<JobRequest>({
  remaining,
  minimumTime: 0,
  reject,
  retryAfter: () => 1,
  clientDisconnected: (job) => reject(job, 'late', lateText, 1),
});

/** A byte may have reached the worker: only what is safe to repeat, and only within the retry budget (§5.4). */
const lost = (job: JobRequest, text: string, mayRepeat: boolean): StepResult => {
  const { gateway, plan } = job;
  const repeats = mayRepeat && !plan.once && plan.key === null && remaining(job) > 0 && gateway.takeRetry();
  job.phases.transition('lose');
  if (repeats) {
    gateway.count('retried');
    job.phases.transition('again');
    return 'continue';
  }
  gateway.count('lost');
  job.timeline.ended('worker_lost');
  gateway.responses.reject(job.response, 'worker_lost', text, 'unknown', plan.once ? null : 1);
  return 'answered';
};
const readResult = async (response: HttpClientResponse): Promise<string> => {
  let body = '';
  for await (const piece of response.body) {
    body += piece;
    if (body.length > maxResultLength) {
      response.abort();
      throw internalErrors.create('result-too-large', { step: 'job.body' });
    }
  }
  return body;
};
/** Answers with a result; that of a key is recorded first. */
const answer = async (job: JobRequest, result: HttpClientResponse, body: string): Promise<void> => {
  const { gateway, plan, response } = job;
  const type = result.headers['content-type'] ?? 'application/json';
  const recorded = { status: result.status, type, body, finish: null, prompt: 0, completion: 0 };
  job.phases.transition('relay');
  job.timeline.enter('record');
  job.timeline.ended('served');
  if (job.claimed) await gateway.keys.recordResult(idempotencyKeyOf(plan), job.id, recorded);
  job.phases.transition('end');
  gateway.count('results');
  if (response.isClosed()) return;
  response.writeHead(result.status, { 'content-type': type, 'x-thornsail-ran': 'yes' });
  response.end(body);
};

/** The worker sent no response. */
const failed = (job: JobRequest, workerId: string, unsent: boolean, round: number): StepResult => {
  job.gateway.admission.markUnhealthy(workerId);
  job.excluded.add(workerId);
  if (!unsent) {
    job.gateway.exchangeEnded(workerId, 'lost');
    return lost(job, 'the worker was lost before its result', round === 0);
  }
  job.phases.transition('unsent');
  const mayGoOn = round < lastUnsentRound && remaining(job) > 0;
  return mayGoOn ? 'continue' : reject(job, 'no_worker', 'no worker could be reached', 1);
};
/** One worker: checked again, sent to. `continue` if another one is to be chosen. */
const tryWorker = async (job: JobRequest, to: WorkerEntry, round: number): Promise<StepResult> => {
  const { gateway, plan } = job;
  let took: Microseconds | null = null;
  try {
    if (round === 0) job.phases.transition('admit');
    const checked = checkBeforeSend(job, to, await gateway.refreshIfStale());
    if (checked === 'answered') return 'answered';
    if (checked === 'continue') {
      job.excluded.add(to.id);
      return 'continue';
    }
    if (job.phases.current() === 'admitted') job.phases.transition('charge');
    job.phases.transition('send');
    job.timeline.enter('first_event');
    job.timeline.sentTo(checked.id, null);
    const sentAt = gateway.runtime.clock.now();
    const reply = await worker.send(gateway.runtime, checked, {
      path: workerProtocol.job.path,
      body: plan.body,
      headers: plan.key === null ? {} : { 'idempotency-key': plan.key },
      timeLeft: Math.max(minimumJobTime, plan.timeLeft - elapsed(job)),
    });
    if (reply.type === 'failed') return failed(job, checked.id, reply.unsent, round);
    let body: string;
    try {
      body = await readResult(reply.response);
    } catch (error) {
      gateway.log(`a job's result broke off: ${fault.text(error)}.`);
      gateway.exchangeEnded(checked.id, 'cut');
      return lost(job, 'the result broke off', false);
    }
    took = gateway.runtime.clock.now() - sentAt;
    gateway.exchangeEnded(checked.id, reply.response.status >= 500 ? 'failed' : 'answered');
    await answer(job, reply.response, body);
    return 'answered';
  } finally {
    gateway.admission.releaseSlot(to.id, plan.cls, took);
  }
};

/** Serves a job to its final answer. */
export const job = async (gateway: Gateway, plan: JobPlan, response: HttpResponseWriter): Promise<void> => {
  gateway.count('jobs');
  const request: JobRequest = {
    gateway,
    plan,
    response,
    phases: phases.open(),
    timeline: openTimeline(gateway, plan.cls, null),
    arrivedAt: gateway.runtime.clock.now(),
    id: `${gateway.id}.${gateway.runtime.rand.id()}`,
    claimed: false,
    closing: false,
    excluded: new Set(),
  };
  gateway.inFlight.add(request.id);
  try {
    if ((await claim(request)) === 'answered') return;
    for (let round = 0; ; round++) {
      const to = await takeSlot(request);
      if (to === 'answered' || (await tryWorker(request, to, round)) === 'answered') return;
    }
  } finally {
    request.timeline.close();
    if (!request.closing) gateway.inFlight.delete(request.id);
  }
};
