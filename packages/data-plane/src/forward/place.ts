// Where a request goes: the scheduler's word (§4), then a slot at a worker (§5.2).
import type { WorkerEntry } from '@thornsail/load-balancer';
import { lineOf } from './charge.js';
import { requests, type Next, type Request } from './request.js';

/** The scheduler's word: now, later at this boundary, or not at all (§4). */
export const admit = async (request: Request): Promise<Next> => {
  const { edge, plan, placement, context } = request;
  const { turn } = plan;
  if (turn === null) {
    request.stages.go('admit');
    return 'again';
  }
  const known = placement.preferred === null ? {} : { known: { tokens: context.prompt, worker: placement.preferred } };
  const asked = edge.adm.turn(
    {
      turn: request.id,
      program: lineOf(turn),
      tokens: context.prompt,
      timeLeft: requests.left(request),
      expectedService: edge.adm.expected(plan.cls),
      patience: requests.untilGivenUp(request) - edge.adm.ahead(plan.cls, true),
      ...known,
      ...(turn.remaining === null ? {} : { programTimeLeft: turn.remaining }),
    },
    () => request.stages.go('hold'),
  );
  request.response.onGone(asked.gone);
  const released = await asked.released;
  if (!released.ok) {
    const { why } = released;
    if (why === 'gone') return requests.clientGone(request);
    const again = requests.soon(request);
    if (why === 'program-busy')
      return requests.reject(request, 'turn_open', 'another turn of this session is open', again);
    return requests.reject(
      request,
      'full',
      `the table of ${why === 'turn-limit' ? 'turns' : 'programs'} is full`,
      again,
    );
  }
  placement.scheduled = true;
  request.stages.go('admit');
  placement.warm = placement.preferred !== null && released.why === 'ordinary';
  placement.preferred = released.worker;
  placement.forced = released.why === 'forced';
  return 'again';
};

/** A worker with a free slot, waited for if need be. */
export const takeSlot = async (request: Request): Promise<WorkerEntry | 'done'> => {
  const { edge, plan, placement } = request;
  const asked = edge.adm.slot(plan.cls, {
    hint: placement.preferred,
    warm: placement.warm,
    not: placement.excluded,
    force: placement.forced,
    limit: Math.min(requests.untilGivenUp(request), requests.left(request)) - edge.adm.expected(plan.cls),
    service: placement.service,
  });
  request.response.onGone(asked.gone);
  const slot = await asked.got;
  if (slot.ok) return slot.worker;
  if (slot.why === 'gone') return requests.clientGone(request);
  const again = requests.soon(request);
  if (slot.why === 'none') return requests.reject(request, 'no_worker', 'no worker of this service is there', again);
  return requests.reject(request, 'busy', 'all workers of this class are taken', again);
};
