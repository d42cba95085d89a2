/** The end of an open turn (§5.3): it is settled with its actual usage, or refunded if it was never sent. */
import { invariant } from '@thornsail/runtime';
import { openTurnsOf, type BudgetRecord, type OpenTurn } from './record.js';

/** The actual usage of a turn. */
export type Settlement = {
  turn: string;
  /** Tokens used according to the worker, prompt and completion. */
  actual: number;
  /** Size of the program's context after the turn, in tokens. */
  tokens: number;
  /** The worker that served the turn; null if unknown. */
  worker: string | null;
};

/** The open turn with the given id, and the other open turns; undefined if the turn is not open. */
const findOpenTurn = (record: BudgetRecord, turn: string): { openTurn: OpenTurn; others: OpenTurn[] } | undefined => {
  const openTurns = openTurnsOf(record);
  const openTurn = openTurns.find((candidate) => candidate.turn === turn);
  return openTurn && { openTurn, others: openTurns.filter((candidate) => candidate !== openTurn) };
};

/** Replaces a turn's reservation with its actual usage. A turn that was dropped as lost meanwhile stays charged. */
export const settle = (record: BudgetRecord | undefined, settlement: Settlement): BudgetRecord | undefined => {
  const found = record && findOpenTurn(record, settlement.turn);
  if (!record || !found) return record;
  const spent = record.spent - found.openTurn.reserved + settlement.actual;
  invariant.hold(spent >= 0, 'spent must not become negative');
  return { ...record, spent, opens: found.others, open: null, tokens: settlement.tokens, worker: settlement.worker };
};

/** Reverses the charge of a turn that was not sent and can no longer be sent. */
export const refund = (record: BudgetRecord | undefined, turn: string): BudgetRecord | undefined => {
  const found = record && findOpenTurn(record, turn);
  if (!record || !found) return record;
  const spent = record.spent - found.openTurn.reserved;
  return { ...record, spent, opens: found.others, open: null, turns: record.turns - 1 };
};
