// Guards of the lines in `token-budget` that enforce a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `token-budget`. */
export const tokenBudgetGuards: readonly Guard[] = [
  guard({
    name: 'a turn is charged only while budget remains',
    rule: '1 budget',
    file: 'token-budget/src/charge.js',
    find: 'if (isReserved(record, budget))',
    replacement: 'if (false)',
    noticedBy: { scenario: 'budget' },
    otherReplacements: [
      { file: 'token-budget/src/charge.js', find: 'if (isExhausted(record, budget))', replacement: 'if (false)' },
    ],
  }),
  guard({
    name: 'a turn is charged before it is sent',
    rule: '1 budget',
    file: 'token-budget/src/charge.js',
    find: 'spent: record.spent + reserve',
    replacement: 'spent: record.spent',
    noticedBy: { scenario: 'budget', to: 4 },
  }),
  guard({
    name: 'a lost turn stays charged',
    rule: '1 budget',
    file: 'token-budget/src/charge.js',
    find: 'opens, open: null, lost: record.lost + open.length - opens.length',
    replacement:
      'opens, open: null, spent: record.spent - reservedTokens(open) + reservedTokens(opens), ' +
      'lost: record.lost + open.length - opens.length',
    noticedBy: { test: 'token-budget/test/token-budget.test.js' },
  }),
];
