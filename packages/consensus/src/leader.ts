/**
 * The leader (§3.3): replicates one version at a time, confirms its leadership by heartbeats, serves reads, and steps
 * down.
 */
import { invariant } from '@thornsail/runtime';
import { commit, log, otherMembers, send, writeSnapshot } from './effects.js';
import type { RefusalCode } from './errors.js';
import { leaderWriteTimeout } from './leader-write-timeout.js';
import { hasQuorum, membersChanged } from './quorum.js';
import { changeRole } from './role.js';
import type { AppendReply, Batch, HeartbeatReply, HeartbeatRound, Member, OutstandingRequest } from './types.js';
import type { Proposal, ProposalOutcome, Snapshot, Step } from './types.js';

/** The commit index of a leader without a commit, and the index of a follower that has accepted no version. */
const noIndex = -1;

const settleProposals = <S>(step: Step<S>, proposals: readonly { proposal: number }[], code: RefusalCode): void => {
  for (const { proposal } of proposals)
    step.effects.push({ type: 'proposal-outcome', proposal, outcome: { ok: false, code } });
};

/**
 * Gives up the leadership. Queued proposals end as `not-leader`, since nothing of them was sent; the outcome of those
 * being written or replicated is unknown.
 */
export const stepDown = <S>(step: Step<S>, reason: string): void => {
  const { state } = step;
  if (state.role !== 'leader') return;
  log(step, `stepped down as leader: ${reason}.`);
  changeRole(step, 'stepped-down');
  state.lastContactAt = step.now;
  state.leader = undefined;
  settleProposals(step, state.queue, 'not-leader');
  state.queue = [];
  if (state.replication) settleProposals(step, state.replication.outcomes, 'outcome-unknown');
  state.replication = undefined;
  const { pendingWrite } = state;
  if (pendingWrite?.continuation.kind === 'replicate') {
    settleProposals(step, pendingWrite.continuation.batch.outcomes, 'outcome-unknown');
    pendingWrite.continuation.batch.outcomes = [];
  }
  for (const round of state.rounds.values()) failReads(step, round);
  state.rounds.clear();
};

/** Steps down and notifies the followers, so that they need not wait for the election timeout. */
export const resign = <S>(step: Step<S>, reason: string): void => {
  const { state } = step;
  const followers = otherMembers(step, state.accepted?.members ?? []);
  stepDown(step, reason);
  for (const { id, at } of followers)
    send(step, at, { kind: 'resign', to: id, term: state.term }, state.timing.requestTimeout, { kind: 'resign' });
};

/**
 * Resigns if the write to this leader's own disk takes too long. The version that is being written may still be
 * committed later if it reaches that disk.
 */
export const checkLeaderWrite = <S>(step: Step<S>): void => {
  const { pendingWrite, lastWriteDuration } = step.state;
  if (pendingWrite?.continuation.kind !== 'replicate' || step.state.role !== 'leader') return;
  if (step.now - pendingWrite.startedAt > leaderWriteTimeout(lastWriteDuration))
    resign(step, 'its disk is not responding');
};

/**
 * Steps down because another member has promised a higher term. That may be a single member that no majority follows,
 * so this member starts the next election without waiting for the election timeout.
 */
const stepDownForTerm = <S>(step: Step<S>, term: number): void => {
  stepDown(step, `another member has promised term ${term}`);
  step.state.lastContactAt = step.now - step.state.timing.electionTimeout;
  step.state.electionDelay = step.state.timing.electionTimeout + step.state.timing.heartbeat;
};

// --- replication

const sendAppend = <S>(step: Step<S>, member: Member, snapshot: Snapshot<S>): void =>
  send(
    step,
    member.at,
    { kind: 'append', to: member.id, snapshot, commitIndex: step.state.committed?.index ?? noIndex },
    step.state.timing.requestTimeout,
    { kind: 'append', member, snapshot, catchUp: false },
  );

/** Sends a version that is synced to this leader's own disk to all other members. */
export const replicate = <S>(step: Step<S>, batch: Batch<S>): void => {
  const { state } = step;
  state.replication = { ...batch, startedAt: step.now, acknowledged: [state.id] };
  for (const member of otherMembers(step, batch.snapshot.members)) sendAppend(step, member, batch.snapshot);
  commitIfQuorum(step);
};

const commitIfQuorum = <S>(step: Step<S>): void => {
  const { state } = step;
  const { replication } = state;
  if (!replication || !hasQuorum(replication.snapshot.members, replication.acknowledged)) return;
  state.replication = undefined;
  state.quorumConfirmedAt = step.now;
  state.leaseStartedAt = Math.max(state.leaseStartedAt, replication.startedAt);
  commit(step, replication.snapshot);
  for (const { proposal, outcome } of replication.outcomes)
    step.effects.push({ type: 'proposal-outcome', proposal, outcome });
  sendHeartbeats(step);
  if (!replication.snapshot.members.some((member) => member.id === state.id))
    stepDown(step, 'it is no longer a member');
};

type AppliedProposal<S> = { next: Snapshot<S>; changesMembers: boolean; outcome: ProposalOutcome };
const apply = <S>(current: Snapshot<S>, base: Snapshot<S>, { change }: Proposal<S>): AppliedProposal<S> => {
  try {
    const changed = change(current.state, current.members);
    if (changed.members)
      invariant.hold(
        membersChanged(base.members, changed.members) <= 1,
        'a proposal may add or remove at most one member',
      );
    const next = { ...current, state: changed.state, members: changed.members ?? current.members };
    const outcome = { ok: true as const, index: next.index, result: changed.result };
    return { next, changesMembers: changed.members !== undefined, outcome };
  } catch (error) {
    return { next: current, changesMembers: false, outcome: { ok: false, code: 'failed', error: error as Error } };
  }
};

/** Applies queued proposals to one new version, up to and including the first that changes the members. */
const takeBatch = <S>(step: Step<S>, base: Snapshot<S>): Batch<S> => {
  const { state } = step;
  let snapshot: Snapshot<S> = { ...base, term: state.term, index: base.index + 1 };
  const outcomes: Batch<S>['outcomes'] = [];
  for (let next = state.queue.shift(); next !== undefined; next = state.queue.shift()) {
    const applied = apply(snapshot, base, next);
    snapshot = applied.next;
    outcomes.push({ proposal: next.proposal, outcome: applied.outcome });
    if (applied.changesMembers) break;
  }
  return { snapshot, outcomes };
};

/**
 * Writes the next version from the queued proposals. Proposals wait until a version of the leader's own term is
 * committed, and only one version is replicated at a time.
 */
export const startReplication = <S>(step: Step<S>): void => {
  const { state } = step;
  const { accepted, committed } = state;
  if (state.role !== 'leader' || state.pendingWrite || state.replication || state.queue.length === 0 || !accepted)
    return;
  if (committed?.term !== state.term || committed.index !== accepted.index) return;
  const batch = takeBatch(step, accepted);
  writeSnapshot(step, batch.snapshot, { kind: 'replicate', batch });
  step.effects.push({ type: 'timer', after: leaderWriteTimeout(state.lastWriteDuration) + 1, event: { type: 'tick' } });
};

/** Queues a proposal; on a replica that is not the leader its outcome is `not-leader`. */
export const propose = <S>(step: Step<S>, proposal: Proposal<S>): void => {
  if (step.state.role === 'leader') step.state.queue.push(proposal);
  else settleProposals(step, [proposal], 'not-leader');
};

/** Counts an acknowledgement, steps down for a higher term, or retries a refused or failed (`undefined`) request. */
export const onAppendReply = <S>(
  step: Step<S>,
  request: OutstandingRequest<S> & { kind: 'append' },
  reply: AppendReply | undefined,
): void => {
  const { state } = step;
  const { member, snapshot } = request;
  if (request.catchUp) {
    state.catchingUp.delete(member.id);
    return;
  }
  if (state.role !== 'leader' || state.term !== snapshot.term) return;
  const { replication } = state;
  if (replication?.snapshot.index === snapshot.index && reply?.ok && reply.index >= snapshot.index) {
    replication.acknowledged.push(member.id);
    state.acknowledgedAt.set(member.id, replication.startedAt);
    commitIfQuorum(step);
  } else if (reply && !reply.ok && reply.term > state.term) stepDownForTerm(step, reply.term);
  else if (replication)
    step.effects.push({
      type: 'timer',
      after: state.timing.retryDelay,
      event: { type: 'retry-append', member: member.id, term: snapshot.term, index: snapshot.index },
    });
};

/** Resends a version to a member that has not acknowledged it, if the version is still being replicated. */
export const retryAppend = <S>(step: Step<S>, memberId: string, term: number, index: number): void => {
  const { state } = step;
  const snapshot = state.replication?.snapshot;
  if (state.role !== 'leader' || !snapshot || snapshot.term !== term || snapshot.index !== index) return;
  const member = snapshot.members.find((candidate) => candidate.id === memberId);
  if (member) sendAppend(step, member, snapshot);
};

// --- heartbeats and reads

const failReads = <S>(step: Step<S>, round: HeartbeatRound<S>): void => {
  for (const { read } of round.reads)
    step.effects.push({ type: 'read-outcome', read, outcome: { ok: false, code: 'outcome-unknown' } });
  round.reads = [];
};

/**
 * The members that get heartbeats. Before the first commit of the term these are only the members that have accepted
 * the term's first version; the others are sent the version itself.
 */
const heartbeatTargets = <S>(step: Step<S>, members: readonly Member[]): Member[] => {
  const { committed, term, replication } = step.state;
  const others = otherMembers(step, members);
  if (committed?.term === term) return others;
  return others.filter((member) => replication?.acknowledged.includes(member.id));
};

/** Starts a round of heartbeats; its reads complete once a quorum has acknowledged the round. */
export const sendHeartbeats = <S>(step: Step<S>, reads: HeartbeatRound<S>['reads'] = []): void => {
  const { state } = step;
  if (state.role !== 'leader' || !state.accepted) return;
  const { members } = state.accepted;
  const targets = heartbeatTargets(step, members);
  const number = state.nextRound++;
  const round: HeartbeatRound<S> = {
    term: state.term,
    startedAt: step.now,
    members,
    acknowledged: [state.id],
    pending: targets.length,
    reads,
  };
  state.rounds.set(number, round);
  const commitIndex = state.committed?.index ?? noIndex;
  for (const member of targets)
    send(
      step,
      member.at,
      { kind: 'heartbeat', to: member.id, term: state.term, commitIndex },
      state.timing.requestTimeout,
      { kind: 'heartbeat', member, round: number },
    );
  settleRound(step, number, round);
};

const settleRound = <S>(step: Step<S>, number: number, round: HeartbeatRound<S>): void => {
  const { state } = step;
  if (state.role === 'leader' && round.term === state.term && hasQuorum(round.members, round.acknowledged)) {
    state.quorumConfirmedAt = step.now;
    state.leaseStartedAt = Math.max(state.leaseStartedAt, round.startedAt);
    for (const { read, snapshot } of round.reads)
      step.effects.push({ type: 'read-outcome', read, outcome: { ok: true, snapshot } });
    round.reads = [];
  }
  if (round.pending > 0) return;
  failReads(step, round);
  state.rounds.delete(number);
};

/** Sends the newest committed version to a member that lacks it. */
const catchUp = <S>(step: Step<S>, member: Member): void => {
  const { state } = step;
  const { accepted, committed } = state;
  if (!accepted || committed?.index !== accepted.index || committed.term !== accepted.term) return;
  if (state.catchingUp.has(member.id)) return;
  state.catchingUp.add(member.id);
  const timeout = state.timing.requestTimeout * 2;
  const message = { kind: 'append' as const, to: member.id, snapshot: accepted, commitIndex: noIndex };
  send(step, member.at, message, timeout, { kind: 'append', member, snapshot: accepted, catchUp: true });
};

/** Counts a member's reply to a round; sends the newest version to a member that lacks it. */
export const onHeartbeatReply = <S>(
  step: Step<S>,
  request: OutstandingRequest<S> & { kind: 'heartbeat' },
  reply: HeartbeatReply | undefined,
): void => {
  const { state } = step;
  const round = state.rounds.get(request.round);
  if (!round) return;
  round.pending -= 1;
  if (reply?.ok) {
    round.acknowledged.push(request.member.id);
    state.acknowledgedAt.set(request.member.id, round.startedAt);
    if (state.accepted && reply.index < state.accepted.index) catchUp(step, request.member);
  } else if (reply && reply.term > round.term) stepDownForTerm(step, reply.term);
  else if (reply?.index === noIndex) catchUp(step, request.member);
  if (state.rounds.has(request.round)) settleRound(step, request.round, round);
};

/**
 * Linearizable read: returns the version committed now, after a quorum has confirmed this leader in a heartbeat round
 * that starts now.
 */
export const readCommitted = <S>(step: Step<S>, read: number): void => {
  const { state } = step;
  const { committed } = state;
  const fail = (code: RefusalCode): void =>
    void step.effects.push({ type: 'read-outcome', read, outcome: { ok: false, code } });
  if (state.role !== 'leader') fail('not-leader');
  else if (committed?.term !== state.term) fail('outcome-unknown');
  else sendHeartbeats(step, [{ read, snapshot: committed }]);
};

/**
 * Sends the periodic heartbeats; steps down after `quorumTimeout` without a quorum. While the leader's own disk is
 * writing a version it sends none, so that a leader with a stalled disk is replaced.
 */
export const onHeartbeatDue = <S>(step: Step<S>): void => {
  const { state } = step;
  if (state.role !== 'leader') return;
  const isWritingVersion = state.pendingWrite?.continuation.kind === 'replicate';
  if (!isWritingVersion) sendHeartbeats(step);
  if (step.now - state.quorumConfirmedAt > state.timing.quorumTimeout) stepDown(step, 'no quorum answered in time');
};
/** Steps down if the replication of a version has taken longer than `quorumTimeout`. */
export const checkReplication = <S>(step: Step<S>): void => {
  const { replication, timing } = step.state;
  if (replication && step.now - replication.startedAt > timing.quorumTimeout)
    stepDown(step, 'no quorum acknowledged its version');
};
