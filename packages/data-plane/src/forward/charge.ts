/**
 * What a turn needs before it is scheduled: the chain of turns that it continues (§5.9), and its most reserved in the
 * program's budget (§5.3).
 */
import { fault } from '@thornsail/runtime';
import type { BudgetAccount } from '../records/budget-accounts.js';
import { chargeStep } from '../requests/charge.js';
import type { StepResult } from '../requests/steps.js';
import type { Turn } from './plan.js';
import { requests, type Request } from './request.js';

/**
 * Proposals that a budget record sees for each turn of a session at most, mostly: charge and settlement, sub-agents
 * beside it.
 */
const proposalsPerTurn = 8;

/** The scheduler's unit: a program's line of turns (§4.3). */
export const lineOf = (turn: Turn): string => `${turn.program}/${turn.session}`;

/** Puts the whole prompt of a turn together that continues another one (§5.9). */
export const readChain = async (request: Request): Promise<StepResult> => {
  const { plan, context, forwarding } = request;
  if (plan.previous === null) return 'continue';
  request.timeline.enter('context');
  try {
    const chain = await forwarding.turns.chain(plan.previous, requests.recordTimeout(request));
    if (!chain) return requests.reject(request, 'no_such_turn', 'there is no such earlier turn', null);
    context.chain = chain.ids;
    context.elsewhere = !chain.here;
    context.body = Buffer.concat([Buffer.from(chain.text, 'latin1'), plan.body]);
    return 'continue';
  } catch (error) {
    requests.log(request, `a chain could not be read: ${fault.text(error)}.`);
    return requests.storesUnavailable(request, 'an earlier turn could not be read');
  }
};

const accountOf = (request: Request, turn: Turn, budget: number): BudgetAccount => {
  const { plan, context } = request;
  // Where turns are stored, the first of a program continues none: no budget record is there yet.
  const fresh = plan.route.keepSeconds > 0 && plan.previous === null;
  const past = context.elsewhere ? proposalsPerTurn * (context.chain.length + 1) : 0;
  return { program: turn.program, budget, keepSeconds: 0, likelyNew: fresh, likelyProposals: past };
};
const charged = (request: Request, account: BudgetAccount, worker: string | null): void => {
  const { gateway, plan, reservations, placement } = request;
  reservations.account = account;
  placement.preferred = worker;
  placement.contextAt = worker;
  // The line of turns was at another gateway before: that one forgets it (§4.4).
  if (worker === null) return;
  const line = lineOf(plan.turn!);
  if (!gateway.admission.knowsProgram(line)) gateway.reportTakeover(line);
};

const chargeTurn = chargeStep<Request>({
  isCharged: (request) => request.reservations.account !== null,
  idOf: (request) => request.id,
  amount: (request) => Math.max(1, request.plan.usage.most),
  timeout: requests.recordTimeout,
  remaining: requests.untilGivenUp,
  charged: (request, account, record) => charged(request, account, record.worker),
  uncertain: (request, account) => {
    request.reservations.account = account;
  },
  reject: requests.reject,
  rejectUnavailable: requests.storesUnavailable,
  retryAfter: requests.retrySoon,
  clientDisconnected: requests.clientDisconnected,
});
/** Reserves the turn's most in the program's budget, before it is sent (§5.3). One without a budget is not charged. */
export const charge = (request: Request): StepResult | Promise<StepResult> => {
  const { turn } = request.plan;
  if (turn === null || turn.budget === null) return 'continue';
  return chargeTurn(request, accountOf(request, turn, turn.budget));
};
