/** The key of a forwarded request, whichever gateway it reaches (§5.4): claimed, or answered from its record. */
import { createHash } from 'node:crypto';
import { isInFlight } from '../gateway.js';
import type { IdempotencyKey, KeyClaim, RecordedAnswer } from '../records/idempotency-keys.js';
import { claimStep } from '../requests/claim.js';
import type { ForwardRequest } from './plan.js';
import { requests, type Request } from './request.js';

const keyOf = (plan: ForwardRequest): IdempotencyKey => ({
  name: plan.key!,
  sum: createHash('sha256').update(`${plan.method} ${plan.target}\n`).update(plan.body).digest('base64').slice(0, 22),
});

const replay = ({ gateway, response }: Request, answer: RecordedAnswer): void => {
  gateway.count('replayed');
  if (response.isClosed()) return;
  const body = Buffer.from(answer.body, 'latin1');
  response.writeHead(answer.status, [...answer.headers, 'content-length', String(body.length)]);
  response.end(body);
};
/** The answer to a request whose key is claimed by another one. */
const answerCopy = async (request: Request, claim: KeyClaim, key: IdempotencyKey): Promise<void> => {
  if (claim.sum !== undefined && claim.sum !== key.sum)
    return requests.answerError(request, 'key_reused', 'this key came with another request before', null);
  const answer = claim.done as RecordedAnswer | null;
  if (answer && answer.status > 0) return replay(request, answer);
  if (!answer && (await isInFlight(request.gateway, claim))) {
    const text = 'a request with this key is being served';
    return requests.answerError(request, 'in_progress', text, requests.retrySoon(request));
  }
  // Nothing is at work any more, and nothing is promised: it may have run.
  const text = 'a request with this key was sent and its outcome is not known';
  return requests.answerError(request, 'outcome_unknown', text, null);
};

/**
 * Claims the request's key, if it has one. A claim that could not be kept is followed by no send, and each attempt has
 * an id of its own: that this one has not run, and will not, may be promised.
 */
export const claim = claimStep<Request>({
  whenStale: 'refresh',
  hasKey: (request) => request.plan.key !== null,
  keyOf: (request) => keyOf(request.plan),
  timeout: requests.recordTimeout,
  claimed: (request, key) => {
    request.reservations.key = key;
  },
  rejectStale: (request) => {
    request.phases.transition('reject');
    requests.answerError(request, 'stale', 'this node has just woken', requests.retrySoon(request));
    return 'answered';
  },
  rejectUnavailable: (request, key) => {
    request.reservations.key = key; // It may have been written: the records free the key if so.
    return requests.storesUnavailable(request, 'the claim could not be kept by a majority');
  },
  answerDuplicate: answerCopy,
});
