/** A request of the product's interface while it is served (§5.1): what chat turns and jobs have in common. */
import { duration, type Microseconds } from '@thornsail/runtime';
import { answerCopy } from './answer-copy.js';
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
  /** It has claimed its key. */
  claimed: boolean;
  /** It was given up: its records are being closed behind the answer, which does not wait for the stores. */
  closing: boolean;
  /** Workers that it is not sent to any more. */
  excluded: Set<string>;
};

/** A client gives up after about two seconds of silence: all that comes before the first byte fits in this (§4.3). */
export const firstByteTimeout = duration.ms(1850);
/** How long a request may wait for a slot, from its arrival. */
export const slotTimeout = duration.ms(1500);
/** A request that reaches no worker is sent to another one up to this round, counted from 0. */
export const lastUnsentRound = 3;

/** Until the client gives up. Negative once it has. */
export const remaining = (request: ProductRequest): Microseconds =>
  Math.min(firstByteTimeout, request.plan.timeLeft) - elapsed(request);
/** How long a step of the records may take. */
export const recordTimeout = (request: ProductRequest): Microseconds =>
  Math.max(minimumRecordTimeout, remaining(request));

/** Gives a request up. `ran` is what the caller is told; by default what the phases say. */
type RejectAs<Request> = (
  request: Request,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
) => 'answered';

/** The step that claims a request's key. What is rejected here may have run as an earlier copy: nothing is promised. */
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
    answerCopy: (request, claim) => {
      const { gateway, plan, response, arrivedAt } = request;
      const givesUpAt = arrivedAt + Math.min(firstByteTimeout, plan.timeLeft);
      return answerCopy({ gateway, plan, response, givesUpAt }, claim);
    },
  });
