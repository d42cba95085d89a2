/** The end of an open turn (§5.3): settled by what it used, or given back where nothing was sent. */
import { invariant } from '@thornsail/runtime';
import { openTurnsOf, type BudgetRecord, type OpenTurn } from './record.js';

/** What a turn used. */
export type Settlement = {
  turn: string;
  /** Tokens that the worker counted, prompt and completion. */
  actual: number;
  /** The program's context after the turn, in tokens. */
  tokens: number;
  worker: string | null;
};

/** The open turn of that name with the open turns beside it; undefined if it is not open. */
const takeOpenTurn = (record: BudgetRecord, turn: string): { taken: OpenTurn; others: OpenTurn[] } | undefined => {
  const open = openTurnsOf(record);
  const taken = open.find((openTurn) => openTurn.turn === turn);
  return taken && { taken, others: open.filter((openTurn) => openTurn !== taken) };
};

/** Replaces a turn's reservation by what it used. One that was taken for lost meanwhile stays as it was charged. */
export const settle = (record: BudgetRecord | undefined, settlement: Settlement): BudgetRecord | undefined => {
  const found = record && takeOpenTurn(record, settlement.turn);
  if (!record || !found) return record;
  const spent = record.spent - found.taken.reserved + settlement.actual;
  invariant.hold(spent >= 0, 'spent fell below zero');
  return { ...record, spent, opens: found.others, open: null, tokens: settlement.tokens, worker: settlement.worker };
};

/** Undoes the charge of a turn of which nothing was sent and nothing can be. */
export const giveBack = (record: BudgetRecord | undefined, turn: string): BudgetRecord | undefined => {
  const found = record && takeOpenTurn(record, turn);
  if (!record || !found) return record;
  const spent = record.spent - found.taken.reserved;
  return { ...record, spent, opens: found.others, open: null, turns: record.turns - 1 };
};
