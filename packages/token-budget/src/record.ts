/**
 * A program's budget record (§5.3): the value of its register, shared by all gateways. The field names are those in the
 * registers, and so is the order of the fields.
 */
import type { Microseconds } from '@thornsail/runtime';

/** A turn that was charged and is not settled yet. */
export type OpenTurn = {
  turn: string;
  /** The gateway that serves it. */
  by: string;
  /** Tokens that it was charged: the most that it may use. */
  reserved: number;
  /** When it was charged, by the stores' clocks. */
  at: Microseconds;
};
/** Tokens of one program, over all classes and gateways. */
export type BudgetRecord = {
  /** The budget of the class of its latest turn. */
  budget: number;
  /** Tokens charged: those of settled turns and the reservations of open ones. */
  spent: number;
  /** Open turns; each one's reservation is in `spent`. */
  opens: OpenTurn[];
  /** As the release before this one kept its single open turn; read, and never written again (§3.4). */
  open?: OpenTurn | null;
  /** Size of its context in tokens and the worker that has it, so that any gateway can take the program over. */
  tokens: number;
  worker: string | null;
  /** Turns that were charged and not given back. */
  turns: number;
  /** Turns whose outcome is not known; what they were charged stays spent. */
  lost: number;
};

/** The record of a program that has had no turn. */
export const newRecord = (budget: number): BudgetRecord => ({
  budget,
  spent: 0,
  opens: [],
  tokens: 0,
  worker: null,
  turns: 0,
  lost: 0,
});

/** Open turns, whichever release wrote them. */
export const openTurnsOf = (record: BudgetRecord): OpenTurn[] => [
  ...(record.opens ?? []),
  ...(record.open ? [record.open] : []),
];
/** Tokens that open turns have reserved. */
export const reservedTokens = (openTurns: OpenTurn[]): number =>
  openTurns.reduce((sum, { reserved }) => sum + reserved, 0);
/** Tokens that are neither spent nor reserved. */
export const remainingTokens = (record: BudgetRecord): number => Math.max(0, record.budget - record.spent);
