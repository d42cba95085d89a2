/** Elections (§3.3): a pre-vote that changes nothing, a vote that does, and the new leader's first version. */
import { abandonElection, log, otherMembers, send, writeSnapshot, writeTerm } from './actions.js';
import { replicate } from './leader.js';
import { hasQuorum, isNewer } from './quorum.js';
import { changeRole } from './role.js';
import type { Microseconds } from '@thornsail/runtime';
import type { Election, Member, Outstanding, PreVoteReply, ReplicaState, Snapshot, Step, VoteReply } from './types.js';

/**
 * How long nobody must have been heard. After a start of all, the members wait for one another in their order, one
 * heartbeat each, instead of by chance.
 */
export const electionDelay = <S>(
  state: ReplicaState<S>,
  now: Microseconds,
  random: Step<S>['random'],
): Microseconds => {
  const { electionTimeout, electionSpread, heartbeat } = state.timing;
  const rank = Math.max(0, state.accepted?.members.findIndex((member) => member.id === state.id) ?? 0);
  const ordered = state.restarted && now - state.heardAt < 2 * electionTimeout;
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

/** Asks whether a quorum misses the leader too; nobody's term changes by it. */
export const startElection = <S>(step: Step<S>): void => {
  const { state } = step;
  const base = state.accepted;
  if (!base || state.role !== 'follower' || state.election || state.writing || state.removed) return;
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
 * A newcomer's state comes with the version that adds it. If its leader was lost before that arrived it has no vote,
 * and its vote may be needed: whoever accepted the version passes it on, as the leader would have.
 */
const bringUp = <S>(step: Step<S>, member: Member, snapshot: Snapshot<S>): void =>
  send(
    step,
    member.at,
    { kind: 'append', to: member.id, snapshot, commitIndex: -1 },
    step.state.timing.requestTimeout,
    { kind: 'append', member, snapshot, catchUp: true },
  );

/** Counts an answer to a pre-vote; a failed request (`undefined`) counts as no. */
export const onPreVoteReply = <S>(
  step: Step<S>,
  request: Outstanding<S> & { kind: 'pre-vote' },
  reply: PreVoteReply | undefined,
): void => {
  const { election } = step.state;
  if (election?.number !== request.election) return;
  election.pending -= 1;
  if (reply?.unformed) bringUp(step, request.member, election.base);
  if (reply?.ok) election.granted.push(request.member.id);
  election.highestTerm = Math.max(election.highestTerm, reply?.term ?? 0);
  settlePreVote(step, election);
};

const settlePreVote = <S>(step: Step<S>, election: Election<S>): void => {
  const { state } = step;
  if (hasQuorum(election.base.members, election.granted)) {
    state.election = undefined;
    const silent = step.now - state.heardAt >= state.timing.electionTimeout;
    if (!silent || state.role !== 'follower' || state.writing) return;
    changeRole(step, 'election-started');
    state.leader = undefined;
    const term = Math.max(state.term, election.highestTerm) + 1;
    writeTerm(step, term, { kind: 'request-votes', term });
    return;
  }
  if (election.pending > 0) return;
  state.election = undefined;
  // A member that promised a higher term to a candidate that failed: it is followed, or no one ever could be elected.
  if (election.highestTerm > state.term && !state.writing)
    writeTerm(step, election.highestTerm, { kind: 'adopt-term' });
};

/** The candidate's own vote is on its disk: it asks for the others'. */
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

/** A voter told of a newer version: those of its members that the candidate did not know are asked too. */
const widen = <S>(step: Step<S>, election: Election<S>, newest: Snapshot<S>): void => {
  const known = new Set([...election.base.members, ...election.newest.members].map((member) => member.id));
  election.newest = newest;
  for (const member of otherMembers(step, newest.members))
    if (!known.has(member.id)) {
      election.pending += 1;
      requestVote(step, election, member);
    }
};

/** Counts an answer to a vote; a failed request (`undefined`) counts as no. */
export const onVoteReply = <S>(
  step: Step<S>,
  request: Outstanding<S> & { kind: 'vote' },
  reply: VoteReply<S> | undefined,
): void => {
  const { election } = step.state;
  if (election?.number !== request.election) return;
  election.pending -= 1;
  if (reply?.ok && reply.accepted) {
    election.granted.push(request.member.id);
    if (isNewer(reply.accepted, election.newest)) widen(step, election, reply.accepted);
  }
  settleVote(step, election);
};

/** Won by a quorum of the members that the candidate knew and of those of the newest version that it was told of. */
const isWon = <S>(election: Election<S>): boolean =>
  hasQuorum(election.base.members, election.granted) && hasQuorum(election.newest.members, election.granted);

const settleVote = <S>(step: Step<S>, election: Election<S>): void => {
  const { state } = step;
  const { newest, term } = election;
  const current = state.role === 'candidate' && state.term === term && !state.writing;
  const isMember = newest.members.some((member) => member.id === state.id);
  const won = isWon(election) && isMember;
  if (current && !won && election.pending > 0) return;
  state.election = undefined;
  if (current && won) {
    const snapshot = { term, index: newest.index + 1, members: newest.members, state: newest.state };
    writeSnapshot(step, snapshot, { kind: 'take-over', snapshot });
    return;
  }
  state.removed = !isMember;
  abandonElection(step);
  state.heardAt = step.now;
};

/** The newest version, written again under the new term: the term's first commit, before any proposal. */
export const takeOver = <S>(step: Step<S>, snapshot: Snapshot<S>): void => {
  const { state } = step;
  if (state.role !== 'candidate' || state.term !== snapshot.term) return abandonElection(step);
  changeRole(step, 'elected');
  state.leader = state.at;
  state.quorumAt = step.now;
  state.leaseFrom = 0;
  log(step, `term ${snapshot.term} goes on from version ${snapshot.index}.`);
  replicate(step, { snapshot, outcomes: [] });
};

/** The candidate's term or first version was not written: it is a follower again. */
export const onElectionWriteFailed = <S>(step: Step<S>): void => abandonElection(step);
