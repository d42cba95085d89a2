// A key's operation, whichever edge it reaches (§5.4): claimed by majority before any wait, repeated from its record.
import { createHash } from 'node:crypto';
import { fault } from '@thornsail/runtime';
import type { Answer, Claimed, Key, Once } from '../turn-records.js';
import { stillOpen } from '../edge.js';
import type { Forward } from './plan.js';
import { requests, type Next, type Request } from './request.js';

const keyOf = (plan: Forward): Key => ({
  name: plan.key!,
  sum: createHash('sha256').update(`${plan.method} ${plan.target}\n`).update(plan.body).digest('base64').slice(0, 22),
});

const replay = ({ edge, response }: Request, answer: Answer): void => {
  edge.bump('replayed');
  if (response.gone()) return;
  const body = Buffer.from(answer.body, 'latin1');
  response.head(answer.status, [...answer.headers, 'content-length', String(body.length)]);
  response.end(body);
};
/** The answer to a request whose key is claimed by another one. */
const repeated = async (request: Request, once: Once, sum: string): Promise<void> => {
  if (once.sum !== undefined && once.sum !== sum)
    return requests.answerError(request, 'key_reused', 'this key came with another request before', null);
  const answer = once.done as Answer | null;
  if (answer && answer.status > 0) return replay(request, answer);
  if (!answer && (await stillOpen(request.edge, once))) {
    const text = 'a request with this key is being served';
    return requests.answerError(request, 'in_progress', text, requests.soon(request));
  }
  // Nothing is at work any more, and nothing is promised: it may have run.
  const text = 'a request with this key was sent and its outcome is not known';
  return requests.answerError(request, 'outcome_unknown', text, null);
};

/**
 * Claims the request's key, if it has one. A claim that could not be kept is followed by no send, and each attempt has
 * an id of its own: that this one has not run, and will not, may be promised.
 */
export const claim = async (request: Request): Promise<Next> => {
  const { edge, plan, stages, reservations, id } = request;
  if (plan.key === null) return 'again';
  if (edge.membership.stale() && !(await edge.freshen())) {
    stages.go('reject');
    requests.answerError(request, 'stale', 'this node has just woken', requests.soon(request));
    return 'done';
  }
  const key = keyOf(plan);
  let claimed: Claimed;
  try {
    claimed = await edge.turnRecords.claim(key, id, requests.recordTimeout(request));
  } catch (error) {
    requests.log(request, `a claim failed: ${fault.text(error)}.`);
    reservations.key = key; // It may have been written: the records free the key if so.
    return requests.noStores(request, 'the claim could not be kept by a majority');
  }
  if (claimed.ok) {
    reservations.key = key;
    return 'again';
  }
  stages.go('reject');
  await repeated(request, claimed.once, key.sum);
  return 'done';
};
