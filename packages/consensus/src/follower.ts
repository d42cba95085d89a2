/** Requests that every member handles (§3.3): append, heartbeat, pre-vote, vote, form, resign and discover. */
import { noteRequest } from './group-signs.js';
import { abandonElection, commit, send, writeSnapshot, writeTerm } from './effects.js';
import { stepDown } from './leader.js';
import { isNewer } from './quorum.js';
import type { Address } from '@thornsail/runtime';
import type { Continuation, Event, Member, ReplicaState, RequestMessage, Snapshot, Step } from './types.js';

type Request<S, K extends RequestMessage<S>['kind']> = {
  call: number;
  from: Address;
  message: RequestMessage<S> & { kind: K };
};

/** The index in a reply of a replica that has accepted no version (of the term in question). */
const noIndex = -1;
const acceptedIndex = <S>(state: ReplicaState<S>, term: number): number =>
  state.accepted?.term === term ? state.accepted.index : noIndex;

/** Records contact from the leader of a term, unless the term is older than this replica's. */
const recordLeaderContact = <S>(step: Step<S>, term: number, from: Address): void => {
  const { state } = step;
  if (term < state.term) return;
  if (from !== state.at) {
    stepDown(step, 'there is a leader of a newer term');
    abandonElection(step);
  }
  state.leader = from;
  state.lastContactAt = step.now;
  state.restarted = false;
  state.removed = false;
};

const commitAt = <S>(step: Step<S>, term: number, commitIndex: number): void => {
  const { accepted } = step.state;
  if (accepted && accepted.term === term && accepted.index === commitIndex) commit(step, accepted);
};

const acknowledgeAppend = <S>(step: Step<S>, call: number): void => {
  const { term, accepted } = step.state;
  step.effects.push({ type: 'reply', call, reply: { kind: 'append', ok: true, term, index: accepted!.index } });
};
const refuseAppend = <S>(step: Step<S>, call: number): void => {
  const { term, accepted } = step.state;
  const index = accepted?.index ?? noIndex;
  step.effects.push({ type: 'reply', call, reply: { kind: 'append', ok: false, term, index } });
};
/**
 * Whether a newer version is already queued for the disk. A slow disk writes only the newest of the versions that
 * arrived during a write.
 */
const isSuperseded = <S>(state: ReplicaState<S>, snapshot: Snapshot<S>): boolean =>
  state.deferred.some(
    (event) =>
      event.type === 'request' &&
      event.message.kind === 'append' &&
      event.message.to === state.id &&
      isNewer(event.message.snapshot, snapshot),
  );
const onAppend = <S>(step: Step<S>, { call, from, message }: Request<S, 'append'>): void => {
  const { state } = step;
  const { snapshot } = message;
  if (message.to !== state.id || snapshot.term < state.term) return refuseAppend(step, call);
  recordLeaderContact(step, snapshot.term, from);
  commitAt(step, snapshot.term, message.commitIndex);
  if (isSuperseded(state, snapshot)) return refuseAppend(step, call);
  if (!state.accepted || isNewer(snapshot, state.accepted))
    writeSnapshot(step, snapshot, { kind: 'acknowledge-append', call });
  else acknowledgeAppend(step, call);
};

const acknowledgeHeartbeat = <S>(
  step: Step<S>,
  { call, from, term, commitIndex }: Continuation<S> & { kind: 'acknowledge-heartbeat' },
): void => {
  const { state } = step;
  recordLeaderContact(step, term, from);
  commitAt(step, term, commitIndex);
  const index = acceptedIndex(state, term);
  step.effects.push({ type: 'reply', call, reply: { kind: 'heartbeat', ok: true, term: state.term, index } });
};
const onHeartbeat = <S>(step: Step<S>, { call, from, message }: Request<S, 'heartbeat'>): void => {
  const { state } = step;
  const { term, commitIndex } = message;
  if (message.to !== state.id || term < state.term || !state.accepted) {
    const index = acceptedIndex(state, term);
    step.effects.push({ type: 'reply', call, reply: { kind: 'heartbeat', ok: false, term: state.term, index } });
    return;
  }
  const continuation = { kind: 'acknowledge-heartbeat' as const, call, from, term, commitIndex };
  if (term > state.term) writeTerm(step, term, continuation);
  else acknowledgeHeartbeat(step, continuation);
};

/**
 * Replies to a pre-vote without changing any state. A pre-vote request from the known leader shows that it no longer
 * leads, so the follower need not wait for the election timeout.
 */
const onPreVote = <S>(step: Step<S>, { call, from, message }: Request<S, 'pre-vote'>): void => {
  const { state } = step;
  const unformed = state.role === 'unformed';
  const isLeaderLost = step.now - state.lastContactAt >= state.timing.electionTimeout || from === state.leader;
  const ok = !unformed && message.term > state.term && state.role !== 'leader' && isLeaderLost;
  step.effects.push({ type: 'reply', call, reply: { kind: 'pre-vote', ok, term: state.term, unformed } });
};

const onVote = <S>(step: Step<S>, { call, message }: Request<S, 'vote'>): void => {
  const { state } = step;
  if (message.to !== state.id || message.term <= state.term || !state.accepted)
    step.effects.push({ type: 'reply', call, reply: { kind: 'vote', ok: false, term: state.term } });
  else writeTerm(step, message.term, { kind: 'grant-vote', call, term: message.term });
};
const grantVote = <S>(step: Step<S>, { call, term }: Continuation<S> & { kind: 'grant-vote' }): void => {
  const { state } = step;
  stepDown(step, 'it voted for another member');
  abandonElection(step);
  state.leader = undefined;
  state.lastContactAt = step.now;
  state.restarted = false;
  step.effects.push({ type: 'reply', call, reply: { kind: 'vote', ok: true, term, accepted: state.accepted } });
};

/**
 * The index of the first version, by the address of the founder that forms the group. After a founder has lost its disk
 * another one may form the group once more, with other members: each must have a version of its own.
 */
const firstIndex = (members: readonly Member[], former: Address): number =>
  members
    .map((member) => member.at)
    .sort()
    .indexOf(former);
/** Accepts the first version with the given members; `call` is null if this replica forms the group itself. */
export const formGroup = <S>(
  step: Step<S>,
  call: number | null,
  { former, members }: { former: Address; members: Member[] },
): void => {
  const { state } = step;
  const index = firstIndex(members, former);
  if (!state.accepted && index >= 0 && members.some((member) => member.id === state.id))
    writeSnapshot(step, { term: 0, index, members, state: state.initial }, { kind: 'form', call });
  else if (call !== null) step.effects.push({ type: 'reply', call, reply: { kind: 'form', ok: false } });
};
/** Only a version that is on the disk of its founder is sent: it does not form another one when it starts again. */
const sendFirstVersion = <S>(step: Step<S>): void => {
  const { state } = step;
  const { members } = state.accepted!;
  for (const member of members)
    if (member.id !== state.id)
      send(step, member.at, { kind: 'form', members }, state.timing.voteTimeout, { kind: 'form' });
};
const onFormed = <S>(step: Step<S>, call: number | null): void => {
  step.state.lastContactAt = step.now;
  step.effects.push({ type: 'log', text: 'the group was formed with the other founders.' });
  if (call === null) sendFirstVersion(step);
  else step.effects.push({ type: 'reply', call, reply: { kind: 'form', ok: true } });
};

/** The leader has resigned: the members start elections at once, one heartbeat apart in the order of the list. */
const onResign = <S>(step: Step<S>, { call, from, message }: Request<S, 'resign'>): void => {
  const { state } = step;
  const ok =
    message.to === state.id && message.term === state.term && state.leader === from && state.role === 'follower';
  if (ok) {
    const { electionTimeout, heartbeat } = state.timing;
    const rank = state.accepted?.members.findIndex((member) => member.id === state.id) ?? 0;
    state.leader = undefined;
    state.lastContactAt = step.now - electionTimeout;
    state.electionDelay = electionTimeout + Math.max(0, rank) * heartbeat;
  }
  step.effects.push({ type: 'reply', call, reply: { kind: 'resign', ok } });
};

/** Whether the handling of an event depends on the disk and so has to wait for the pending write. */
export const needsDisk = <S>(event: Event<S>): boolean =>
  event.type === 'request' && !['pre-vote', 'discover', 'resign'].includes(event.message.kind);

/** Handles a request of another member; the reply is an effect of this step or of a later one. */
export const onRequest = <S>(step: Step<S>, event: Event<S> & { type: 'request' }): void => {
  const { call, from, message } = event;
  noteRequest(step, message.kind);
  switch (message.kind) {
    case 'append':
      return onAppend(step, { call, from, message });
    case 'heartbeat':
      return onHeartbeat(step, { call, from, message });
    case 'pre-vote':
      return onPreVote(step, { call, from, message });
    case 'vote':
      return onVote(step, { call, from, message });
    case 'form':
      return formGroup(step, call, { former: from, members: message.members });
    case 'resign':
      return onResign(step, { call, from, message });
    case 'discover': {
      const { id, accepted, founding } = step.state;
      const reply = { kind: 'discover', id, formed: accepted !== undefined, founding } as const;
      step.effects.push({ type: 'reply', call, reply });
    }
  }
};

/** Sends the reply that depended on a write, once the write is synced. */
export const onMemberWritten = <S>(step: Step<S>, continuation: Continuation<S>): void => {
  if (continuation.kind === 'acknowledge-append') acknowledgeAppend(step, continuation.call);
  else if (continuation.kind === 'acknowledge-heartbeat') acknowledgeHeartbeat(step, continuation);
  else if (continuation.kind === 'grant-vote') grantVote(step, continuation);
  else if (continuation.kind === 'form') onFormed(step, continuation.call);
};
