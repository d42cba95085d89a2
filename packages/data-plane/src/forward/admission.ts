/** Admission of a forwarded request: the scheduler's decision (§4), then a slot at a worker (§5.2). */
import type { WorkerEntry } from '@thornsail/load-balancer';
import type { StepResult } from '../requests/steps.js';
import { sessionKey } from './charge.js';
import { requests, type Request } from './request.js';

/** Has the scheduler release the turn now, release it later, or reject it (§4). Other requests need no release. */
export const admit = async (request: Request): Promise<StepResult> => {
  const { gateway, plan, placement, context } = request;
  const { turn } = plan;
  if (turn === null) {
    request.phases.transition('admit');
    return 'continue';
  }
  request.timeline.enter('hold');
  const known = placement.preferred === null ? {} : { known: { tokens: context.prompt, worker: placement.preferred } };
  const admission = gateway.admission.admitTurn(
    {
      turn: request.id,
      program: sessionKey(turn),
      tokens: context.prompt,
      timeLeft: requests.left(request),
      expectedService: gateway.admission.expectedService(plan.className),
      patience: requests.untilGivenUp(request) - gateway.admission.estimatedDelay(plan.className, true),
      ...known,
      ...(turn.remaining === null ? {} : { programTimeLeft: turn.remaining }),
    },
    () => request.phases.transition('hold'),
  );
  request.response.onClose(admission.abandon);
  const released = await admission.released;
  if (released.type === 'abandoned') return requests.clientDisconnected(request);
  if (released.type === 'rejected') {
    const { reason } = released;
    const retryAfter = requests.retryDelay(request);
    if (reason === 'program-busy')
      return requests.reject(request, 'turn_open', 'another turn of this session is open', retryAfter);
    const table = reason === 'turn-limit' ? 'turns' : 'programs';
    return requests.reject(request, 'full', `the table of ${table} is full`, retryAfter);
  }
  placement.scheduled = true;
  request.phases.transition('admit');
  placement.preferredHasContext = placement.preferred !== null && released.reason === 'ordinary';
  placement.preferred = released.worker;
  placement.forced = released.reason === 'forced';
  return 'continue';
};

/** Acquires a slot at a worker; waits until one is free or the request can no longer be served in time. */
export const takeSlot = async (request: Request): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, placement } = request;
  request.timeline.enter('slot');
  const slotRequest = gateway.admission.acquireSlot(plan.className, {
    preferred: placement.preferred,
    preferredHasContext: placement.preferredHasContext,
    excluded: placement.excluded,
    force: placement.forced,
    limit:
      Math.min(requests.untilGivenUp(request), requests.left(request)) -
      gateway.admission.expectedService(plan.className),
    service: placement.service,
  });
  request.response.onClose(slotRequest.abandon);
  const slot = await slotRequest.slot;
  if (slot.type === 'acquired') return slot.worker;
  if (slot.type === 'abandoned') return requests.clientDisconnected(request);
  const retryAfter = requests.retryDelay(request);
  if (slot.type === 'no-worker')
    return requests.reject(request, 'no_worker', 'no worker of this service is there', retryAfter);
  return requests.reject(request, 'busy', 'all workers of this class are taken', retryAfter);
};
