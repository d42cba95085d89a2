// What follows an exchange with a worker (§5.4, §5.9): the end of its answer, another worker, or the request's end.
import type { WorkerEntry } from '@thornsail/load-balancer';
import { fault, time, duration, type Microseconds } from '@thornsail/runtime';
import { closeTimeout } from '../requests/deadline.js';
import type { StepResult } from '../requests/steps.js';
import { events } from './events.js';
import type { Outcome } from './exchange.js';
import { isRepeatable } from './plan.js';
import { requests, type Request } from './request.js';

/** Line feed, carriage return. */
const blanks: ReadonlySet<number> = new Set([10, 13]);
/** So many more workers are tried where those before them were not there. */
const extraSends = 3;
const leastTimeToResend = duration.ms(20);
/** An answer does not wait for its record for longer than this after its deadline. */
const recordOverrun = duration.ms(100);

/** Ends a request whose client has part of an answer, or none: what reached it is settled, the rest is cut off. */
const cutOff = (request: Request): 'answered' => {
  void requests.settle(request, requests.tokensRelayed(request), null);
  requests.leaveScheduler(request, null, null);
  request.response.abort();
  return 'answered';
};

/** The end of a stream: kept and settled first, beside one another; a turn that cannot be kept is cut (§5.9). */
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
    requests.log(request, `a turn was not kept, so its stream is cut: ${fault.text(error)}.`);
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

/** The end of an answer that is no stream; that of a key is recorded first. */
const endAnswer = async (
  request: Request,
  worker: WorkerEntry,
  answer: Outcome & { how: 'answer' },
): Promise<'answered'> => {
  const { gateway, reservations, response } = request;
  const { status, headers, body } = answer;
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
    const longest = Math.max(0, requests.left(request) + recordOverrun);
    await Promise.race([recorded, time.sleep(gateway.runtime.clock, longest)]);
  }
  request.phases.transition('end');
  gateway.count('results');
  if (response.isClosed()) return 'answered';
  response.writeHead(status, [...headers, 'content-length', String(body.length)]);
  response.end(body);
  return 'answered';
};

/** Whether the route, its client's time and its client allow another worker. */
const mayTryAnother = ({ plan, placement, response }: Request, left: Microseconds): boolean =>
  placement.sends < plan.route.maxAttempts && left > 0 && !response.isClosed();
/** Gives the request to another worker, which may run it although this one may have run it. */
const tryAnother = (request: Request, worker: WorkerEntry): 'continue' => {
  request.gateway.count('retried');
  request.placement.excluded.add(worker.id);
  request.placement.preferred = null;
  request.phases.transition('again');
  return 'continue';
};

/** What may be sent again is, to another worker; else its outcome is told as far as it is known (§5.4). */
const lost = (request: Request, worker: WorkerEntry, outcome: Outcome & { how: 'lost' | 'cut' }): StepResult => {
  const { gateway, plan, relayed } = request;
  requests.log(request, `${plan.attempt} was lost at ${worker.id}: ${outcome.why}.`);
  if (relayed.last) relayed.lastId = events.fields(relayed.last).id ?? relayed.lastId;
  const repeats = outcome.how === 'lost' && plan.route.semantics === 'idempotent';
  const resumes = plan.route.semantics === 'stream' && plan.route.resumable;
  const mayGoOn = mayTryAnother(request, requests.left(request));
  request.phases.transition('lose');
  if ((repeats || resumes) && mayGoOn) return tryAnother(request, worker);
  gateway.count('lost');
  request.timeline.setOutcome(relayed.headSent ? 'cut' : 'worker_lost');
  if (relayed.headSent) return cutOff(request);
  void requests.settle(request, requests.tokensRelayed(request), null);
  requests.leaveScheduler(request, null, null);
  if (requests.left(request) <= 0) requests.answerError(request, 'timed_out', 'the worker is still at work', null);
  else requests.answerError(request, 'worker_lost', 'the worker was lost', null);
  return 'answered';
};

/** Nothing of it ran: another worker may have it. */
const unsent = (request: Request, worker: WorkerEntry, outcome: Outcome & { how: 'unsent' }): StepResult => {
  const { gateway, plan, placement, relayed } = request;
  request.phases.transition('unsent');
  placement.excluded.add(worker.id);
  placement.preferred = null;
  // One that was asked for a version of weights may be well, and have another one.
  if (outcome.worker && relayed.version === null) gateway.admission.markUnhealthy(worker.id);
  const most = plan.route.maxAttempts + (outcome.worker ? extraSends : 0);
  if (placement.sends < most && requests.left(request) > leastTimeToResend) return 'continue';
  // A stream that was already begun and cannot go on anywhere is cut.
  if (relayed.headSent) return cutOff(request);
  return requests.reject(request, 'no_worker', `no worker took it: ${outcome.why}`, requests.retrySoon(request));
};

const clientLeft = (request: Request, worker: WorkerEntry): 'answered' => {
  request.gateway.count('orphaned');
  request.timeline.setOutcome('gone');
  request.phases.transition('lose');
  void requests.settle(request, requests.tokensRelayed(request), worker.id);
  requests.leaveScheduler(request, request.context.prompt, worker.id);
  return 'answered';
};

const isBlank = (bytes: Uint8Array): boolean => bytes.every((byte) => blanks.has(byte));
/** A worker's own failure; at its deadline a worker says 504, which says nothing of the worker. */
const isServerFailure = (status: number): boolean => status >= 500 && status !== 504;
/** Whether a worker has done what it was asked; null: the exchange does not tell. */
const hasSucceeded = (request: Request, outcome: Outcome): boolean | null => {
  switch (outcome.how) {
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
/** Tells the load balancer and the metrics what became of an exchange. */
const report = ({ gateway }: Request, worker: WorkerEntry, outcome: Outcome, succeeded: boolean | null): void => {
  if (succeeded !== null) gateway.admission.recordExchange(worker.id, succeeded);
  const hasFailed = outcome.how === 'answer' && isServerFailure(outcome.status);
  gateway.workerOutcome(worker.id, hasFailed ? 'failed' : outcomeNames[outcome.how]);
};
/** A failure of which nothing has reached the client, of a request that may run again: another worker may have it. */
const mayReplace = (request: Request, status: number): boolean =>
  isServerFailure(status) &&
  isRepeatable(request.plan) &&
  requests.left(request) > leastTimeToResend &&
  mayTryAnother(request, requests.left(request));

/** What becomes of the request after one exchange. */
export const finish = async (request: Request, worker: WorkerEntry, outcome: Outcome): Promise<StepResult> => {
  report(request, worker, outcome, hasSucceeded(request, outcome));
  switch (outcome.how) {
    case 'streamed':
      // A connection that is closed within an event was broken off, whatever its framing says.
      if (!isBlank(outcome.rest)) return lost(request, worker, { how: 'cut', why: 'it ended within an event' });
      return endStream(request, worker, outcome.rest);
    case 'answer':
      // The client has a part of a stream already: no other answer can follow it.
      if (request.relayed.headSent) return lost(request, worker, { how: 'cut', why: `status ${outcome.status}` });
      if (mayReplace(request, outcome.status)) {
        request.phases.transition('lose');
        return tryAnother(request, worker);
      }
      return endAnswer(request, worker, outcome);
    case 'gone':
      return clientLeft(request, worker);
    case 'unsent':
      return unsent(request, worker, outcome);
    case 'lost':
      request.gateway.admission.markUnhealthy(worker.id);
      return lost(request, worker, outcome);
    case 'cut':
      return lost(request, worker, outcome);
  }
};
