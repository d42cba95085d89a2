/**
 * The consensus state machine of one member (§3.3). It does no I/O: it takes events, returns effects, and changes only
 * the state that is passed in. `driver.ts` executes the effects; the model tests execute them in many orders.
 */
import { duration, type Address, type Microseconds } from '@thornsail/runtime';
import { applyCompletedWrite } from './effects.js';
import { electionDelay, onElectionWriteFailed, onPreVoteReply, onVoteReply } from './election.js';
import { requestVotes, startElection, takeOver } from './election.js';
import { needsDisk, onMemberWritten, onRequest } from './follower.js';
import { discover, onDiscoverReply } from './group-formation.js';
import { noteGroupExists } from './group-signs.js';
import {
  checkLeaderWrite,
  checkReplication,
  onAppendReply,
  onHeartbeatDue,
  onHeartbeatReply,
  propose,
} from './leader.js';
import { readCommitted, replicate, resign, retryAppend, startReplication, stepDown } from './leader.js';
import type {
  Continuation,
  Effect,
  Event,
  Founding,
  ReplicaState,
  ReplyMessage,
  Snapshot,
  Step,
  Timing,
} from './types.js';

/** The default timing, in microseconds. */
export const defaultTiming: Timing = {
  heartbeat: duration.ms(100),
  electionTimeout: duration.ms(600),
  electionSpread: duration.ms(600),
  quorumTimeout: duration.ms(1500),
  lease: duration.ms(400),
  requestTimeout: duration.ms(300),
  preVoteTimeout: duration.ms(200),
  voteTimeout: duration.ms(400),
  possibleFounderDelay: duration.s(3),
  retryDelay: duration.ms(20),
};

/**
 * The initial values of a replica. `at` is its address, `now` is in microseconds, and `random` returns an integer from
 * 0 (inclusive) to `limit` (exclusive).
 */
export type ReplicaOptions<S> = {
  id: string;
  at: Address;
  founders: Address[];
  founding: Founding;
  initial: S;
  timing: Timing;
  /** The term and the version that were read from the disk. */
  term: number;
  accepted?: Snapshot<S>;
  now: Microseconds;
  random: (limit: number) => number;
};

const create = <S>(options: ReplicaOptions<S>): ReplicaState<S> => {
  const { accepted, timing, now, random, ...rest } = options;
  const state: ReplicaState<S> = {
    ...rest,
    quietSince: now,
    timing,
    role: accepted ? 'follower' : 'unformed',
    term: Math.max(options.term, accepted?.term ?? 0),
    accepted,
    // A running leader is heard within one or two heartbeats, so a member that has just started need not wait for a
    // whole election timeout.
    lastContactAt: now - timing.electionTimeout + timing.heartbeat * 1.5,
    restarted: accepted !== undefined,
    electionDelay: 0,
    removed: false,
    lastWriteDuration: 0,
    deferred: [],
    nextRequest: 1,
    outstanding: new Map(),
    nextElection: 1,
    queue: [],
    nextRound: 1,
    rounds: new Map(),
    catchingUp: new Set(),
    acknowledgedAt: new Map(),
    quorumConfirmedAt: now,
    leaseStartedAt: 0,
    closed: false,
  };
  state.electionDelay = electionDelay(state, now, random);
  return state;
};

const onTick = <S>(step: Step<S>): void => {
  const { state } = step;
  checkReplication(step);
  checkLeaderWrite(step);
  if (state.role === 'unformed') discover(step);
  else if (state.role === 'follower' && !state.election && step.now - state.lastContactAt > state.electionDelay) {
    state.electionDelay = electionDelay(state, step.now, step.random);
    startElection(step);
  }
};

const replyOf = <S, K extends ReplyMessage<S>['kind']>(
  reply: ReplyMessage<S> | undefined,
  kind: K,
): (ReplyMessage<S> & { kind: K }) | undefined =>
  reply?.kind === kind ? (reply as ReplyMessage<S> & { kind: K }) : undefined;

const onResponse = <S>(step: Step<S>, number: number, reply: ReplyMessage<S> | undefined): void => {
  const request = step.state.outstanding.get(number);
  if (!request) return;
  step.state.outstanding.delete(number);
  switch (request.kind) {
    case 'append':
      return onAppendReply(step, request, replyOf(reply, 'append'));
    case 'heartbeat':
      return onHeartbeatReply(step, request, replyOf(reply, 'heartbeat'));
    case 'pre-vote':
      return onPreVoteReply(step, request, replyOf(reply, 'pre-vote'));
    case 'vote':
      return onVoteReply(step, request, replyOf(reply, 'vote'));
    case 'discover':
      return onDiscoverReply(step, request.at, replyOf(reply, 'discover'));
    case 'form':
    case 'resign':
  }
};

const runContinuation = <S>(step: Step<S>, continuation: Continuation<S>): void => {
  const { state } = step;
  if (continuation.kind === 'request-votes') requestVotes(step, continuation.term);
  else if (continuation.kind === 'take-over') takeOver(step, continuation.snapshot);
  else if (continuation.kind === 'replicate') {
    const { batch } = continuation;
    if (state.role === 'leader' && state.term === batch.snapshot.term) replicate(step, batch);
  } else onMemberWritten(step, continuation);
};
const onWritten = <S>(step: Step<S>): void => {
  const { pendingWrite } = step.state;
  if (!pendingWrite) return;
  step.state.pendingWrite = undefined;
  if (pendingWrite.write.document === 'snapshot') step.state.lastWriteDuration = step.now - pendingWrite.startedAt;
  applyCompletedWrite(step, pendingWrite.write);
  runContinuation(step, pendingWrite.continuation);
};
/**
 * Handles a failed write. The state in memory stays as it was and nothing was sent. A leader resigns, since another
 * member's disk may have space left.
 */
const onWriteFailed = <S>(step: Step<S>, unchanged: boolean): void => {
  const { state } = step;
  const continuation = state.pendingWrite?.continuation;
  state.pendingWrite = undefined;
  if (!continuation) return;
  if (continuation.kind === 'replicate') {
    const code = unchanged ? 'not-leader' : 'outcome-unknown';
    for (const { proposal } of continuation.batch.outcomes)
      step.effects.push({ type: 'proposal-outcome', proposal, outcome: { ok: false, code } });
    resign(step, 'it could not write a version to its disk');
  } else if (continuation.kind === 'request-votes' || continuation.kind === 'take-over') onElectionWriteFailed(step);
  else if ('call' in continuation && continuation.call !== null)
    step.effects.push({ type: 'refuse', call: continuation.call });
};

const handle = <S>(step: Step<S>, event: Event<S>): void => {
  switch (event.type) {
    case 'tick':
      return onTick(step);
    case 'heartbeat-due':
      return onHeartbeatDue(step);
    case 'request':
      return onRequest(step, event);
    case 'response':
      return onResponse(step, event.request, event.reply);
    case 'retry-append':
      return retryAppend(step, event.member, event.term, event.index);
    case 'propose':
      return propose(step, { proposal: event.proposal, change: event.change });
    case 'read':
      return readCommitted(step, event.read);
    case 'written':
      return onWritten(step);
    case 'write-failed':
      return onWriteFailed(step, event.unchanged);
    case 'group-exists':
      return noteGroupExists(step);
    case 'close':
      return close(step);
  }
};

/** Fails everything that still waits for a reply or an outcome; the replica answers nothing after it is closed. */
const close = <S>(step: Step<S>): void => {
  const { state } = step;
  stepDown(step, 'it is closing');
  state.closed = true;
  const continuation = state.pendingWrite?.continuation;
  if (continuation && 'call' in continuation && continuation.call !== null)
    step.effects.push({ type: 'refuse', call: continuation.call });
  for (const event of state.deferred) refuseClosed(step, event);
  state.deferred = [];
};
const refuseClosed = <S>(step: Step<S>, event: Event<S>): void => {
  const outcome = { ok: false as const, code: 'not-leader' as const };
  if (event.type === 'request') step.effects.push({ type: 'refuse', call: event.call });
  else if (event.type === 'propose') step.effects.push({ type: 'proposal-outcome', proposal: event.proposal, outcome });
  else if (event.type === 'read') step.effects.push({ type: 'read-outcome', read: event.read, outcome });
};

const handleDeferred = <S>(step: Step<S>): void => {
  const { state } = step;
  while (!state.pendingWrite) {
    const next = state.deferred.shift();
    if (!next) break;
    handle(step, next);
  }
  startReplication(step);
};

/** The state machine: `create` returns the initial state of a replica, `step` handles one event. */
export const replica = {
  create,
  /**
   * Handles one event and returns the effects, to be executed in order. The outcome of a write comes back as a
   * `written` or `write-failed` event.
   */
  step: <S>(
    state: ReplicaState<S>,
    event: Event<S>,
    now: Microseconds,
    random: (limit: number) => number,
  ): Effect<S>[] => {
    const step: Step<S> = { state, now, random, effects: [] };
    if (state.closed) refuseClosed(step, event);
    else if (needsDisk(event) && state.pendingWrite) state.deferred.push(event);
    else handle(step, event);
    if (!state.closed) handleDeferred(step);
    return step.effects;
  },
  /** Whether this replica is the leader and a quorum has confirmed it in a round that started within the lease. */
  isLeaseValid: <S>(state: ReplicaState<S>, now: Microseconds): boolean =>
    state.role === 'leader' && now - state.leaseStartedAt < state.timing.lease,
  /**
   * Whether a member has acknowledged a heartbeat round or a replication of this leader that started within the lease;
   * always true of this replica itself.
   */
  hasRecentContact: <S>(state: ReplicaState<S>, memberId: string, now: Microseconds): boolean =>
    memberId === state.id || now - (state.acknowledgedAt.get(memberId) ?? -Infinity) < state.timing.lease,
};
