/** Elections (§3.3): the pre-vote, which changes no durable state, the vote, and the new leader's first version. */
import { abandonElection, log, otherMembers, send, writeSnapshot, writeTerm } from './effects.js';
import { replicate } from './leader.js';
import { hasQuorum, isNewer } from './quorum.js';
import { changeRole } from './role.js';
import type { Microseconds } from '@thornsail/runtime';
import type {
  Election,
  Member,
  OutstandingRequest,
  PreVoteReply,
  ReplicaState,
  Snapshot,
  Step,
  VoteReply,
} from './types.js';

/**
 * How long no leader must have been heard before this replica starts an election. Right after a restart the members
 * use fixed delays in the order of the member list, one heartbeat apart, instead of random ones: when all restart
 * together they do not compete.
 */
export const electionDelay = <S>(
  state: ReplicaState<S>,
  now: Microseconds,
  random: Step<S>['random'],
): Microseconds => {
  const { electionTimeout, electionSpread, heartbeat } = state.timing;
  const rank = Math.max(0, state.accepted?.members.findIndex((member) => member.id === state.id) ?? 0);
  const ordered = state.restarted && now - state.lastContactAt < 2 * electionTimeout;
  return electionTimeout + (ordered ? rank * heartbeat : random(electionSpread));
};

const beginPhase = <S>(step: Step<S>, phase: Election<S>['phase'], term: number, base: Snapshot<S>): Election<S> => {
  const { state } = step;
  const number = state.nextElection++;
  const pending = otherMembers(step, base.members).length;
  state.election = {
    number,
    phase,
    term,
    base,
    granted: [state.id],
    newest: base,
    highestTerm: state.term,
    pending,
  };
  return state.election;
};

/** Starts a pre-vote: asks whether a quorum has lost contact with the leader too. No member's term changes. */
export const startElection = <S>(step: Step<S>): void => {
  const { state } = step;
  const base = state.accepted;
  if (!base || state.role !== 'follower' || state.election || state.pendingWrite || state.removed) return;
  if (!base.members.some((member) => member.id === state.id)) return;
  const term = state.term + 1;
  const election = beginPhase(step, 'pre-vote', term, base);
  for (const member of otherMembers(step, base.members))
    send(step, member.at, { kind: 'pre-vote', term }, state.timing.preVoteTimeout, {
      kind: 'pre-vote',
      member,
      election: election.number,
    });
  settlePreVote(step, election);
};

/**
 * Sends the version that added a new member to that member. A new member gets its state with this version; if the
 * leader was lost before it arrived, the member cannot vote although its vote may be needed for a quorum. Any member
 * that accepted the version may send it, as the leader would have.
 */
const sendVersionToNewMember = <S>(step: Step<S>, member: Member, snapshot: Snapshot<S>): void =>
  send(
    step,
    member.at,
    { kind: 'append', to: member.id, snapshot, commitIndex: -1 },
    step.state.timing.requestTimeout,
    { kind: 'append', member, snapshot, catchUp: true },
  );

/** Counts a reply to a pre-vote; a failed request (`undefined`) counts as a refusal. */
export const onPreVoteReply = <S>(
  step: Step<S>,
  request: OutstandingRequest<S> & { kind: 'pre-vote' },
  reply: PreVoteReply | undefined,
): void => {
  const { election } = step.state;
  if (election?.number !== request.election) return;
  election.pending -= 1;
  if (reply?.unformed) sendVersionToNewMember(step, request.member, election.base);
  if (reply?.ok) election.granted.push(request.member.id);
  election.highestTerm = Math.max(election.highestTerm, reply?.term ?? 0);
  settlePreVote(step, election);
};

const settlePreVote = <S>(step: Step<S>, election: Election<S>): void => {
  const { state } = step;
  if (hasQuorum(election.base.members, election.granted)) {
    state.election = undefined;
    const isTimedOut = step.now - state.lastContactAt >= state.timing.electionTimeout;
    if (!isTimedOut || state.role !== 'follower' || state.pendingWrite) return;
    changeRole(step, 'election-started');
    state.leader = undefined;
    const term = Math.max(state.term, election.highestTerm) + 1;
    writeTerm(step, term, { kind: 'request-votes', term });
    return;
  }
  if (election.pending > 0) return;
  state.election = undefined;
  // A member has promised a higher term to a candidate that failed. This replica adopts that term, because otherwise no
  // member could ever be elected.
  if (election.highestTerm > state.term && !state.pendingWrite)
    writeTerm(step, election.highestTerm, { kind: 'adopt-term' });
};

/** Requests the votes of the other members, once the candidate's own vote is on its disk. */
export const requestVotes = <S>(step: Step<S>, term: number): void => {
  const { state } = step;
  const base = state.accepted;
  if (state.role !== 'candidate' || state.term !== term || !base) return abandonElection(step);
  const election = beginPhase(step, 'vote', term, base);
  for (const member of otherMembers(step, base.members)) requestVote(step, election, member);
  settleVote(step, election);
};

const requestVote = <S>(step: Step<S>, { number, term }: Election<S>, member: Member): void =>
  send(step, member.at, { kind: 'vote', to: member.id, term }, step.state.timing.voteTimeout, {
    kind: 'vote',
    member,
    election: number,
  });

/** A voter returned a newer version: requests the votes of those of its members that the candidate did not know. */
const requestVotesOfUnknownMembers = <S>(step: Step<S>, election: Election<S>, newest: Snapshot<S>): void => {
  const known = new Set([...election.base.members, ...election.newest.members].map((member) => member.id));
  election.newest = newest;
  for (const member of otherMembers(step, newest.members))
    if (!known.has(member.id)) {
      election.pending += 1;
      requestVote(step, election, member);
    }
};

/** Counts a reply to a vote request; a failed request (`undefined`) counts as a refusal. */
export const onVoteReply = <S>(
  step: Step<S>,
  request: OutstandingRequest<S> & { kind: 'vote' },
  reply: VoteReply<S> | undefined,
): void => {
  const { election } = step.state;
  if (election?.number !== request.election) return;
  election.pending -= 1;
  if (reply?.ok && reply.accepted) {
    election.granted.push(request.member.id);
    if (isNewer(reply.accepted, election.newest)) requestVotesOfUnknownMembers(step, election, reply.accepted);
  }
  settleVote(step, election);
};

/** An election needs a quorum of the members that the candidate knew and of those of the newest version returned. */
const isWon = <S>(election: Election<S>): boolean =>
  hasQuorum(election.base.members, election.granted) && hasQuorum(election.newest.members, election.granted);

const settleVote = <S>(step: Step<S>, election: Election<S>): void => {
  const { state } = step;
  const { newest, term } = election;
  const isCurrent = state.role === 'candidate' && state.term === term && !state.pendingWrite;
  const isMember = newest.members.some((member) => member.id === state.id);
  const won = isWon(election) && isMember;
  if (isCurrent && !won && election.pending > 0) return;
  state.election = undefined;
  if (isCurrent && won) {
    const snapshot = { term, index: newest.index + 1, members: newest.members, state: newest.state };
    writeSnapshot(step, snapshot, { kind: 'take-over', snapshot });
    return;
  }
  state.removed = !isMember;
  abandonElection(step);
  state.lastContactAt = step.now;
};

/**
 * Becomes the leader and replicates the newest version again under the new term: it has to be the term's first commit,
 * before any proposal.
 */
export const takeOver = <S>(step: Step<S>, snapshot: Snapshot<S>): void => {
  const { state } = step;
  if (state.role !== 'candidate' || state.term !== snapshot.term) return abandonElection(step);
  changeRole(step, 'elected');
  state.leader = state.at;
  state.quorumConfirmedAt = step.now;
  state.leaseStartedAt = 0;
  log(step, `leading term ${snapshot.term} from version ${snapshot.index}.`);
  replicate(step, { snapshot, outcomes: [] });
};

/** Makes the candidate a follower after its term or its first version could not be written. */
export const onElectionWriteFailed = <S>(step: Step<S>): void => abandonElection(step);
