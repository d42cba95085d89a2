// Where a request goes: the scheduler's word (§4), then a slot at a worker (§5.2).
import type { WorkerEntry } from '@thornsail/load-balancer';
import type { StepResult } from '../requests/steps.js';
import { lineOf } from './charge.js';
import { requests, type Request } from './request.js';

/** The scheduler's word: now, later at this boundary, or not at all (§4). */
export const admit = async (request: Request): Promise<StepResult> => {
  const { gateway, plan, placement, context } = request;
  const { turn } = plan;
  if (turn === null) {
    request.phases.transition('admit');
    return 'continue';
  }
  request.timeline.enter('hold');
  const known = placement.preferred === null ? {} : { known: { tokens: context.prompt, worker: placement.preferred } };
  const asked = gateway.admission.admitTurn(
    {
      turn: request.id,
      program: lineOf(turn),
      tokens: context.prompt,
      timeLeft: requests.left(request),
      expectedService: gateway.admission.expectedService(plan.cls),
      patience: requests.untilGivenUp(request) - gateway.admission.estimatedDelay(plan.cls, true),
      ...known,
      ...(turn.remaining === null ? {} : { programTimeLeft: turn.remaining }),
    },
    () => request.phases.transition('hold'),
  );
  request.response.onClose(asked.abandon);
  const released = await asked.released;
  if (released.type === 'abandoned') return requests.clientDisconnected(request);
  if (released.type === 'rejected') {
    const { reason } = released;
    const again = requests.retrySoon(request);
    if (reason === 'program-busy')
      return requests.reject(request, 'turn_open', 'another turn of this session is open', again);
    const table = reason === 'turn-limit' ? 'turns' : 'programs';
    return requests.reject(request, 'full', `the table of ${table} is full`, again);
  }
  placement.scheduled = true;
  request.phases.transition('admit');
  placement.warm = placement.preferred !== null && released.reason === 'ordinary';
  placement.preferred = released.worker;
  placement.forced = released.reason === 'forced';
  return 'continue';
};

/** A worker with a free slot, waited for if need be. */
export const takeSlot = async (request: Request): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, placement } = request;
  request.timeline.enter('slot');
  const asked = gateway.admission.acquireSlot(plan.cls, {
    preferred: placement.preferred,
    preferredHasContext: placement.warm,
    excluded: placement.excluded,
    force: placement.forced,
    limit:
      Math.min(requests.untilGivenUp(request), requests.left(request)) - gateway.admission.expectedService(plan.cls),
    service: placement.service,
  });
  request.response.onClose(asked.abandon);
  const slot = await asked.slot;
  if (slot.type === 'acquired') return slot.worker;
  if (slot.type === 'abandoned') return requests.clientDisconnected(request);
  const again = requests.retrySoon(request);
  if (slot.type === 'no-worker')
    return requests.reject(request, 'no_worker', 'no worker of this service is there', again);
  return requests.reject(request, 'busy', 'all workers of this class are taken', again);
};
