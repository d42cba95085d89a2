/** What follows an exchange with a worker (§5.4, §5.9): the response's end, another worker, or an error. */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { fault, time, duration, type Microseconds } from '@thornsail/runtime';
import { closeTimeout } from '../requests/deadline.js';
import type { StepResult } from '../requests/steps.js';
import { events } from './events.js';
import type { Outcome } from './exchange.js';
import { isRepeatable } from './plan.js';
import { requests, type Request } from './request.js';

/** Line feed and carriage return. */
const lineBreaks: ReadonlySet<number> = new Set([10, 13]);
/** Sends allowed beyond the route's maximum where workers could not be reached or had been replaced. */
const extraSends = 3;
const minimumTimeToResend = duration.ms(20);
/** A response waits for the record of its result until this long after the request's deadline. */
const recordOverrun = duration.ms(100);

/** Ends a request by aborting its response: the tokens that reached the client are settled. */
const abortResponse = (request: Request): 'answered' => {
  void requests.settle(request, requests.tokensRelayed(request), null);
  requests.leaveScheduler(request, null, null);
  request.response.abort();
  return 'answered';
};

/**
 * Ends a stream. The turn is stored and its tokens are settled first, concurrently; if the turn cannot be stored, the
 * response is aborted, so that the client does not take it for complete (§5.9).
 */
const endStream = async (request: Request, worker: WorkerEntry, rest: Uint8Array): Promise<'answered'> => {
  const { plan, forwarding, gateway, context, relayed, response } = request;
  const used = requests.tokensRelayed(request);
  request.timeline.enter('record');
  request.timeline.setTokens({ prompt: context.prompt, output: used });
  request.timeline.setOutcome('served');
  const settled = requests.settle(request, used, worker.id);
  try {
    if (plan.route.keepSeconds > 0) {
      const input = Buffer.from(plan.body).toString('latin1');
      const turn = { chain: context.chain, input, output: relayed.output };
      await forwarding.turns.store(plan.attempt, turn, plan.route.keepSeconds, closeTimeout);
    }
    await settled;
  } catch (error) {
    requests.log(request, `a turn could not be stored, so its stream is aborted: ${fault.text(error)}.`);
    requests.leaveScheduler(request, context.prompt + used, worker.id);
    request.phases.transition('lose');
    gateway.count('cut');
    request.timeline.setOutcome('not_kept');
    response.abort();
    return 'answered';
  }
  requests.leaveScheduler(request, context.prompt + used, worker.id);
  request.phases.transition('end');
  gateway.count('results');
  if (!response.isClosed()) {
    if (rest.length) response.write(rest);
    response.end();
  }
  return 'answered';
};

/** Ends a response that is not a stream. The result of a keyed request is recorded first. */
const endAnswer = async (
  request: Request,
  worker: WorkerEntry,
  answer: Outcome & { type: 'answer' },
): Promise<'answered'> => {
  const { gateway, reservations, response } = request;
  const { status, headers, body } = answer;
  response.onClose(answer.release);
  request.phases.transition('relay');
  request.timeline.enter('record');
  request.timeline.setOutcome(status < 400 ? 'served' : `worker_${status}`);
  void requests.settle(request, 0, worker.id);
  requests.leaveScheduler(request, null, worker.id);
  if (reservations.key) {
    const recorded = gateway.keys.recordResult(reservations.key, request.id, {
      status,
      headers,
      body: body.toString('latin1'),
    });
    const maxWait = Math.max(0, requests.left(request) + recordOverrun);
    await Promise.race([recorded, time.sleep(gateway.runtime.clock, maxWait)]);
  }
  request.phases.transition('end');
  gateway.count('results');
  if (response.isClosed()) return 'answered';
  response.writeHead(status, [...headers, 'content-length', String(body.length)]);
  response.end(body);
  return 'answered';
};

/** Whether another worker may be tried: sends of the route and time are left, and the client is connected. */
const mayTryAnother = ({ plan, placement, response }: Request, left: Microseconds): boolean =>
  placement.sends < plan.route.maxAttempts && left > 0 && !response.isClosed();
/** Has another worker chosen for a request that this worker may have run. */
const tryAnother = (request: Request, worker: WorkerEntry): 'continue' => {
  request.gateway.count('retried');
  request.placement.excluded.add(worker.id);
  request.placement.preferred = null;
  request.phases.transition('again');
  return 'continue';
};

/** The worker may have run the request: another one is tried if it may run again, else it ends with an error (§5.4). */
const lost = (request: Request, worker: WorkerEntry, outcome: Outcome & { type: 'lost' | 'cut' }): StepResult => {
  const { gateway, plan, relayed } = request;
  requests.log(request, `attempt ${plan.attempt} was lost at worker ${worker.id}: ${outcome.why}.`);
  if (relayed.lastEventBytes)
    relayed.lastEventId = events.parseFields(relayed.lastEventBytes).id ?? relayed.lastEventId;
  const repeats = outcome.type === 'lost' && plan.route.semantics === 'idempotent';
  const resumes = plan.route.semantics === 'stream' && plan.route.resumable;
  const mayRetry = mayTryAnother(request, requests.left(request));
  request.phases.transition('lose');
  if ((repeats || resumes) && mayRetry) return tryAnother(request, worker);
  gateway.count('lost');
  request.timeline.setOutcome(relayed.headSent ? 'cut' : 'worker_lost');
  if (relayed.headSent) return abortResponse(request);
  void requests.settle(request, requests.tokensRelayed(request), null);
  requests.leaveScheduler(request, null, null);
  if (requests.left(request) <= 0) requests.answerError(request, 'timed_out', 'the worker is still at work', null);
  else requests.answerError(request, 'worker_lost', 'the worker was lost', null);
  return 'answered';
};

/** The request has not run: another worker may be tried. */
const unsent = (request: Request, worker: WorkerEntry, outcome: Outcome & { type: 'unsent' }): StepResult => {
  const { gateway, plan, placement, relayed } = request;
  request.phases.transition('unsent');
  placement.excluded.add(worker.id);
  placement.preferred = null;
  // A healthy worker refuses a request that names another version of the weights than its own.
  if (outcome.workerDown && relayed.version === null) gateway.admission.markUnhealthy(worker.id);
  const maxSends = plan.route.maxAttempts + (outcome.workerDown ? extraSends : 0);
  if (placement.sends < maxSends && requests.left(request) > minimumTimeToResend) return 'continue';
  // A stream that has begun and that no worker can resume is aborted.
  if (relayed.headSent) return abortResponse(request);
  return requests.reject(request, 'no_worker', `no worker took it: ${outcome.why}`, requests.retryDelay(request));
};

const endAbandoned = (request: Request, worker: WorkerEntry): 'answered' => {
  request.gateway.count('orphaned');
  request.timeline.setOutcome('gone');
  request.phases.transition('lose');
  void requests.settle(request, requests.tokensRelayed(request), worker.id);
  requests.leaveScheduler(request, request.context.prompt, worker.id);
  return 'answered';
};

const isBlank = (bytes: Uint8Array): boolean => bytes.every((byte) => lineBreaks.has(byte));
/** A failure of the worker. It answers 504 at the request's deadline, which is no sign of a fault of its own. */
const isServerFailure = (status: number): boolean => status >= 500 && status !== 504;
/** Whether the worker served the request, as its health record counts it; null: the exchange does not show it. */
const hasSucceeded = (request: Request, outcome: Outcome): boolean | null => {
  switch (outcome.type) {
    case 'streamed':
      return isBlank(outcome.rest);
    case 'answer':
      return outcome.status === 504 ? null : !isServerFailure(outcome.status);
    case 'lost':
    case 'cut':
      return requests.left(request) > 0 ? false : null;
    case 'unsent':
    case 'gone':
      return null;
  }
};
const outcomeNames = {
  streamed: 'answered',
  answer: 'answered',
  lost: 'lost',
  cut: 'cut',
  unsent: 'not_run',
  gone: 'abandoned',
} as const;
/** Reports the outcome of an exchange to the load balancer and the metrics. */
const report = ({ gateway }: Request, worker: WorkerEntry, outcome: Outcome, succeeded: boolean | null): void => {
  if (succeeded !== null) gateway.admission.recordExchange(worker.id, succeeded);
  const hasFailed = outcome.type === 'answer' && isServerFailure(outcome.status);
  gateway.workerOutcome(worker.id, hasFailed ? 'failed' : outcomeNames[outcome.type]);
};
/** Whether a failure of which nothing has reached the client is retried at another worker. */
const mayReplace = (request: Request, status: number): boolean =>
  isServerFailure(status) &&
  isRepeatable(request.plan) &&
  requests.left(request) > minimumTimeToResend &&
  mayTryAnother(request, requests.left(request));

/** Continues or ends the request after one exchange. `continue` if another worker is to be chosen. */
export const finish = async (request: Request, worker: WorkerEntry, outcome: Outcome): Promise<StepResult> => {
  report(request, worker, outcome, hasSucceeded(request, outcome));
  switch (outcome.type) {
    case 'streamed':
      // A stream that ends within an event was broken off, even if its HTTP framing is complete.
      if (!isBlank(outcome.rest))
        return lost(request, worker, { type: 'cut', why: 'the stream ended within an event' });
      return endStream(request, worker, outcome.rest);
    case 'answer':
      // The client has part of a stream already, so no other response can follow.
      if (request.relayed.headSent) return lost(request, worker, { type: 'cut', why: `status ${outcome.status}` });
      if (mayReplace(request, outcome.status)) {
        request.phases.transition('lose');
        return tryAnother(request, worker);
      }
      return endAnswer(request, worker, outcome);
    case 'gone':
      return endAbandoned(request, worker);
    case 'unsent':
      return unsent(request, worker, outcome);
    case 'lost':
      request.gateway.admission.markUnhealthy(worker.id);
      return lost(request, worker, outcome);
    case 'cut':
      return lost(request, worker, outcome);
  }
};
