/**
 * Reserves a turn's maximum usage in its program's budget before it is sent (§5.3), and settles it afterwards.
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
  /** Whether it is already charged, from an attempt that did not reach its worker. */
  isCharged: (request: Request) => boolean;
  /** ID of the charge; a new one after each time that the turn was sent and lost. */
  idOf: (request: Request) => string;
  /** Tokens to reserve. */
  amount: (request: Request) => number;
  timeout: (request: Request) => Microseconds;
  /** Time until the caller gives up. */
  remaining: (request: Request) => Microseconds;
  /** Called when the charge is written; `record` is the record that contains it. */
  charged: (request: Request, account: BudgetAccount, record: BudgetRecord) => void;
  /** Called when no majority answered: the charge may have been written, so it has to be refunded like one that was. */
  uncertain: (request: Request, account: BudgetAccount) => void;
  reject: Reject<Request>;
  rejectUnavailable: (request: Request, text: string) => 'answered';
  /** Value of Retry-After in seconds, for a turn that waits for another turn of its program. */
  retryAfter: (request: Request) => number;
  /** Ends a request whose client disconnected before a wait; null: the wait is cut short and the charge retried. */
  clientDisconnected: ((request: Request) => 'answered') | null;
};

/** A turn that waits for its budget is rejected when less than this remains of its time. */
const minimumWait = duration.ms(400);
/** A waiting turn retries its charge at least this often: only a charge detects reservations of lost turns. */
const chargeInterval = duration.ms(600);
/** Minimum interval between reads of the budget record, in milliseconds; a random jitter of up to as much is added. */
const pollMs = 40;

/**
 * Waits until other turns no longer reserve the rest of the program's budget, or until a charge is to be retried
 * (§5.3). It only reads the register: a proposal would compete with the turn that is about to settle.
 */
const waitForBudget = async (
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

/** The step that charges a turn. Waits while other turns of its program reserve the rest of the budget. */
export const chargeStep =
  <Request extends ActiveRequest>(rules: ChargeRules<Request>) =>
  async (request: Request, account: BudgetAccount): Promise<StepResult> => {
    const { gateway, response } = request;
    if (!rules.isCharged(request)) request.timeline.enter('charge');
    const startedAt = gateway.runtime.clock.now();
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
      // Other turns of the program reserve the rest of its budget: one of them may settle soon.
      const wait = rules.remaining(request) - minimumWait;
      if (wait < 0) {
        const text = 'other turns of this program hold its budget';
        return rules.reject(request, 'turn_open', text, rules.retryAfter(request));
      }
      if (rules.clientDisconnected && response.isClosed()) return rules.clientDisconnected(request);
      await waitForBudget(request, account, wait);
    }
    gateway.admission.observeCharge(gateway.runtime.clock.now() - startedAt);
    return 'continue';
  };

/** Settles a turn's usage. Never rejects: a turn that could not be settled stays charged (§5.3). */
export const settleCharge = (gateway: Gateway, account: BudgetAccount, id: string, usage: Usage): Promise<void> =>
  gateway.budgets
    .settle(account, id, usage, closeTimeout)
    .catch((error) => gateway.log(`a turn was not settled and stays charged: ${fault.text(error)}.`));
