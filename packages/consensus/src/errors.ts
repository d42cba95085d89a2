/** The errors of this package (§3.3). Callers distinguish them by code. */
import { errorCatalogue } from '@thornsail/runtime';

/** Error codes of the consensus group and of its client. */
export const consensusErrors = errorCatalogue('ConsensusError', {
  'not-leader': { message: 'not the leader', retryable: true },
  'outcome-unknown': { message: 'outcome unknown', retryable: false },
  'no-quorum': { message: 'the coordinators gave no agreed result in time', retryable: false },
});
/** Why a member returned no agreed result: `not-leader` had no effect, `outcome-unknown` may have had one. */
export type RefusalCode = 'not-leader' | 'outcome-unknown';
