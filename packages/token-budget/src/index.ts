// dues: a program's token budget across all nodes, as pure changes of its register (§5.3).
import { invariant, type Us } from '@thornsail/runtime';

export type OpenTurn = { turn: string; by: string; reserved: number; at: Us };
export type Purse = {
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
export type Charge = { ok: true; purse: Purse } | { ok: false; why: 'spent' | 'open'; purse: Purse };

/** More turns of one program than this are not open at once. */
const mostOpen = 16;
const opensOf = (p: Purse): OpenTurn[] => [...(p.opens ?? []), ...(p.open ? [p.open] : [])];
const sum = (o: OpenTurn[]): number => o.reduce((a, x) => a + x.reserved, 0);

export const dues = {
  fresh: (budget: number): Purse => ({ budget, spent: 0, opens: [], tokens: 0, worker: null, turns: 0, lost: 0 }),
  left: (p: Purse): number => Math.max(0, p.budget - p.spent),
  opens: opensOf,
  /** Open turns hold all that is left, or there are too many of them: another turn waits for one to end. */
  held: (p: Purse, budget: number): boolean =>
    !dues.over(p, budget) && (p.spent >= budget || opensOf(p).length >= mostOpen),
  /** Spent, and no open turn can give enough back to change that. */
  over: (p: Purse, budget: number): boolean => p.spent - sum(opensOf(p)) >= budget,
  /**
   * Charges a turn before it is sent. Whatever other turns are open, each is in `spent` with all it may use; so the
   * last turn admitted began below the budget. `gone` says that an open turn's edge can no longer have it at hand.
   */
  charge: (
    was: Purse | undefined,
    t: { turn: string; by: string; reserve: number; budget: number; at: Us; gone: (o: OpenTurn) => boolean },
  ): Charge => {
    const p = { ...(was ?? dues.fresh(t.budget)), budget: t.budget };
    const all = opensOf(p);
    if (all.some((o) => o.turn === t.turn)) return { ok: true, purse: p };
    // The outcome of one whose edge is gone is lost: what was reserved for it stays charged.
    p.opens = all.filter((o) => !t.gone(o));
    p.open = null;
    p.lost += all.length - p.opens.length;
    if (dues.over(p, p.budget)) return { ok: false, why: 'spent', purse: p };
    if (dues.held(p, p.budget)) return { ok: false, why: 'open', purse: p };
    invariant.hold(t.reserve > 0, 'a turn reserves at least one token');
    const opens = [...p.opens, { turn: t.turn, by: t.by, reserved: t.reserve, at: t.at }];
    return { ok: true, purse: { ...p, spent: p.spent + t.reserve, opens, turns: p.turns + 1 } };
  },
  /** Settle after the turn; a turn that was taken for lost meanwhile stays as it was charged. */
  settle: (
    was: Purse | undefined,
    t: { turn: string; actual: number; tokens: number; worker: string | null },
  ): Purse | undefined => {
    const mine = was && opensOf(was).find((o) => o.turn === t.turn);
    if (!was || !mine) return was;
    const spent = was.spent - mine.reserved + t.actual;
    invariant.hold(spent >= 0, 'spent fell below zero');
    const opens = opensOf(was).filter((o) => o !== mine);
    return { ...was, spent, opens, open: null, tokens: t.tokens, worker: t.worker };
  },
  /** Nothing was sent and nothing can be: give it back. */
  giveBack: (was: Purse | undefined, turn: string): Purse | undefined => {
    const mine = was && opensOf(was).find((o) => o.turn === turn);
    if (!was || !mine) return was;
    const opens = opensOf(was).filter((o) => o !== mine);
    return { ...was, spent: was.spent - mine.reserved, opens, open: null, turns: was.turns - 1 };
  },
};
