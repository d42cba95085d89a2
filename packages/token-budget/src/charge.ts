/**
 * Charging a turn before it is sent (§5.3). `spent` includes the full reservation of every open turn, and a turn is
 * charged only while `spent` is below the budget, so a program exceeds its budget by at most one turn.
 */
import { invariant, type Microseconds } from '@thornsail/runtime';
import { newRecord, openTurnsOf, reservedTokens, type BudgetRecord, type OpenTurn } from './record.js';

/** The charge of one turn. */
export type ChargeRequest = {
  turn: string;
  /** Id of the gateway that charges the turn. */
  by: string;
  /** Maximum number of tokens that the turn may use, prompt and completion; at least 1. */
  reserve: number;
  /** The budget of the turn's class, in tokens. */
  budget: number;
  /** Time of the charge, by the stores' clocks. */
  at: Microseconds;
  /** Whether an open turn is lost: its gateway can no longer be serving it. */
  isLost: (openTurn: OpenTurn) => boolean;
};
/**
 * Result of a charge with the new record. `charged`: the turn may be sent once the record is written. `exhausted`: the
 * budget is spent for good. `reserved`: open turns have reserved the remaining budget, or there are too many of them; a
 * retry may succeed after one has ended.
 */
export type ChargeResult = { type: 'charged' | 'exhausted' | 'reserved'; record: BudgetRecord };

/** Maximum number of open turns of one program. */
const maxOpenTurns = 16;

/** Whether the budget is spent even if all open turns were refunded. */
export const isExhausted = (record: BudgetRecord, budget: number): boolean =>
  record.spent - reservedTokens(openTurnsOf(record)) >= budget;
/** Whether a further turn has to wait because open turns have reserved the remaining budget or reached their limit. */
export const isReserved = (record: BudgetRecord, budget: number): boolean =>
  !isExhausted(record, budget) && (record.spent >= budget || openTurnsOf(record).length >= maxOpenTurns);

/** The record without lost open turns; their reservations stay charged. */
const dropLostTurns = (record: BudgetRecord, isLost: (openTurn: OpenTurn) => boolean): BudgetRecord => {
  const open = openTurnsOf(record);
  const opens = open.filter((openTurn) => !isLost(openTurn));
  return { ...record, opens, open: null, lost: record.lost + open.length - opens.length };
};

/**
 * Charges a turn to a program's record; `previous` is undefined for a new program. Charging an open turn again changes
 * nothing.
 */
export const charge = (previous: BudgetRecord | undefined, request: ChargeRequest): ChargeResult => {
  const { turn, by, reserve, budget, at } = request;
  const current = { ...(previous ?? newRecord(budget)), budget };
  if (openTurnsOf(current).some((openTurn) => openTurn.turn === turn)) return { type: 'charged', record: current };
  const record = dropLostTurns(current, request.isLost);
  if (isExhausted(record, budget)) return { type: 'exhausted', record };
  if (isReserved(record, budget)) return { type: 'reserved', record };
  invariant.hold(reserve > 0, 'a turn must reserve at least one token');
  const opens = [...record.opens, { turn, by, reserved: reserve, at }];
  return {
    type: 'charged',
    record: { ...record, spent: record.spent + reserve, opens, turns: record.turns + 1 },
  };
};
