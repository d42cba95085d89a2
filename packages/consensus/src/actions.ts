/** What several parts of the state machine do: send a request, ask for a write, learn of a commit (§3.3). */
import { invariant, type Address, type Microseconds } from '@thornsail/runtime';
import { isNewer } from './quorum.js';
import { changeRole } from './role.js';
import type { Continuation, Member, Outstanding, RequestMessage, Snapshot, Step, WriteEffect } from './types.js';

/** The given members without this replica. */
export const otherMembers = <S>(step: Step<S>, members: readonly Member[]): Member[] =>
  members.filter((member) => member.id !== step.state.id);

/** Asks for a line in the log. */
export const log = <S>(step: Step<S>, text: string): void => {
  step.effects.push({ type: 'log', text });
};

/**
 * Sends a request, which fails after `timeout` microseconds; `outstanding` says what its reply, or its failure, is
 * for.
 */
export const send = <S>(
  step: Step<S>,
  at: Address,
  message: RequestMessage<S>,
  timeout: Microseconds,
  outstanding: Outstanding<S>,
): void => {
  const request = step.state.nextRequest++;
  step.state.outstanding.set(request, outstanding);
  step.effects.push({ type: 'send', request, at, message, timeout });
};

/** Nothing that rests on the write is done before it is synced: `continuation` says what is. */
const write = <S>(step: Step<S>, effect: WriteEffect<S>, continuation: Continuation<S>): void => {
  invariant.hold(step.state.writing === undefined, 'two writes of a replica at once');
  step.state.writing = { write: effect, continuation, startedAt: step.now };
  step.effects.push(effect);
};
/** Writes a term that this replica promises; `continuation` follows once it is synced. */
export const writeTerm = <S>(step: Step<S>, term: number, continuation: Continuation<S>): void =>
  write(step, { type: 'write', document: 'term', term }, continuation);
/** Writes a version, which must be newer than the accepted one; `continuation` follows once it is synced. */
export const writeSnapshot = <S>(step: Step<S>, snapshot: Snapshot<S>, continuation: Continuation<S>): void => {
  const { term, accepted } = step.state;
  invariant.hold(snapshot.term >= term, `accepted term ${snapshot.term} below the promised ${term}`);
  invariant.hold(
    !accepted || isNewer(snapshot, accepted),
    `accepted ${snapshot.term}.${snapshot.index} over ${accepted?.term}.${accepted?.index}`,
  );
  write(step, { type: 'write', document: 'snapshot', snapshot }, continuation);
};

/** The write under way is on the disk: the state in memory follows it. */
export const applyWritten = <S>(step: Step<S>, written: WriteEffect<S>): void => {
  const { state } = step;
  if (written.document === 'term') {
    state.term = Math.max(state.term, written.term);
    return;
  }
  state.term = Math.max(state.term, written.snapshot.term);
  state.accepted = written.snapshot;
  if (state.role === 'unformed') changeRole(step, 'formed');
};

/** Ends this replica's own election; a candidate is a follower again. */
export const abandonElection = <S>(step: Step<S>): void => {
  step.state.election = undefined;
  if (step.state.role === 'candidate') changeRole(step, 'stepped-down');
};

/** Tells of a version that a quorum holds; older ones were told already, or are contained in a newer one. */
export const commit = <S>(step: Step<S>, snapshot: Snapshot<S>): void => {
  const { committed } = step.state;
  if (committed && snapshot.index <= committed.index) {
    invariant.hold(
      snapshot.index < committed.index || snapshot.term >= committed.term,
      `version ${snapshot.index} committed twice with different terms`,
    );
    return;
  }
  step.state.committed = snapshot;
  step.effects.push({ type: 'commit', snapshot });
};
