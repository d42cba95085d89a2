/** Claims the idempotency keys of forwarded requests, at whichever gateway (§5.4), or answers from a key's record. */
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
/** Answers a request whose key another request has claimed. */
const answerCopy = async (request: Request, claim: KeyClaim, key: IdempotencyKey): Promise<void> => {
  if (claim.sum !== undefined && claim.sum !== key.sum)
    return requests.answerError(request, 'key_reused', 'this key came with another request before', null);
  const answer = claim.done as RecordedAnswer | null;
  if (answer && answer.status > 0) return replay(request, answer);
  if (!answer && (await isInFlight(request.gateway, claim))) {
    const text = 'a request with this key is being served';
    return requests.answerError(request, 'in_progress', text, requests.retryDelay(request));
  }
  // No gateway serves the other request any more, and it may have run.
  const text = 'a request with this key was sent and its outcome is not known';
  return requests.answerError(request, 'outcome_unknown', text, null);
};

/**
 * Claims the request's key, if it has one. After a claim that no majority stored, nothing is sent; and each attempt has
 * an id of its own. So the client may be promised that this attempt has not run and will not run.
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
    requests.answerError(request, 'stale', 'this node has just woken', requests.retryDelay(request));
    return 'answered';
  },
  rejectUnavailable: (request, key) => {
    request.reservations.key = key; // The claim may have been written; releasing the reservations frees the key then.
    return requests.storesUnavailable(request, 'the claim could not be kept by a majority');
  },
  answerDuplicate: answerCopy,
});
