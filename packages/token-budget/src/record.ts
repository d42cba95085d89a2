/**
 * A program's budget record (§5.3): the value of its register, shared by all gateways. Names and order of the fields
 * are part of the stored format.
 */
import type { Microseconds } from '@thornsail/runtime';

/** A turn that has been charged and not yet settled. */
export type OpenTurn = {
  turn: string;
  /** Id of the gateway that serves the turn. */
  by: string;
  /** Tokens charged for the turn: the maximum that it may use. */
  reserved: number;
  /** Time of the charge, by the stores' clocks. */
  at: Microseconds;
};
/** Token budget and usage of one program, over all classes and gateways. */
export type BudgetRecord = {
  /** Budget of the class of the program's latest turn, in tokens. */
  budget: number;
  /** Tokens charged: the usage of settled turns and the reservations of open and lost ones. */
  spent: number;
  /** Open turns; their reservations are included in `spent`. */
  opens: OpenTurn[];
  /** The single open turn in the format of the previous release; read, but only ever written as null (§3.4). */
  open?: OpenTurn | null;
  /** Size of the context in tokens; with `worker` it allows any gateway to take over the program. */
  tokens: number;
  /** The worker that has the context in its KV cache; null if there is none. */
  worker: string | null;
  /** Number of turns charged and not refunded. */
  turns: number;
  /** Number of turns whose outcome is unknown; their reservations stay in `spent`. */
  lost: number;
};

/** The record of a program without any turns. */
export const newRecord = (budget: number): BudgetRecord => ({
  budget,
  spent: 0,
  opens: [],
  tokens: 0,
  worker: null,
  turns: 0,
  lost: 0,
});

/** The open turns of a record, in the current format and in that of the previous release. */
export const openTurnsOf = (record: BudgetRecord): OpenTurn[] => [
  ...(record.opens ?? []),
  ...(record.open ? [record.open] : []),
];
/** Tokens reserved by open turns. */
export const reservedTokens = (openTurns: OpenTurn[]): number =>
  openTurns.reduce((sum, { reserved }) => sum + reserved, 0);
/** Tokens that are neither spent nor reserved. */
export const remainingTokens = (record: BudgetRecord): number => Math.max(0, record.budget - record.spent);
