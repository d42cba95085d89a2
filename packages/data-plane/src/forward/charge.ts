/**
 * What a turn needs before it is scheduled: space for it in the stores and the stored turns that it continues (§5.9),
 * and its largest output reserved in the program's budget (§5.3).
 */
import { fault } from '@thornsail/runtime';
import type { BudgetAccount } from '../records/budget-accounts.js';
import { chargeStep } from '../requests/charge.js';
import type { StepResult } from '../requests/steps.js';
import type { Turn } from './plan.js';
import { requests, type Request } from './request.js';

/**
 * Upper estimate of the proposals that a budget record gets for each turn of a session: charge and settlement, also of
 * concurrent sub-agents.
 */
const proposalsPerTurn = 8;

/** The key of the scheduler's unit, which is one session of a program (§4.3). */
export const sessionKey = (turn: Turn): string => `${turn.program}/${turn.session}`;

/** Refuses a turn that could not be stored at its end, before a worker has run it. */
export const checkSpace = (request: Request): StepResult => {
  const { plan, forwarding } = request;
  if (plan.route.keepSeconds === 0 || forwarding.turns.hasSpace()) return 'continue';
  return requests.storesUnavailable(request, 'the stores have no space for another turn');
};

/** Assembles the whole prompt of a turn that continues another one (§5.9). */
export const readChain = async (request: Request): Promise<StepResult> => {
  const { plan, context, forwarding } = request;
  if (plan.previous === null) return 'continue';
  request.timeline.enter('context');
  try {
    const chain = await forwarding.turns.chain(plan.previous, requests.recordTimeout(request));
    if (!chain) return requests.reject(request, 'no_such_turn', 'there is no such earlier turn', null);
    context.chain = chain.ids;
    context.previousTurnRemote = !chain.cached;
    context.body = Buffer.concat([Buffer.from(chain.text, 'latin1'), plan.body]);
    return 'continue';
  } catch (error) {
    requests.log(request, `the chain of earlier turns could not be read: ${fault.text(error)}.`);
    return requests.storesUnavailable(request, 'an earlier turn could not be read');
  }
};

const accountOf = (request: Request, turn: Turn, budget: number): BudgetAccount => {
  const { plan, context } = request;
  // Where turns are stored, the first turn of a program continues none: there is no budget record yet.
  const fresh = plan.route.keepSeconds > 0 && plan.previous === null;
  const past = context.previousTurnRemote ? proposalsPerTurn * (context.chain.length + 1) : 0;
  return { program: turn.program, budget, keepSeconds: 0, likelyNew: fresh, likelyProposals: past };
};
const charged = (request: Request, account: BudgetAccount, worker: string | null): void => {
  const { gateway, plan, reservations, placement } = request;
  reservations.account = account;
  placement.preferred = worker;
  placement.contextWorker = worker;
  // The session was scheduled by another gateway before, which is to drop it from its scheduler (§4.4).
  if (worker === null) return;
  const session = sessionKey(plan.turn!);
  if (!gateway.admission.knowsProgram(session)) gateway.reportTakeover(session);
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
  retryAfter: requests.retryDelay,
  clientDisconnected: requests.clientDisconnected,
});
/** Reserves the turn's largest output in the program's budget before it is sent (§5.3). Without a budget: no charge. */
export const charge = (request: Request): StepResult | Promise<StepResult> => {
  const { turn } = request.plan;
  if (turn === null || turn.budget === null) return 'continue';
  return chargeTurn(request, accountOf(request, turn, turn.budget));
};
