/**
 * The leader (§3.3): replicates one version at a time, confirms itself by heartbeats, answers reads, and steps down.
 */
import { invariant } from '@thornsail/runtime';
import { commit, log, otherMembers, send, writeSnapshot } from './actions.js';
import type { RefusalCode } from './errors.js';
import { ownWriteLimit } from './own-write-limit.js';
import { hasQuorum, membersChanged } from './quorum.js';
import { changeRole } from './role.js';
import type { AppendReply, Batch, HeartbeatReply, HeartbeatRound, Member, Outstanding } from './types.js';
import type { Proposal, ProposalOutcome, Snapshot, Step } from './types.js';

const noCommit = -1;

const settleProposals = <S>(step: Step<S>, proposals: readonly { proposal: number }[], code: RefusalCode): void => {
  for (const { proposal } of proposals)
    step.effects.push({ type: 'proposal-outcome', proposal, outcome: { ok: false, code } });
};

/** Gives up the lead. What was never sent has not happened; of what was, the outcome is not known. */
export const stepDown = <S>(step: Step<S>, reason: string): void => {
  const { state } = step;
  if (state.role !== 'leader') return;
  log(step, `gave up the lead: ${reason}.`);
  changeRole(step, 'stepped-down');
  state.heardAt = step.now;
  state.leader = undefined;
  settleProposals(step, state.queue, 'not-leader');
  state.queue = [];
  if (state.replication) settleProposals(step, state.replication.outcomes, 'outcome-unknown');
  state.replication = undefined;
  const { writing } = state;
  if (writing?.continuation.kind === 'replicate') {
    settleProposals(step, writing.continuation.batch.outcomes, 'outcome-unknown');
    writing.continuation.batch.outcomes = [];
  }
  for (const round of state.rounds.values()) failReads(step, round);
  state.rounds.clear();
};

/** Gives up the lead and tells the followers, so that they need not wait for its silence. */
export const resign = <S>(step: Step<S>, reason: string): void => {
  const { state } = step;
  const followers = otherMembers(step, state.accepted?.members ?? []);
  stepDown(step, reason);
  for (const { id, at } of followers)
    send(step, at, { kind: 'resign', to: id, term: state.term }, state.timing.requestTimeout, { kind: 'resign' });
};

/** A leader whose own disk takes too long hands over; its version may still be taken up from that disk. */
export const checkOwnWrite = <S>(step: Step<S>): void => {
  const { writing, lastWriteTook } = step.state;
  if (writing?.continuation.kind !== 'replicate' || step.state.role !== 'leader') return;
  if (step.now - writing.startedAt > ownWriteLimit(lastWriteTook)) resign(step, 'its disk does not answer');
};

/** Another member has promised a higher term. It may be a lone one, so this member asks for the lead again at once. */
const yieldTo = <S>(step: Step<S>, term: number): void => {
  stepDown(step, `another member has promised term ${term}`);
  step.state.heardAt = step.now - step.state.timing.electionTimeout;
  step.state.electionDelay = step.state.timing.electionTimeout + step.state.timing.heartbeat;
};

// --- replication

const sendAppend = <S>(step: Step<S>, member: Member, snapshot: Snapshot<S>): void =>
  send(
    step,
    member.at,
    { kind: 'append', to: member.id, snapshot, commitIndex: step.state.committed?.index ?? noCommit },
    step.state.timing.requestTimeout,
    { kind: 'append', member, snapshot, catchUp: false },
  );

/** Sends a version that this leader holds on its own disk to all others. */
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
  state.quorumAt = step.now;
  state.leaseFrom = Math.max(state.leaseFrom, replication.startedAt);
  commit(step, replication.snapshot);
  for (const { proposal, outcome } of replication.outcomes)
    step.effects.push({ type: 'proposal-outcome', proposal, outcome });
  sendHeartbeats(step);
  if (!replication.snapshot.members.some((member) => member.id === state.id)) stepDown(step, 'no longer a member');
};

type AppliedProposal<S> = { next: Snapshot<S>; changesMembers: boolean; outcome: ProposalOutcome };
const apply = <S>(current: Snapshot<S>, base: Snapshot<S>, { change }: Proposal<S>): AppliedProposal<S> => {
  try {
    const changed = change(current.state, current.members);
    if (changed.members)
      invariant.hold(membersChanged(base.members, changed.members) <= 1, 'a change of members takes one at a time');
    const next = { ...current, state: changed.state, members: changed.members ?? current.members };
    const outcome = { ok: true as const, index: next.index, result: changed.result };
    return { next, changesMembers: changed.members !== undefined, outcome };
  } catch (error) {
    return { next: current, changesMembers: false, outcome: { ok: false, code: 'failed', error: error as Error } };
  }
};

/** Takes proposals from the queue into one version, up to the first that changes the members. */
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

/** No proposal is taken before the leader's own term has a committed version, and only one version is under way. */
export const startReplication = <S>(step: Step<S>): void => {
  const { state } = step;
  const { accepted, committed } = state;
  if (state.role !== 'leader' || state.writing || state.replication || state.queue.length === 0 || !accepted) return;
  if (committed?.term !== state.term || committed.index !== accepted.index) return;
  const batch = takeBatch(step, accepted);
  writeSnapshot(step, batch.snapshot, { kind: 'replicate', batch });
  step.effects.push({ type: 'timer', after: ownWriteLimit(state.lastWriteTook) + 1, event: { type: 'tick' } });
};

/** Queues a proposal; a replica that is not the leader answers it with `not-leader`. */
export const propose = <S>(step: Step<S>, proposal: Proposal<S>): void => {
  if (step.state.role === 'leader') step.state.queue.push(proposal);
  else settleProposals(step, [proposal], 'not-leader');
};

/** Counts an acknowledged version, yields to a higher term, or retries after a failed request (`undefined`). */
export const onAppendReply = <S>(
  step: Step<S>,
  request: Outstanding<S> & { kind: 'append' },
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
  } else if (reply && !reply.ok && reply.term > state.term) yieldTo(step, reply.term);
  else if (replication)
    step.effects.push({
      type: 'timer',
      after: state.timing.retryDelay,
      event: { type: 'retry-append', member: member.id, term: snapshot.term, index: snapshot.index },
    });
};

/** Sends a version once more to a member that has not acknowledged it, while it is still under way. */
export const retryAppend = <S>(step: Step<S>, memberId: string, term: number, index: number): void => {
  const { state } = step;
  const snapshot = state.replication?.snapshot;
  if (state.role !== 'leader' || !snapshot || snapshot.term !== term || snapshot.index !== index) return;
  const member = snapshot.members.find((each) => each.id === memberId);
  if (member) sendAppend(step, member, snapshot);
};

// --- heartbeats and reads

const failReads = <S>(step: Step<S>, round: HeartbeatRound<S>): void => {
  for (const { read } of round.reads)
    step.effects.push({ type: 'read-outcome', read, outcome: { ok: false, code: 'outcome-unknown' } });
  round.reads = [];
};

/**
 * Before the first commit of its term only those that took it over hear heartbeats: the others get the version itself.
 * A leader whose own disk is writing sends none, so that one whose disk stalls is replaced.
 */
const heartbeatTargets = <S>(step: Step<S>, members: readonly Member[]): Member[] => {
  const { committed, term, replication } = step.state;
  const others = otherMembers(step, members);
  if (committed?.term === term) return others;
  return others.filter((member) => replication?.acknowledged.includes(member.id));
};

/** Begins a round of heartbeats; the reads are answered once a quorum has acknowledged it. */
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
  const commitIndex = state.committed?.index ?? noCommit;
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
    state.quorumAt = step.now;
    state.leaseFrom = Math.max(state.leaseFrom, round.startedAt);
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
  const message = { kind: 'append' as const, to: member.id, snapshot: accepted, commitIndex: noCommit };
  send(step, member.at, message, timeout, { kind: 'append', member, snapshot: accepted, catchUp: true });
};

/** Counts a member's answer to a round; sends the newest version to a member that lacks it. */
export const onHeartbeatReply = <S>(
  step: Step<S>,
  request: Outstanding<S> & { kind: 'heartbeat' },
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
  } else if (reply && reply.term > round.term) yieldTo(step, reply.term);
  else if (reply?.index === noCommit) catchUp(step, request.member);
  if (state.rounds.has(request.round)) settleRound(step, request.round, round);
};

/** Answered with what is committed now, once a quorum confirms this leader by a round that begins now. */
export const readCommitted = <S>(step: Step<S>, read: number): void => {
  const { state } = step;
  const { committed } = state;
  const fail = (code: RefusalCode): void =>
    void step.effects.push({ type: 'read-outcome', read, outcome: { ok: false, code } });
  if (state.role !== 'leader') fail('not-leader');
  else if (committed?.term !== state.term) fail('outcome-unknown');
  else sendHeartbeats(step, [{ read, snapshot: committed }]);
};

/** Sends the regular heartbeats; steps down after `quorumTimeout` without a quorum. */
export const onHeartbeatDue = <S>(step: Step<S>): void => {
  const { state } = step;
  if (state.role !== 'leader') return;
  const writesOwn = state.writing?.continuation.kind === 'replicate';
  if (!writesOwn) sendHeartbeats(step);
  if (step.now - state.quorumAt > state.timing.quorumTimeout) stepDown(step, 'no quorum heard');
};
/** Steps down where a version has been under way for longer than `quorumTimeout`. */
export const checkReplication = <S>(step: Step<S>): void => {
  const { replication, timing } = step.state;
  if (replication && step.now - replication.startedAt > timing.quorumTimeout) stepDown(step, 'no quorum');
};
