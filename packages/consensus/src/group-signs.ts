/** Signs that a group exists, after which a possible founder forms none (§3.3). */
import type { RequestMessage, Step } from './types.js';

/**
 * Requests that show that a quorum of a group was formed. A pre-vote doesn't: the member that sends it may be the only
 * one that has formed. It restarts the delay, so that no group is formed beside members that are too few to elect.
 */
const requestsOfGroups: ReadonlySet<RequestMessage<unknown>['kind']> = new Set([
  'append',
  'heartbeat',
  'vote',
  'resign',
]);
/** Handles that a group exists, for good: a possible founder is none any more. */
export const noteGroupExists = <S>({ state, effects }: Step<S>): void => {
  if (state.founding !== 'possible') return;
  state.founding = 'none';
  state.founders = [];
  effects.push({ type: 'forget-founders' });
};
/** Notes from a request whether a group exists. */
export const noteRequest = <S>(step: Step<S>, kind: RequestMessage<S>['kind']): void => {
  if (requestsOfGroups.has(kind)) noteGroupExists(step);
  if (kind === 'pre-vote') step.state.quietSince = step.now;
};
