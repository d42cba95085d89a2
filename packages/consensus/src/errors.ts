/** The errors of this package. Callers decide by their codes (§3.3). */
import { errorCatalogue } from '@thornsail/runtime';

/** Codes of the consensus group and of the client that reaches it. */
export const consensusErrors = errorCatalogue('ConsensusError', {
  'not-leader': { message: 'not the leader', retryable: true },
  'outcome-unknown': { message: 'outcome unknown', retryable: false },
  'no-quorum': { message: 'the coordinators gave no agreed result in time', retryable: false },
});
/** Why a member could not give an agreed answer: `not-leader` had no effect, `outcome-unknown` may have had one. */
export type RefusalCode = 'not-leader' | 'outcome-unknown';
