// Carrying out a request that is passed on unread (§5.7), stage by stage: claim, context, charge, admission, slot,
// send, end. A turn of a program goes through all of them, a call of a tool through some.
import { invariant, duration, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import { charge, readChain } from './charge.js';
import { claim } from './claim.js';
import { admit, takeSlot } from './place.js';
import type { ForwardRequest } from './plan.js';
import { requests, type Forwarding, type Request } from './request.js';
import { timedResponse } from './response.js';
import { tryWorker } from './send.js';

export type { Forwarding } from './request.js';

const mostRounds = 100;

/** So long after the deadline the final answer is given, whatever the request waits for. */
const overrun = duration.ms(200);

/** The final answer of a request whose time is over. */
const expire = (request: Request): void => {
  request.gateway.count('timed_out');
  request.timeline.setOutcome('timed_out');
  // Nothing was sent, and nothing will be: its client counts as gone from here on.
  if (request.phases.execution() === 'no')
    requests.answerError(
      request,
      'late',
      'the time left ran out before anything was sent',
      requests.retrySoon(request),
    );
  else requests.answerError(request, 'timed_out', 'the outcome was not known in time', null);
};

const carryOut = async (request: Request): Promise<void> => {
  for (const stage of [claim, readChain, charge, admit]) {
    if ((await stage(request)) === 'answered') return;
    if (request.response.isClosed()) return void requests.clientDisconnected(request);
  }
  for (let round = 0; ; round++) {
    invariant.hold(round < mostRounds, 'a request was tried a hundred times');
    const worker = await takeSlot(request);
    if (worker === 'answered' || (await tryWorker(request, worker)) === 'answered') return;
  }
};

/**
 * Serves a request to its final answer. `arrivedAt` is when the request came (clock time in microseconds): what it
 * waited before this counts.
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
    await carryOut(request);
  } finally {
    timed.stop();
    request.timeline.close();
    if (!request.reservations.closing) gateway.inFlight.delete(request.id);
    requests.leaveScheduler(request, null, null);
  }
};
