// token budget: a program's token budget across all nodes, as pure changes of its register (§5.3).
import { invariant, type Microseconds } from '@thornsail/runtime';

export type OpenTurn = { turn: string; by: string; reserved: number; at: Microseconds };
export type BudgetRecord = {
  budget: number;
  spent: number;
  /** Turns that were charged and are not settled yet; each one's reservation is in `spent`. */
  opens: OpenTurn[];
  /** As the release before this one kept its single open turn; read, and never written again (§3.4). */
  open?: OpenTurn | null;
  /** Context tokens and worker, so that any edge can take the program over. */
  tokens: number;
  worker: string | null;
  turns: number;
  lost: number;
};
export type Charge =
  { ok: true; budgetRecord: BudgetRecord } | { ok: false; why: 'spent' | 'open'; budgetRecord: BudgetRecord };

/** More turns of one program than this are not open at once. */
const mostOpen = 16;
const opensOf = (p: BudgetRecord): OpenTurn[] => [...(p.opens ?? []), ...(p.open ? [p.open] : [])];
const sum = (o: OpenTurn[]): number => o.reduce((a, x) => a + x.reserved, 0);

export const tokenBudget = {
  fresh: (budget: number): BudgetRecord => ({
    budget,
    spent: 0,
    opens: [],
    tokens: 0,
    worker: null,
    turns: 0,
    lost: 0,
  }),
  left: (p: BudgetRecord): number => Math.max(0, p.budget - p.spent),
  opens: opensOf,
  /** Open turns hold all that is left, or there are too many of them: another turn waits for one to end. */
  held: (p: BudgetRecord, budget: number): boolean =>
    !tokenBudget.over(p, budget) && (p.spent >= budget || opensOf(p).length >= mostOpen),
  /** Spent, and no open turn can give enough back to change that. */
  over: (p: BudgetRecord, budget: number): boolean => p.spent - sum(opensOf(p)) >= budget,
  /**
   * Charges a turn before it is sent. Whatever other turns are open, each is in `spent` with all it may use; so the
   * last turn admitted began below the budget. `gone` says that an open turn's edge can no longer have it at hand.
   */
  charge: (
    was: BudgetRecord | undefined,
    t: { turn: string; by: string; reserve: number; budget: number; at: Microseconds; gone: (o: OpenTurn) => boolean },
  ): Charge => {
    const p = { ...(was ?? tokenBudget.fresh(t.budget)), budget: t.budget };
    const all = opensOf(p);
    if (all.some((o) => o.turn === t.turn)) return { ok: true, budgetRecord: p };
    // The outcome of one whose edge is gone is lost: what was reserved for it stays charged.
    p.opens = all.filter((o) => !t.gone(o));
    p.open = null;
    p.lost += all.length - p.opens.length;
    if (tokenBudget.over(p, p.budget)) return { ok: false, why: 'spent', budgetRecord: p };
    if (tokenBudget.held(p, p.budget)) return { ok: false, why: 'open', budgetRecord: p };
    invariant.hold(t.reserve > 0, 'a turn reserves at least one token');
    const opens = [...p.opens, { turn: t.turn, by: t.by, reserved: t.reserve, at: t.at }];
    return { ok: true, budgetRecord: { ...p, spent: p.spent + t.reserve, opens, turns: p.turns + 1 } };
  },
  /** Settle after the turn; a turn that was taken for lost meanwhile stays as it was charged. */
  settle: (
    was: BudgetRecord | undefined,
    t: { turn: string; actual: number; tokens: number; worker: string | null },
  ): BudgetRecord | undefined => {
    const mine = was && opensOf(was).find((o) => o.turn === t.turn);
    if (!was || !mine) return was;
    const spent = was.spent - mine.reserved + t.actual;
    invariant.hold(spent >= 0, 'spent fell below zero');
    const opens = opensOf(was).filter((o) => o !== mine);
    return { ...was, spent, opens, open: null, tokens: t.tokens, worker: t.worker };
  },
  /** Nothing was sent and nothing can be: give it back. */
  giveBack: (was: BudgetRecord | undefined, turn: string): BudgetRecord | undefined => {
    const mine = was && opensOf(was).find((o) => o.turn === turn);
    if (!was || !mine) return was;
    const opens = opensOf(was).filter((o) => o !== mine);
    return { ...was, spent: was.spent - mine.reserved, opens, open: null, turns: was.turns - 1 };
  },
};
