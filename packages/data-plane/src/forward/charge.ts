// What a turn needs before it is scheduled: the chain of turns that it continues (§5.9), and its most reserved in the
// program's budget (§5.3).
import { fault, duration } from '@thornsail/runtime';
import type { Account, Charged } from '../turn-records.js';
import { untilRoom } from '../edge.js';
import type { Turn } from './plan.js';
import { requests, type Next, type Request } from './request.js';

/** A turn that waits for room in its budget is refused when so little of its time is left. */
const leastWait = duration.ms(400);
/**
 * Ballots that a budget record sees for each turn of a line at most, mostly: charge and settlement, helpers beside it.
 */
const ballotsPerTurn = 8;

/** The scheduler's unit: a program's line of turns (§4.3). */
export const lineOf = (turn: Turn): string => `${turn.program}/${turn.session}`;

/** Puts the whole prompt of a turn together that continues another one (§5.9). */
export const readChain = async (request: Request): Promise<Next> => {
  const { plan, context, forwarding } = request;
  if (plan.previous === null) return 'again';
  try {
    const chain = await forwarding.kept.chain(plan.previous, requests.recordTimeout(request));
    if (!chain) return requests.reject(request, 'no_such_turn', 'there is no such earlier turn', null);
    context.chain = chain.ids;
    context.elsewhere = !chain.here;
    context.body = Buffer.concat([Buffer.from(chain.text, 'latin1'), plan.body]);
    return 'again';
  } catch (error) {
    requests.log(request, `a chain could not be read: ${fault.text(error)}.`);
    return requests.noStores(request, 'an earlier turn could not be read');
  }
};

const accountOf = (request: Request, turn: Turn, budget: number): Account => {
  const { plan, context } = request;
  // Where turns are kept, the first of a program continues none: no budget record is there yet.
  const fresh = plan.route.keepSeconds > 0 && plan.previous === null;
  const past = context.elsewhere ? ballotsPerTurn * (context.chain.length + 1) : 0;
  return { program: turn.program, budget, keepSeconds: 0, fresh, past };
};
const tryCharge = (request: Request, account: Account): Promise<Charged> => {
  const most = Math.max(1, request.plan.usage.most);
  return request.edge.turnRecords.charge(account, request.id, most, requests.recordTimeout(request));
};
const charged = (request: Request, account: Account, turn: Turn, worker: string | null): void => {
  const { edge, reservations, placement } = request;
  reservations.account = account;
  placement.preferred = worker;
  // The line of turns was at another edge before: that one forgets it (§4.4).
  if (worker !== null && !edge.adm.knowsProgram(lineOf(turn))) edge.tookOver(lineOf(turn));
};

/** Reserves the turn's most in the program's budget, before it is sent (§5.3). */
export const charge = async (request: Request): Promise<Next> => {
  const { edge, plan, reservations, response } = request;
  const { turn } = plan;
  if (turn === null || turn.budget === null) return 'again';
  const account = accountOf(request, turn, turn.budget);
  const begun = edge.runtime.clock.now();
  for (;;) {
    let result: Charged;
    try {
      result = await tryCharge(request, account);
    } catch (error) {
      requests.log(request, `a charge failed: ${fault.text(error)}.`);
      reservations.account = account; // It may have been written: the records give it back if so.
      return requests.noStores(request, 'the charge could not be kept by a majority');
    }
    if (result.ok) {
      charged(request, account, turn, result.budgetRecord.worker);
      edge.adm.observeCharge(edge.runtime.clock.now() - begun);
      return 'again';
    }
    if (result.why === 'spent') {
      edge.bump('budget_rejected');
      return requests.reject(request, 'budget_spent', 'the budget of this program is spent', null);
    }
    // Other turns of the program hold the rest of its budget: one may be settling right now.
    const wait = requests.untilGivenUp(request) - leastWait;
    if (wait < 0) {
      const text = 'other turns of this program hold its budget';
      return requests.reject(request, 'turn_open', text, requests.soon(request));
    }
    if (response.gone()) return requests.clientGone(request);
    await untilRoom(edge, turn.program, turn.budget, { left: wait, gone: response.gone });
  }
};
