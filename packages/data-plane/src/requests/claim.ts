/**
 * Claims the idempotency key of a request at either interface (§5.4): at a majority of stores, and before any queueing,
 * so that a duplicate at another gateway finds the claim.
 *
 * The answer to a duplicate differs between the interfaces and is given by them: the product API also looks for the
 * reply in the conversation and fences the turn; a forwarded request has no conversation.
 */
import { fault, type Microseconds } from '@thornsail/runtime';
import type { ClaimResult, IdempotencyKey, KeyClaim } from '../records/idempotency-keys.js';
import type { ActiveRequest, StepResult } from './steps.js';

/** How an interface claims keys. */
export type ClaimRules<Request> = {
  /**
   * What to do after the process was suspended. `refresh`: each attempt has its own ID, so a refreshed membership is
   * enough; `reject`: the request itself may be an old duplicate.
   */
  whenStale: 'refresh' | 'reject';
  hasKey: (request: Request) => boolean;
  keyOf: (request: Request) => IdempotencyKey;
  timeout: (request: Request) => Microseconds;
  claimed: (request: Request, key: IdempotencyKey) => void;
  rejectStale: (request: Request) => 'answered';
  /** No majority of stores answered the claim; it may have been written nevertheless. */
  rejectUnavailable: (request: Request, key: IdempotencyKey) => 'answered';
  /** Answers a request whose key was already claimed by another one. */
  answerDuplicate: (request: Request, claim: KeyClaim, key: IdempotencyKey) => Promise<void>;
};

/** The step that claims a request's key, if it has one. */
export const claimStep =
  <Request extends ActiveRequest>(rules: ClaimRules<Request>) =>
  async (request: Request): Promise<StepResult> => {
    if (!rules.hasKey(request)) return 'continue';
    request.timeline.enter('claim');
    const { gateway } = request;
    if (gateway.membership.stale() && (rules.whenStale === 'reject' || !(await gateway.refreshIfStale())))
      return rules.rejectStale(request);
    const key = rules.keyOf(request);
    let result: ClaimResult;
    try {
      result = await gateway.keys.claim(key, request.id, rules.timeout(request));
    } catch (error) {
      gateway.log(`a claim failed: ${fault.text(error)}.`);
      return rules.rejectUnavailable(request, key);
    }
    if (result.type === 'claimed') {
      rules.claimed(request, key);
      return 'continue';
    }
    request.phases.transition('reject');
    await rules.answerDuplicate(request, result.claim, key);
    return 'answered';
  };
