/** A program's token budget across all gateways (§5.3), as pure changes of its record. */
import { charge, isExhausted, isReserved } from './charge.js';
import { newRecord, openTurnsOf, remainingTokens } from './record.js';
import { giveBack, settle } from './settle.js';

/** Changes and reads budget records; a record that is handed in is never changed. */
export const tokenBudget = {
  newRecord,
  remainingTokens,
  openTurns: openTurnsOf,
  isExhausted,
  isReserved,
  charge,
  settle,
  giveBack,
};
