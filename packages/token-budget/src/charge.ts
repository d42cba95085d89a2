/**
 * The charge of a turn before it is sent (§5.3). Whatever other turns are open, each is in `spent` with all it may use;
 * so the last turn that is charged began below the budget.
 */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { newRecord, openTurnsOf, reservedTokens, type BudgetRecord, type OpenTurn } from './record.js';

/** What is to be charged. */
export type ChargeRequest = {
  turn: string;
  /** The gateway that charges. */
  by: string;
  /** The most tokens that the turn may use, prompt and completion; 1 at least. */
  reserve: number;
  /** The budget of the turn's class, in tokens. */
  budget: number;
  at: Microseconds;
  /** Whether the gateway of an open turn can no longer be serving it. */
  isLost: (openTurn: OpenTurn) => boolean;
};
/**
 * `charged`: the turn may be sent once the record is written. `exhausted`: the budget is spent for good. `reserved`:
 * open turns have reserved the rest of it, so that it may be worth trying again when one has ended.
 */
export type ChargeResult = { type: 'charged' | 'exhausted' | 'reserved'; record: BudgetRecord };

/** Limit on the open turns of one program. */
const maxOpenTurns = 16;

/** Whether the budget is spent, and no open turn can give enough back to change that. */
export const isExhausted = (record: BudgetRecord, budget: number): boolean =>
  record.spent - reservedTokens(openTurnsOf(record)) >= budget;
/** Whether open turns hold all that is left, or are too many: another turn has to wait for one to end. */
export const isReserved = (record: BudgetRecord, budget: number): boolean =>
  !isExhausted(record, budget) && (record.spent >= budget || openTurnsOf(record).length >= maxOpenTurns);

/** The record without the lost turns among its open ones: what was reserved for them stays charged. */
const withoutLost = (record: BudgetRecord, isLost: (openTurn: OpenTurn) => boolean): BudgetRecord => {
  const open = openTurnsOf(record);
  const opens = open.filter((openTurn) => !isLost(openTurn));
  return { ...record, opens, open: null, lost: record.lost + open.length - opens.length };
};

/** Charges a turn to a record; undefined is the record of a new program. Charging a turn again changes nothing. */
export const charge = (previous: BudgetRecord | undefined, request: ChargeRequest): ChargeResult => {
  const { turn, by, reserve, budget, at } = request;
  const current = { ...(previous ?? newRecord(budget)), budget };
  if (openTurnsOf(current).some((openTurn) => openTurn.turn === turn)) return { type: 'charged', record: current };
  const record = withoutLost(current, request.isLost);
  if (isExhausted(record, budget)) return { type: 'exhausted', record };
  if (isReserved(record, budget)) return { type: 'reserved', record };
  invariant.hold(reserve > 0, 'a turn reserves at least one token');
  const opens = [...record.opens, { turn, by, reserved: reserve, at }];
  return {
    type: 'charged',
    record: { ...record, spent: record.spent + reserve, opens, turns: record.turns + 1 },
  };
};
