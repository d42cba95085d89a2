/**
 * Budgets of programs (§5.3): one register for each program holds the tokens that its finished turns used and the
 * tokens that its open turns have reserved. Tokens are counted as the scheduler counts them.
 */
import type { Config } from '@thornsail/config-schema';
import type { Registers, WallClocks, Write } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { tokenBudget, type BudgetRecord } from '@thornsail/token-budget';
import type { ChatPlan } from '../plan.js';
import { maxTurnDuration, retainUntil } from './retention.js';

/** What a program's budget record is identified and limited by. */
export type BudgetAccount = {
  program: string;
  /** Tokens that all its turns together may use. */
  budget: number;
  /** Minimum retention of the record. */
  keepSeconds: number;
  /** This is likely the program's first turn: a budget record probably does not exist yet. */
  likelyNew?: boolean;
  /** The program's last turn ran at another gateway; its register has likely seen this many proposals (§6.2). */
  likelyProposals?: number;
};
/** Usage of a turn: tokens charged, size of the program's context after it in tokens, worker that has the context. */
export type Usage = { actual: number; tokens: number; worker: string | null };
/** `exhausted`: the budget is used up; `reserved`: open turns reserve the rest. `record`: the record as written. */
export type ChargeResult = { type: 'charged'; record: BudgetRecord } | { type: 'exhausted' } | { type: 'reserved' };
/** Operations on budgets. `turn` is the ID of the charge. */
export type BudgetAccounts = {
  /** Reads a program's record. Rejects if no majority of stores answers. */
  budgetRecord: (program: string, timeout: Microseconds) => Promise<BudgetRecord | undefined>;
  /** Reserves tokens. Rejects if no majority of stores answers; the charge may have been written nevertheless. */
  charge: (account: BudgetAccount, turn: string, reserve: number, timeout: Microseconds) => Promise<ChargeResult>;
  /** Replaces the reservation by the actual usage. Rejects if no majority of stores answers. */
  settle: (account: BudgetAccount, turn: string, usage: Usage, timeout: Microseconds) => Promise<void>;
  /** Removes the charge of a turn that was not sent. Never rejects. */
  refund: (account: BudgetAccount, turn: string) => Promise<void>;
};

/** The account that a chat turn of the product API is charged to. */
export const budgetAccountOf = (plan: ChatPlan): BudgetAccount => ({
  program: plan.program,
  budget: plan.classSettings.budgetTokens,
  keepSeconds: plan.classSettings.keepSeconds,
});

/** A gateway that has been dead for this long no longer settles its turns, so its reservations count as lost. */
const deadGatewayTimeout = duration.s(2);
const refundTimeout = duration.ms(800);
const registerOf = (program: string): string => `program/${program}`;

type Options = {
  registers: Registers;
  id: string;
  limits: () => Config['limits'];
  /** IDs of this gateway's own requests that are still open. */
  inFlight: ReadonlySet<string>;
  /** How long the membership has considered a gateway dead; 0 if it is not dead. */
  deadFor: (gateway: string) => Microseconds;
};
const open = ({ registers, id, limits, inFlight, deadFor }: Options): BudgetAccounts => {
  /** The record is retained at least as long as the program's conversation can be resumed. */
  const retainRecordUntil = (account: BudgetAccount, wall: WallClocks, promised: Microseconds): Microseconds =>
    retainUntil(wall, promised, Math.max(limits().programKeepSeconds, account.keepSeconds));
  const changeRecord = (
    account: BudgetAccount,
    update: (current: BudgetRecord | undefined) => BudgetRecord | undefined,
    timeout: Microseconds,
  ): Promise<void> =>
    registers.change<void>(
      registerOf(account.program),
      (value, wall, promised): Write<void> => {
        const next = update(value as BudgetRecord | undefined);
        return next === value || next === undefined
          ? { keep: true, result: undefined }
          : { stored: { value: next, expiresAt: retainRecordUntil(account, wall, promised) }, result: undefined };
      },
      timeout,
    );
  const charge: BudgetAccounts['charge'] = (account, turn, reserve, timeout) =>
    registers.change<ChargeResult>(
      registerOf(account.program),
      (value, wall, promised) => {
        const charged = tokenBudget.charge(value as BudgetRecord | undefined, {
          turn,
          by: id,
          reserve,
          budget: account.budget,
          at: wall.max,
          isLost: (open) =>
            open.by === id
              ? !inFlight.has(open.turn)
              : deadFor(open.by) > deadGatewayTimeout || wall.min - open.at > maxTurnDuration,
        });
        if (charged.type !== 'charged') return { keep: true, result: { type: charged.type } };
        const { record } = charged;
        const expiresAt = retainRecordUntil(account, wall, promised);
        return { stored: { value: record, expiresAt }, result: { type: 'charged', record } };
      },
      timeout,
      { expectAbsent: account.likelyNew === true, skipBallots: account.likelyProposals ?? 0 },
    );
  return {
    budgetRecord: (program, timeout) =>
      registers.read(registerOf(program), timeout) as Promise<BudgetRecord | undefined>,
    charge,
    settle: (account, turn, usage, timeout) =>
      changeRecord(account, (current) => tokenBudget.settle(current, { turn, ...usage }), timeout),
    refund: (account, turn) =>
      changeRecord(account, (current) => tokenBudget.refund(current, turn), refundTimeout).catch(() => undefined),
  };
};

/** Opens the budgets of one gateway. */
export const budgetAccounts = { open };
