/** Serves a job (§5.1), one function for each step: claim, slot, send, result. */
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
import { claimKey, maxUnsentRetries, remaining, slotTimeout, type ProductRequest } from './product-request.js';
import { idempotencyKeyOf } from './records/idempotency-keys.js';
import { preSendCheck, lateText } from './requests/attempt.js';
import { elapsed } from './requests/deadline.js';
import { openTimeline } from './requests/timeline.js';
import type { StepResult } from './requests/steps.js';
import { workerClient } from './worker-request.js';

type JobRequest = ProductRequest<JobPlan>;
/** In characters. */
const maxResultLength = 4 << 20;
/** Minimum timeout for the head of a worker's response. */
const minimumJobTime = duration.ms(100);
/** A result may be complete this long after the job's deadline. */
const lateResult = duration.s(5);

const releaseKey = (job: JobRequest): void => {
  if (!job.claimed) return;
  job.closing = true;
  const { gateway, plan, id } = job;
  void gateway.keys.release(idempotencyKeyOf(plan), id).finally(() => gateway.inFlight.delete(id));
};
/** Rejects a job before anything was sent: answers at once and frees the key in the background. */
const reject = (
  job: JobRequest,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
): 'answered' => {
  job.phases.transition('reject');
  job.timeline.setOutcome(code);
  releaseKey(job);
  job.gateway.responses.reject(job.response, code, text, ran ?? job.phases.execution(), retryAfter);
  return 'answered';
};

const claim = claimKey(reject);

/** Acquires a slot at a worker, waiting for one if necessary. */
const takeSlot = async (job: JobRequest): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, response } = job;
  job.timeline.enter('slot');
  const limit = Math.min(
    slotTimeout - elapsed(job),
    remaining(job) - gateway.admission.expectedService(plan.className),
  );
  const pending = gateway.admission.acquireSlot(plan.className, {
    preferred: null,
    excluded: job.excluded,
    force: false,
    limit,
  });
  response.onClose(pending.abandon);
  const slotResult = await pending.slot;
  if (slotResult.type === 'acquired') return slotResult.worker;
  if (slotResult.type === 'abandoned') {
    job.phases.transition('reject');
    releaseKey(job);
    return 'answered';
  }
  const retryAfter = gateway.responses.backoff();
  if (slotResult.type === 'no-worker') return reject(job, 'no_worker', 'no worker of this kind is there', retryAfter);
  return reject(job, 'busy', 'all workers of this class are taken', retryAfter);
};

const checkBeforeSend = preSendCheck<JobRequest>({
  remaining,
  minimumTime: 0,
  reject,
  retryAfter: () => 1,
  clientDisconnected: (job) => reject(job, 'late', lateText, 1),
});

/** The worker may have received the job: retries only if that is safe and the retry budget allows it (§5.4). */
const handleLostWorker = (job: JobRequest, text: string, mayRetry: boolean): StepResult => {
  const { gateway, plan } = job;
  const willRetry = mayRetry && !plan.once && plan.key === null && remaining(job) > 0 && gateway.takeRetry();
  job.phases.transition('lose');
  if (willRetry) {
    gateway.count('retried');
    job.phases.transition('again');
    return 'continue';
  }
  gateway.count('lost');
  job.timeline.setOutcome('worker_lost');
  gateway.responses.reject(job.response, 'worker_lost', text, 'unknown', plan.once ? null : 1);
  return 'answered';
};
const readResult = async (response: HttpClientResponse): Promise<string> => {
  let body = '';
  for await (const chunk of response.body) {
    body += chunk;
    if (body.length > maxResultLength) {
      response.abort();
      throw internalErrors.create('result-too-large', { step: 'job.body' });
    }
  }
  return body;
};
/** Answers with the result; for a request with a key the result is recorded first. */
const answer = async (job: JobRequest, result: HttpClientResponse, body: string): Promise<void> => {
  const { gateway, plan, response } = job;
  const type = result.headers['content-type'] ?? 'application/json';
  const recorded = { status: result.status, type, body, finish: null, prompt: 0, completion: 0 };
  job.phases.transition('relay');
  job.timeline.enter('record');
  job.timeline.setOutcome('served');
  if (job.claimed) await gateway.keys.recordResult(idempotencyKeyOf(plan), job.id, recorded);
  job.phases.transition('end');
  gateway.count('results');
  if (response.isClosed()) return;
  response.writeHead(result.status, { 'content-type': type, 'x-thornsail-ran': 'yes' });
  response.end(body);
};

/** The worker sent no response. `unsent`: it is certain that nothing reached it. */
const handleNoResponse = (job: JobRequest, workerId: string, unsent: boolean, round: number): StepResult => {
  job.gateway.admission.markUnhealthy(workerId);
  job.excluded.add(workerId);
  if (!unsent) {
    job.gateway.exchangeEnded(workerId, 'lost');
    return handleLostWorker(job, 'the worker was lost before its result', round === 0);
  }
  job.phases.transition('unsent');
  const mayContinue = round < maxUnsentRetries && remaining(job) > 0;
  return mayContinue ? 'continue' : reject(job, 'no_worker', 'no worker could be reached', 1);
};
/** One attempt at a worker: checks again and sends. `continue` if another worker is to be chosen. */
const tryWorker = async (job: JobRequest, worker: WorkerEntry, round: number): Promise<StepResult> => {
  const { gateway, plan } = job;
  let took: Microseconds | null = null;
  try {
    if (round === 0) job.phases.transition('admit');
    const checked = checkBeforeSend(job, worker, await gateway.refreshIfStale());
    if (checked === 'answered') return 'answered';
    if (checked === 'continue') {
      job.excluded.add(worker.id);
      return 'continue';
    }
    if (job.phases.current() === 'admitted') job.phases.transition('charge');
    job.phases.transition('send');
    job.timeline.enter('first_event');
    job.timeline.sentTo(checked.id, null);
    const sentAt = gateway.runtime.clock.now();
    const timeLeft = Math.max(minimumJobTime, plan.timeLeft - elapsed(job));
    const reply = await workerClient.send(gateway.runtime, checked, {
      path: workerProtocol.job.path,
      body: plan.body,
      headers: plan.key === null ? {} : { 'idempotency-key': plan.key },
      timeLeft,
      totalTimeLeft: timeLeft + lateResult,
    });
    if (reply.type === 'failed') return handleNoResponse(job, checked.id, reply.unsent, round);
    let body: string;
    try {
      body = await readResult(reply.response);
    } catch (error) {
      gateway.log(`the result of a job was cut off: ${fault.text(error)}.`);
      gateway.exchangeEnded(checked.id, 'cut');
      return handleLostWorker(job, 'the result broke off', false);
    }
    took = gateway.runtime.clock.now() - sentAt;
    gateway.exchangeEnded(checked.id, reply.response.status >= 500 ? 'failed' : 'answered');
    await answer(job, reply.response, body);
    return 'answered';
  } finally {
    gateway.admission.releaseSlot(worker.id, plan.className, took);
  }
};

/** Serves a job up to its final answer. */
export const job = async (gateway: Gateway, plan: JobPlan, response: HttpResponseWriter): Promise<void> => {
  gateway.count('jobs');
  const request: JobRequest = {
    gateway,
    plan,
    response,
    phases: phases.open(),
    timeline: openTimeline(gateway, plan.className, null),
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
      const worker = await takeSlot(request);
      if (worker === 'answered' || (await tryWorker(request, worker, round)) === 'answered') return;
    }
  } finally {
    request.timeline.close();
    if (!request.closing) gateway.inFlight.delete(request.id);
  }
};
