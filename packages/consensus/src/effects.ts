/** Operations shared by the parts of the state machine: emit a request, a disk write, a commit or a log line (§3.3). */
import { invariant, type Address, type Microseconds } from '@thornsail/runtime';
import { isNewer } from './quorum.js';
import { changeRole } from './role.js';
import type { Continuation, Member, OutstandingRequest, RequestMessage, Snapshot, Step, WriteEffect } from './types.js';

/** The given members without this replica. */
export const otherMembers = <S>(step: Step<S>, members: readonly Member[]): Member[] =>
  members.filter((member) => member.id !== step.state.id);

/** Emits a log line. */
export const log = <S>(step: Step<S>, text: string): void => {
  step.effects.push({ type: 'log', text });
};

/**
 * Sends a request that fails after `timeout` microseconds. `outstanding` is the context in which its reply or failure
 * is handled.
 */
export const send = <S>(
  step: Step<S>,
  address: Address,
  message: RequestMessage<S>,
  timeout: Microseconds,
  outstanding: OutstandingRequest<S>,
): void => {
  const request = step.state.nextRequest++;
  step.state.outstanding.set(request, outstanding);
  step.effects.push({ type: 'send', request, at: address, message, timeout });
};

/** Starts a write. `continuation` is the work that depends on the write; it runs only once the write is synced. */
const write = <S>(step: Step<S>, effect: WriteEffect<S>, continuation: Continuation<S>): void => {
  invariant.hold(
    step.state.pendingWrite === undefined,
    'a replica started a write before its previous write completed',
  );
  step.state.pendingWrite = { write: effect, continuation, startedAt: step.now };
  step.effects.push(effect);
};
/** Writes the term that this replica promises to follow; `continuation` runs once it is synced. */
export const writeTerm = <S>(step: Step<S>, term: number, continuation: Continuation<S>): void =>
  write(step, { type: 'write', document: 'term', term }, continuation);
/** Writes a version, which must be newer than the accepted one; `continuation` runs once it is synced. */
export const writeSnapshot = <S>(step: Step<S>, snapshot: Snapshot<S>, continuation: Continuation<S>): void => {
  const { term, accepted } = step.state;
  invariant.hold(snapshot.term >= term, `accepted term ${snapshot.term} is below the promised term ${term}`);
  invariant.hold(
    !accepted || isNewer(snapshot, accepted),
    `accepted ${snapshot.term}.${snapshot.index} is not newer than ${accepted?.term}.${accepted?.index}`,
  );
  write(step, { type: 'write', document: 'snapshot', snapshot }, continuation);
};

/** Updates the state in memory after the pending write has reached the disk. */
export const applyCompletedWrite = <S>(step: Step<S>, written: WriteEffect<S>): void => {
  const { state } = step;
  if (written.document === 'term') {
    state.term = Math.max(state.term, written.term);
    return;
  }
  state.term = Math.max(state.term, written.snapshot.term);
  state.accepted = written.snapshot;
  if (state.role === 'unformed') changeRole(step, 'formed');
};

/** Ends this replica's own election; a candidate becomes a follower. */
export const abandonElection = <S>(step: Step<S>): void => {
  step.state.election = undefined;
  if (step.state.role === 'candidate') changeRole(step, 'stepped-down');
};

/**
 * Emits the commit of a version that a quorum holds. Older versions are ignored: each was already reported, or is
 * superseded by a newer version, which contains it.
 */
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
