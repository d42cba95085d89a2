/** A program's token budget across all gateways (§5.3), as pure functions on its record. */
import { charge, isExhausted, isReserved } from './charge.js';
import { newRecord, openTurnsOf, remainingTokens } from './record.js';
import { refund, settle } from './settle.js';

/** Operations on budget records; the given records are never modified. */
export const tokenBudget = {
  newRecord,
  remainingTokens,
  openTurns: openTurnsOf,
  isExhausted,
  isReserved,
  charge,
  settle,
  refund,
};
