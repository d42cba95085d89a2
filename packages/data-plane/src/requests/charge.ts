/**
 * Reserves the most that a turn may use in its program's budget, before it is sent (§5.3), and settles it afterwards.
 */
import type { BudgetRecord } from '@thornsail/token-budget';
import { tokenBudget } from '@thornsail/token-budget';
import { duration, fault, time, type Microseconds } from '@thornsail/runtime';
import type { Gateway } from '../gateway.js';
import type { BudgetAccount, ChargeResult, Usage } from '../records/budget-accounts.js';
import { closeTimeout, minimumRecordTimeout } from './deadline.js';
import type { ActiveRequest, Reject, StepResult } from './steps.js';

/** How an interface charges turns. Tokens are counted as the scheduler counts them. */
export type ChargeRules<Request> = {
  /** It was charged before, for a worker that did not get it. */
  isCharged: (request: Request) => boolean;
  /** Names the charge; another one for each time that the turn is sent and lost. */
  idOf: (request: Request) => string;
  amount: (request: Request) => number;
  timeout: (request: Request) => Microseconds;
  /** Until the caller gives up. */
  remaining: (request: Request) => Microseconds;
  charged: (request: Request, account: BudgetAccount, record: BudgetRecord) => void;
  /** The charge may have been written although no majority answered: it is refunded with the others if so. */
  uncertain: (request: Request, account: BudgetAccount) => void;
  reject: Reject<Request>;
  rejectUnavailable: (request: Request, text: string) => 'answered';
  /** In seconds, for a turn that waits for another one of its program. */
  retryAfter: (request: Request) => number;
  /** What follows if the client has disconnected before a wait; null: the wait ends by itself, and it is tried. */
  clientDisconnected: ((request: Request) => 'answered') | null;
};

/** A turn that waits for room in its budget is rejected when so little of its time remains. */
const minimumWait = duration.ms(400);
/** A waiting turn charges now and then though nothing seems to have changed: only that finds a turn that was lost. */
const chargeInterval = duration.ms(600);
/** Between two looks at the budget record: this, and up to as much again by chance. In milliseconds. */
const pollMs = 40;

/**
 * Other turns of the program have reserved the rest of its budget: waits until that has changed (§5.3). It reads the
 * register and proposes nothing, since a proposal would stand in the way of the turn that is to settle.
 */
const untilBudgetFrees = async (
  { gateway, response }: ActiveRequest,
  { program, budget }: BudgetAccount,
  limit: Microseconds,
): Promise<void> => {
  const { clock, rand } = gateway.runtime;
  const end = clock.now() + Math.min(limit, chargeInterval);
  for (;;) {
    await time.sleep(clock, duration.ms(pollMs + rand.int(pollMs)));
    if (clock.now() >= end || response.isClosed()) return;
    const record = await gateway.budgets
      .budgetRecord(program, Math.max(minimumRecordTimeout, end - clock.now()))
      .catch(() => undefined);
    if (!record || !tokenBudget.isReserved(record, budget)) return;
  }
};

/** The step that charges a turn. Waits while other turns of its program have reserved the rest of the budget. */
export const chargeStep =
  <Request extends ActiveRequest>(rules: ChargeRules<Request>) =>
  async (request: Request, account: BudgetAccount): Promise<StepResult> => {
    const { gateway, response } = request;
    if (!rules.isCharged(request)) request.timeline.enter('charge');
    const begun = gateway.runtime.clock.now();
    while (!rules.isCharged(request)) {
      let result: ChargeResult;
      try {
        const amount = rules.amount(request);
        result = await gateway.budgets.charge(account, rules.idOf(request), amount, rules.timeout(request));
      } catch (error) {
        gateway.log(`a charge failed: ${fault.text(error)}.`);
        rules.uncertain(request, account);
        return rules.rejectUnavailable(request, 'the charge could not be kept by a majority');
      }
      if (result.type === 'charged') {
        rules.charged(request, account, result.record);
        break;
      }
      if (result.type === 'exhausted') {
        gateway.count('budget_rejected');
        return rules.reject(request, 'budget_spent', 'the budget of this program is spent', null);
      }
      // Other turns of the program hold the rest of its budget: one may be settling right now.
      const wait = rules.remaining(request) - minimumWait;
      if (wait < 0) {
        const text = 'other turns of this program hold its budget';
        return rules.reject(request, 'turn_open', text, rules.retryAfter(request));
      }
      if (rules.clientDisconnected && response.isClosed()) return rules.clientDisconnected(request);
      await untilBudgetFrees(request, account, wait);
    }
    gateway.admission.observeCharge(gateway.runtime.clock.now() - begun);
    return 'continue';
  };

/** Settles what a turn used. Never rejects: a turn that could not be settled stays charged (§5.3). */
export const settleCharge = (gateway: Gateway, account: BudgetAccount, id: string, usage: Usage): Promise<void> =>
  gateway.budgets
    .settle(account, id, usage, closeTimeout)
    .catch((error) => gateway.log(`a turn was not settled and stays charged: ${fault.text(error)}.`));
