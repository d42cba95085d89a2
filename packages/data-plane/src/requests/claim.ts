/**
 * Claims the idempotency key of a request, whichever gateway and interface it comes by (§5.4): by a majority, and
 * before anything is waited for, so that a copy of it at another gateway finds the claim.
 *
 * What a copy is answered differs between the interfaces and stays with them: the product's looks for the reply in the
 * conversation too and fences the turn, and a forwarded request has no conversation.
 */
import { fault, type Microseconds } from '@thornsail/runtime';
import type { ClaimResult, IdempotencyKey, KeyClaim } from '../records/idempotency-keys.js';
import type { ActiveRequest, StepResult } from './steps.js';

/** How an interface claims keys. */
export type ClaimRules<Request> = {
  /**
   * What follows a freeze. `refresh`: each attempt has an id of its own, so it is enough that the membership is fresh;
   * `reject`: the request itself may be an old copy.
   */
  whenStale: 'refresh' | 'reject';
  hasKey: (request: Request) => boolean;
  keyOf: (request: Request) => IdempotencyKey;
  timeout: (request: Request) => Microseconds;
  claimed: (request: Request, key: IdempotencyKey) => void;
  rejectStale: (request: Request) => 'answered';
  /** No majority took the claim; it may have been written all the same. */
  rejectUnavailable: (request: Request, key: IdempotencyKey) => 'answered';
  /** Answers a request whose key was claimed by another one. */
  answerCopy: (request: Request, claim: KeyClaim, key: IdempotencyKey) => Promise<void>;
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
    await rules.answerCopy(request, result.claim, key);
    return 'answered';
  };
