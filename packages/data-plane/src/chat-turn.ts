/**
 * A turn of a program at the product's interface, while it is served (§5.1): its state, its time, and how it is given
 * up.
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

/** What the worker is given, and what that may cost. Tokens are counted as the scheduler counts them. */
export type ChatContext = {
  /** The stored messages before the new ones. */
  messages: unknown[];
  /** How many of them were stored. */
  base: number;
  /** Of a program that is new to this gateway: the size of its context, and the worker that has it. */
  known: { tokens: number; worker: string | null } | undefined;
  /** The most that the turn may use. */
  reserve: number;
  /** A first guess at the prompt's tokens, until the worker tells them. */
  guess: number;
};
/** State of a turn. `id` names its claim, and stays when it is sent twice. */
export type ChatTurn = ProductRequest<ChatPlan> & {
  /** Names its charge and its place in the scheduler's table; another one if it is sent a second time. */
  chargeId: string;
  charged: boolean;
  /** It stands in the scheduler's table. */
  scheduled: boolean;
  /** The worker that it was sent to last. */
  sentTo: string | null;
  /** The worker that the scheduler prefers. */
  preferred: string | null;
  /** The scheduler released it because its hold ran out. */
  forced: boolean;
  context: ChatContext;
};

const noContext: ChatContext = { messages: [], base: 0, known: undefined, reserve: 0, guess: 0 };

/** Opens a turn; nothing is claimed or charged yet. */
export const openTurn = (gateway: Gateway, plan: ChatPlan, response: HttpResponseWriter): ChatTurn => {
  const id = `${gateway.id}.${gateway.runtime.rand.id()}`;
  return {
    gateway,
    plan,
    response,
    phases: phases.open(),
    timeline: openTimeline(gateway, plan.cls, plan.program),
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

/** What may be waited: the client's patience less what charging and a first token are likely to take (§4.3). */
export const patience = (turn: ChatTurn, forced = false): Microseconds =>
  firstByteTimeout - elapsed(turn) - turn.gateway.admission.likelyDelay(turn.plan.cls, forced);

/** Takes a turn out of the scheduler's table that has no end it could learn from. */
export const leaveScheduler = (turn: ChatTurn, worker: string | null = null): void => {
  if (turn.scheduled) turn.gateway.admission.endTurn(turn.chargeId, { tokens: null, final: false, worker });
  turn.scheduled = false;
};

const closeRecords = async (turn: ChatTurn): Promise<void> => {
  const { gateway, plan } = turn;
  if (turn.charged) await gateway.budgets.refund(budgetAccountOf(plan), turn.chargeId);
  if (turn.claimed) await gateway.keys.release(idempotencyKeyOf(plan), turn.id);
};
/** Gives a turn up before anything was sent: the answer goes out first, the records follow. */
export const reject = (
  turn: ChatTurn,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
  ran?: Execution,
): 'answered' => {
  const { gateway, response } = turn;
  turn.phases.transition('reject');
  turn.timeline.ended(code);
  leaveScheduler(turn);
  turn.closing = true;
  void closeRecords(turn).finally(() => gateway.inFlight.delete(turn.id));
  gateway.responses.reject(response, code, text, ran ?? turn.phases.execution(), retryAfter);
  return 'answered';
};
/** Gives a turn up whose client has disconnected. */
export const clientDisconnected = (turn: ChatTurn): 'answered' => {
  turn.gateway.count('orphaned');
  return reject(turn, 'gone', 'the client went away', null);
};
/** Gives a turn up because no majority of stores answered. */
export const storesUnavailable = (turn: ChatTurn, text: string): 'answered' =>
  reject(turn, 'no_keepers', text, turn.gateway.responses.backoff());
