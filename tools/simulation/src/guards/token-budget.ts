// Guards of the lines of `token-budget` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `token-budget`. */
export const tokenBudgetGuards: readonly Guard[] = [
  guard({
    name: 'spent is checked',
    rule: '1 budget',
    file: 'token-budget/src/index.js',
    find: 'if (tokenBudget.held(p, p.budget))',
    replacement: 'if (false)',
    noticedBy: { scenario: 'budget' },
    also: [
      { file: 'token-budget/src/index.js', find: 'if (tokenBudget.over(p, p.budget))', replacement: 'if (false)' },
    ],
  }),
  guard({
    name: 'a turn is charged before it is sent',
    rule: '1 budget',
    file: 'token-budget/src/index.js',
    find: 'spent: p.spent + t.reserve',
    replacement: 'spent: p.spent',
    noticedBy: { scenario: 'budget', to: 4 },
  }),
  guard({
    name: 'a lost turn stays charged',
    rule: '1 budget',
    file: 'token-budget/src/index.js',
    find: 'p.lost += all.length - p.opens.length;',
    replacement: 'p.spent -= sum(all) - sum(p.opens); p.lost += all.length - p.opens.length;',
    noticedBy: { test: 'token-budget/test/token-budget.test.js' },
  }),
];
