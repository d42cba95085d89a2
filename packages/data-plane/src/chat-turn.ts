/**
 * State of a chat turn of the product API while it is served (§5.1), how long it may wait, and how it is rejected.
 */
import type { HttpResponseWriter, Microseconds } from '@thornsail/runtime';
import type { ErrorCode } from './errors.js';
import type { Gateway } from './gateway.js';
import { phases, type Execution } from './phases.js';
import type { ChatPlan } from './plan.js';
import { firstByteTimeout, type ProductRequest } from './product-request.js';
import { budgetAccountOf } from './records/budget-accounts.js';
import { idempotencyKeyOf } from './records/idempotency-keys.js';
import { elapsed } from './requests/deadline.js';
import { openTimeline } from './requests/timeline.js';

/** The prompt for the worker, and the tokens it may cost, counted as the scheduler counts them. */
export type ChatContext = {
  /** The stored messages before the new ones. */
  messages: unknown[];
  /** How many of the messages were stored. */
  base: number;
  /** For a program that is new to this gateway: size of its context in tokens, and the worker that has it. */
  known: { tokens: number; worker: string | null } | undefined;
  /** The most tokens that the turn may use. */
  reserve: number;
  /** Estimate of the prompt's tokens, until the worker reports them. */
  promptEstimate: number;
};
/** State of a turn. `id` identifies its claim and stays the same when it is sent again. */
export type ChatTurn = ProductRequest<ChatPlan> & {
  /** Identifies its charge and its entry in the scheduler's table; replaced when it is sent again. */
  chargeId: string;
  charged: boolean;
  /** It is in the scheduler's table. */
  scheduled: boolean;
  /** ID of the worker that it was sent to last. */
  sentTo: string | null;
  /** ID of the worker that the scheduler prefers. */
  preferred: string | null;
  /** The scheduler released it because its hold timed out. */
  forced: boolean;
  context: ChatContext;
};

const noContext: ChatContext = { messages: [], base: 0, known: undefined, reserve: 0, promptEstimate: 0 };

/** Opens a turn; nothing is claimed or charged yet. */
export const openTurn = (gateway: Gateway, plan: ChatPlan, response: HttpResponseWriter): ChatTurn => {
  const id = `${gateway.id}.${gateway.runtime.rand.id()}`;
  return {
    gateway,
    plan,
    response,
    phases: phases.open(),
    timeline: openTimeline(gateway, plan.className, plan.program),
    arrivedAt: gateway.runtime.clock.now(),
    id,
    chargeId: id,
    claimed: false,
    charged: false,
    scheduled: false,
    closing: false,
    sentTo: null,
    preferred: null,
    excluded: new Set(),
    forced: false,
    context: noContext,
  };
};

/** How long a turn may wait: until the first-byte limit, less the estimated time to charge and first token (§4.3). */
export const patience = (turn: ChatTurn, forced = false): Microseconds =>
  firstByteTimeout - elapsed(turn) - turn.gateway.admission.estimatedDelay(turn.plan.className, forced);

/** Removes a turn without a result from the scheduler's table; `worker` is the one that has its context, if any. */
export const leaveScheduler = (turn: ChatTurn, worker: string | null = null): void => {
  if (turn.scheduled) turn.gateway.admission.endTurn(turn.chargeId, { tokens: null, final: false, worker });
  turn.scheduled = false;
};

const closeRecords = async (turn: ChatTurn): Promise<void> => {
  const { gateway, plan } = turn;
  if (turn.charged) await gateway.budgets.refund(budgetAccountOf(plan), turn.chargeId);
  if (turn.claimed) await gateway.keys.release(idempotencyKeyOf(plan), turn.id);
};
/** Rejects a turn before anything was sent: answers at once and closes the records in the background. */
export const reject = (
  turn: ChatTurn,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
): 'answered' => {
  const { gateway, response } = turn;
  turn.phases.transition('reject');
  turn.timeline.setOutcome(code);
  leaveScheduler(turn);
  turn.closing = true;
  void closeRecords(turn).finally(() => gateway.inFlight.delete(turn.id));
  gateway.responses.reject(response, code, text, ran ?? turn.phases.execution(), retryAfter);
  return 'answered';
};
/** Rejects a turn whose client has disconnected. */
export const clientDisconnected = (turn: ChatTurn): 'answered' => {
  turn.gateway.count('orphaned');
  return reject(turn, 'gone', 'the client went away', null);
};
/** Rejects a turn because no majority of stores answered. */
export const storesUnavailable = (turn: ChatTurn, text: string): 'answered' =>
  reject(turn, 'no_keepers', text, turn.gateway.responses.backoff());
