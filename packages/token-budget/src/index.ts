/** Token budgets of programs: charging, settling and refunding turns. */
export { tokenBudget } from './token-budget.js';
export type { ChargeRequest, ChargeResult } from './charge.js';
export type { BudgetRecord, OpenTurn } from './record.js';
export type { Settlement } from './settle.js';
