/** State and steps that the chat turns and jobs of the product API share (§5.1). */
import { duration, type Microseconds } from '@thornsail/runtime';
import { answerDuplicate } from './answer-duplicate.js';
import type { ErrorCode } from './errors.js';
import type { Execution } from './phases.js';
import type { ChatPlan, JobPlan } from './plan.js';
import { idempotencyKeyOf } from './records/idempotency-keys.js';
import { claimStep } from './requests/claim.js';
import { elapsed, minimumRecordTimeout } from './requests/deadline.js';
import type { ActiveRequest, StepResult } from './requests/steps.js';

/** State of a chat turn or of a job, from its arrival to its final answer. */
export type ProductRequest<Plan extends ChatPlan | JobPlan = ChatPlan | JobPlan> = ActiveRequest & {
  plan: Plan;
  /** Its idempotency key is claimed. */
  claimed: boolean;
  /** It was rejected: its records are closed in the background, so that the answer does not wait for the stores. */
  closing: boolean;
  /** IDs of workers that it must not be sent to. */
  excluded: Set<string>;
};

/** Time limit for everything before the first byte: a client gives up after about 2 s without any (§4.3). */
export const firstByteTimeout = duration.ms(1850);
/** Time limit, from arrival, for acquiring a slot. */
export const slotTimeout = duration.ms(1500);
/** How often a request is sent to another worker after attempts that did not reach theirs. */
export const maxUnsentRetries = 3;

/** Time until the client gives up; negative after that. */
export const remaining = (request: ProductRequest): Microseconds =>
  Math.min(firstByteTimeout, request.plan.timeLeft) - elapsed(request);
/** Timeout of a step that uses the stores. */
export const recordTimeout = (request: ProductRequest): Microseconds =>
  Math.max(minimumRecordTimeout, remaining(request));

/** Rejects a request. `ran` is reported to the caller; it defaults to the result of `phases.execution()`. */
type RejectAs<Request> = (
  request: Request,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
) => 'answered';

/**
 * The step that claims a request's key. Rejections here report `ran: unknown`, since the request may have run as an
 * earlier duplicate.
 */
export const claimKey = <Request extends ProductRequest>(
  reject: RejectAs<Request>,
): ((request: Request) => Promise<StepResult>) =>
  claimStep<Request>({
    whenStale: 'reject',
    hasKey: (request) => request.plan.key !== null,
    keyOf: (request) => idempotencyKeyOf(request.plan),
    timeout: recordTimeout,
    claimed: (request) => {
      request.claimed = true;
    },
    rejectStale: (request) =>
      reject(request, 'stale', 'this node has just woken: the request may be an old copy', 1, 'unknown'),
    rejectUnavailable: (request) => {
      const text = 'the claim could not be kept by a majority';
      return reject(request, 'no_keepers', text, request.gateway.responses.backoff(), 'unknown');
    },
    answerDuplicate: (request, claim) => {
      const { gateway, plan, response, arrivedAt } = request;
      const givesUpAt = arrivedAt + Math.min(firstByteTimeout, plan.timeLeft);
      return answerDuplicate({ gateway, plan, response, givesUpAt }, claim);
    },
  });
