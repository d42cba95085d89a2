/**
 * Serves a forwarded request, whose body the gateway does not read (§5.7), stage by stage: claim, context, charge,
 * admission, slot, send, end. A turn of a program goes through all stages, a tool call through some.
 */
import { invariant, duration, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import { charge, checkSpace, readChain } from './charge.js';
import { claim } from './claim.js';
import { admit, takeSlot } from './admission.js';
import type { ForwardRequest } from './plan.js';
import { requests, type Forwarding, type Request } from './request.js';
import { timedResponse } from './response.js';
import { tryWorker } from './send.js';

export type { Forwarding } from './request.js';

/** Rounds of choosing and trying a worker; more of them indicate a programming error. */
const maxRounds = 100;

/** The final answer is sent this long after the deadline, whatever the request waits for. */
const overrun = duration.ms(200);

/** Sends the final answer of a request whose deadline has passed. */
const expire = (request: Request): void => {
  request.gateway.count('timed_out');
  request.timeline.setOutcome('timed_out');
  // No worker was sent the request, and none will be: the response counts as closed from now on.
  if (request.phases.execution() === 'no')
    requests.answerError(
      request,
      'late',
      'the time left ran out before anything was sent',
      requests.retryDelay(request),
    );
  else requests.answerError(request, 'timed_out', 'the outcome was not known in time', null);
};

const runStages = async (request: Request): Promise<void> => {
  for (const stage of [claim, checkSpace, readChain, charge, admit]) {
    if ((await stage(request)) === 'answered') return;
    if (request.response.isClosed()) return void requests.clientDisconnected(request);
  }
  for (let round = 0; ; round++) {
    invariant.hold(round < maxRounds, 'a request has been tried 100 times');
    const worker = await takeSlot(request);
    if (worker === 'answered' || (await tryWorker(request, worker)) === 'answered') return;
  }
};

/**
 * Serves a request to its final answer. `arrivedAt` is the clock time at which the request arrived, in microseconds:
 * the time that it has waited since then counts against its deadline.
 */
export const forward = async (
  forwarding: Forwarding,
  plan: ForwardRequest,
  response: HttpResponseWriter,
  arrivedAt: Microseconds,
): Promise<void> => {
  const { gateway } = forwarding;
  gateway.count(plan.turn ? 'turns' : 'jobs');
  const request = requests.open(forwarding, plan, response, arrivedAt);
  const within = requests.left(request) + overrun;
  const timed = timedResponse.open(gateway.runtime.clock, response, within, () => expire(request));
  request.response = timed.response;
  gateway.inFlight.add(request.id);
  try {
    await runStages(request);
  } finally {
    timed.stop();
    request.timeline.close();
    if (!request.reservations.closing) gateway.inFlight.delete(request.id);
    requests.leaveScheduler(request, null, null);
  }
};
