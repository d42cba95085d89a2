/**
 * Budgets of programs (§5.3): a register for each program holds what its turns used, and what those that are open have
 * reserved. Tokens are counted as the scheduler counts them.
 */
import type { Config } from '@thornsail/config-schema';
import type { Registers, WallClocks, Write } from '@thornsail/register-store';
import { duration, type Microseconds } from '@thornsail/runtime';
import { tokenBudget, type BudgetRecord } from '@thornsail/token-budget';
import type { ChatPlan } from '../plan.js';
import { maxTurn, retainUntil } from './retention.js';

/** A program's account. */
export type BudgetAccount = {
  program: string;
  /** Tokens that all its turns may use. */
  budget: number;
  /** For how long it is remembered at least. */
  keepSeconds: number;
  /** This is likely the program's first turn, so that there is no budget record yet. */
  fresh?: boolean;
  /** The program's last turn was at another gateway, and so many proposals its record has likely seen (§6.2). */
  past?: number;
};
/** What a turn used: tokens charged, the program's context after it in tokens, and the worker that has the context. */
export type Usage = { actual: number; tokens: number; worker: string | null };
/** `exhausted`: the budget is used up; `reserved`: open turns hold the rest. `record` is what stands afterwards. */
export type ChargeResult = { type: 'charged'; record: BudgetRecord } | { type: 'exhausted' } | { type: 'reserved' };
/** The budgets, as one gateway uses them. Time limits are microseconds; `turn` names the charge. */
export type BudgetAccounts = {
  budgetRecord: (program: string, timeout: Microseconds) => Promise<BudgetRecord | undefined>;
  /** Reserves tokens. Rejects where no majority answered; the charge may have been written all the same. */
  charge: (account: BudgetAccount, turn: string, reserve: number, timeout: Microseconds) => Promise<ChargeResult>;
  /** Puts what was used in place of what was reserved. Rejects where no majority answered. */
  settle: (account: BudgetAccount, turn: string, usage: Usage, timeout: Microseconds) => Promise<void>;
  /** Takes the charge of a turn back that was not sent. Never rejects. */
  refund: (account: BudgetAccount, turn: string) => Promise<void>;
};

/** The account that a turn of the product's interface is charged to. */
export const budgetAccountOf = (plan: ChatPlan): BudgetAccount => ({
  program: plan.program,
  budget: plan.of.budgetTokens,
  keepSeconds: plan.of.keepSeconds,
});

/** A gateway that is dead for so long does not settle its turns any more. */
const deadGatewayTimeout = duration.s(2);
const refundTimeout = duration.ms(800);
const registerOf = (program: string): string => `program/${program}`;

type Options = {
  registers: Registers;
  id: string;
  limits: () => Config['limits'];
  inFlight: ReadonlySet<string>;
  /** For how long a gateway has been dead by the membership; 0: it is not. */
  deadFor: (gateway: string) => Microseconds;
};
const open = ({ registers, id, limits, inFlight, deadFor }: Options): BudgetAccounts => {
  /** A budget is remembered at least as long as the program's conversation can be resumed. */
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
              : deadFor(open.by) > deadGatewayTimeout || wall.min - open.at > maxTurn,
        });
        if (charged.type !== 'charged') return { keep: true, result: { type: charged.type } };
        const { record } = charged;
        const expiresAt = retainRecordUntil(account, wall, promised);
        return { stored: { value: record, expiresAt }, result: { type: 'charged', record } };
      },
      timeout,
      { fresh: account.fresh === true, past: account.past ?? 0 },
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

/** Opens the budgets for one gateway. */
export const budgetAccounts = { open };
