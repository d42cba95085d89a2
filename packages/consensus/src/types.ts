/** Types of the consensus state machine (§3.3): its state, the events that it handles and the effects that it emits. */
import type { Address, Microseconds } from '@thornsail/runtime';
import type { RefusalCode } from './errors.js';

/** A voting member: its identity, which is lost with its disk, and its address (`at`). */
export type Member = { id: string; at: Address };
/** One version of the replicated state, always sent and stored in full. Versions are ordered by (term, index). */
export type Snapshot<S> = { term: number; index: number; members: Member[]; state: S };
/** A proposed change, applied by the leader to its newest version. It may add or remove at most one member. */
export type Change<S, R> = (state: S, members: Member[]) => { state: S; members?: Member[]; result: R };
/** The roles of a replica. An `unformed` replica holds no version and grants no votes. */
export type Role = 'unformed' | 'follower' | 'candidate' | 'leader';

/**
 * Whether a replica is a founder of the first group. `certain`: it was named one at the first start. `possible`: its
 * disk was empty at a later start, since it was killed during the first one or has lost its disk.
 */
export type Founding = 'certain' | 'possible' | 'none';
/** Intervals and timeouts in microseconds. */
export type Timing = {
  heartbeat: Microseconds;
  /** A follower without contact with a leader for this long may start an election. */
  electionTimeout: Microseconds;
  /** Upper bound of the random delay that is added to the election timeout. */
  electionSpread: Microseconds;
  /** A leader that has reached no quorum for this long steps down. */
  quorumTimeout: Microseconds;
  /** How long the lease lasts from the start of a round that a quorum confirmed; below the election timeout. */
  lease: Microseconds;
  requestTimeout: Microseconds;
  preVoteTimeout: Microseconds;
  voteTimeout: Microseconds;
  /** How long possible founders wait for a sign of an existing group before they form one. */
  possibleFounderDelay: Microseconds;
  retryDelay: Microseconds;
};

/** Requests between members. `to` is the recipient's identity: a member with another identity must not accept it. */
export type RequestMessage<S> =
  | { kind: 'append'; to: string; snapshot: Snapshot<S>; commitIndex: number }
  | { kind: 'heartbeat'; to: string; term: number; commitIndex: number }
  | { kind: 'pre-vote'; term: number }
  | { kind: 'vote'; to: string; term: number }
  | { kind: 'discover' }
  | { kind: 'form'; members: Member[] }
  /** Sent by a leader that steps down, so that its followers need not wait for the election timeout. */
  | { kind: 'resign'; to: string; term: number };
/** The reply to an append. `index` is that of the accepted version, -1 without one; `ok` is false if it was refused. */
export type AppendReply = { kind: 'append'; ok: boolean; term: number; index: number };
/** The reply to a heartbeat. `index` is that of the version accepted in the heartbeat's term, -1 without one. */
export type HeartbeatReply = { kind: 'heartbeat'; ok: boolean; term: number; index: number };
/** Whether the member would grant its vote; `unformed` if it holds no version. */
export type PreVoteReply = { kind: 'pre-vote'; ok: boolean; term: number; unformed: boolean };
/** The reply to a vote request. A granted vote carries the newest version that the voter has accepted. */
export type VoteReply<S> = { kind: 'vote'; ok: boolean; term: number; accepted?: Snapshot<S> };
/**
 * The identity of the replica at an address, whether it is a member already, and whether it may form the group: a
 * replica that has started again without its disk no longer knows that it is a founder.
 */
export type DiscoverReply = { kind: 'discover'; id: string; formed: boolean; founding: Founding };
/** Whether the first version was accepted. */
export type FormReply = { kind: 'form'; ok: boolean };
/** Whether the follower will start an election early. */
export type ResignReply = { kind: 'resign'; ok: boolean };
/** Replies between members, each to the request of the same kind. */
export type ReplyMessage<S> =
  AppendReply | HeartbeatReply | PreVoteReply | VoteReply<S> | DiscoverReply | FormReply | ResignReply;

/**
 * The outcome of a proposal. `not-leader` and `failed` had no effect, the latter because the change threw an error;
 * `outcome-unknown` may have had one.
 */
export type ProposalOutcome =
  | { ok: true; index: number; result: unknown }
  | { ok: false; code: RefusalCode }
  | { ok: false; code: 'failed'; error: Error };
/** The outcome of a read. `not-leader`: this replica is not the leader; `outcome-unknown`: no quorum confirmed it. */
export type ReadOutcome<S> = { ok: true; snapshot: Snapshot<S> } | { ok: false; code: RefusalCode };

/** A change with the number that its outcome refers to. */
export type Proposal<S> = { proposal: number; change: Change<S, unknown> };

/** An input of the state machine; each event is handled in one step. */
export type Event<S> =
  | { type: 'tick' }
  | { type: 'heartbeat-due' }
  | { type: 'request'; call: number; from: Address; message: RequestMessage<S> }
  /** `reply` is absent if the request was lost, refused or timed out. */
  | { type: 'response'; request: number; reply?: ReplyMessage<S> }
  | { type: 'retry-append'; member: string; term: number; index: number }
  | ({ type: 'propose' } & Proposal<S>)
  | { type: 'read'; read: number }
  | { type: 'written' }
  /** `unchanged`: the disk is certain to hold the previous content. */
  | { type: 'write-failed'; unchanged: boolean }
  /** Other nodes have told this one that a group exists. */
  | { type: 'group-exists' }
  | { type: 'close' };

/** Writes one of the two durable documents. */
export type WriteEffect<S> =
  { type: 'write'; document: 'term'; term: number } | { type: 'write'; document: 'snapshot'; snapshot: Snapshot<S> };
/** An output of a step, executed by the driver. Times are in microseconds. */
export type Effect<S> =
  | { type: 'send'; request: number; at: Address; message: RequestMessage<S>; timeout: Microseconds }
  | { type: 'reply'; call: number; reply: ReplyMessage<S> }
  /** Fails the call without a reply, because its write failed or the replica is closed. */
  | { type: 'refuse'; call: number }
  /** The driver syncs the document and answers with `written` or `write-failed`; at most one write is pending. */
  | WriteEffect<S>
  /** Notes on the disk that this replica is no founder; nothing waits for it. */
  | { type: 'forget-founders' }
  | { type: 'commit'; snapshot: Snapshot<S> }
  | { type: 'proposal-outcome'; proposal: number; outcome: ProposalOutcome }
  | { type: 'read-outcome'; read: number; outcome: ReadOutcome<S> }
  | { type: 'timer'; after: Microseconds; event: Event<S> }
  | { type: 'log'; text: string };

/** The work to do once the pending write is synced. */
export type Continuation<S> =
  | { kind: 'acknowledge-append'; call: number }
  | { kind: 'acknowledge-heartbeat'; call: number; from: Address; term: number; commitIndex: number }
  | { kind: 'grant-vote'; call: number; term: number }
  | { kind: 'form'; call: number | null }
  | { kind: 'adopt-term' }
  | { kind: 'request-votes'; term: number }
  | { kind: 'take-over'; snapshot: Snapshot<S> }
  | { kind: 'replicate'; batch: Batch<S> };
/** One version with the proposals that it carries, and the outcome of each once the version is committed. */
export type Batch<S> = { snapshot: Snapshot<S>; outcomes: { proposal: number; outcome: ProposalOutcome }[] };

/** The context of a request that awaits its reply. */
export type OutstandingRequest<S> =
  | { kind: 'append'; member: Member; snapshot: Snapshot<S>; catchUp: boolean }
  | { kind: 'heartbeat'; member: Member; round: number }
  | { kind: 'pre-vote'; member: Member; election: number }
  | { kind: 'vote'; member: Member; election: number }
  | { kind: 'discover'; at: Address }
  | { kind: 'form' }
  | { kind: 'resign' };
/** One round of heartbeats with the reads that wait for it; `pending` counts the outstanding replies. */
export type HeartbeatRound<S> = {
  term: number;
  startedAt: Microseconds;
  members: Member[];
  acknowledged: string[];
  pending: number;
  reads: { read: number; snapshot: Snapshot<S> }[];
};
/** One phase of an election; `granted` holds identities, `pending` counts the outstanding replies. */
export type Election<S> = {
  number: number;
  phase: 'pre-vote' | 'vote';
  term: number;
  /** The candidate's own version when the phase began. */
  base: Snapshot<S>;
  granted: string[];
  /** The newest version among the candidate's own and those that the voters returned. */
  newest: Snapshot<S>;
  highestTerm: number;
  pending: number;
};
/** The version being replicated, with the identities of the members that have accepted it. */
export type Replication<S> = Batch<S> & { startedAt: Microseconds; acknowledged: string[] };
/** The founders found so far; `pending` counts the outstanding replies. */
export type Discovery = { found: (Member & { formed: boolean; founding: Founding })[]; pending: number };

/** The state of a replica in memory. `term` and `accepted` never run ahead of what is synced to its disk. */
export type ReplicaState<S> = {
  id: string;
  /** This replica's own address. */
  at: Address;
  founders: Address[];
  /** Whether this replica is one of the founders; without founders `none`. */
  founding: Founding;
  /** When the process was started, or a member of a group last asked for a pre-vote. */
  quietSince: Microseconds;
  initial: S;
  timing: Timing;
  role: Role;
  term: number;
  accepted?: Snapshot<S>;
  /** The newest version that a quorum is known to have accepted. */
  committed?: Snapshot<S>;
  leader?: Address;
  /** When a leader was last heard, or an event happened that restarts the election timeout. */
  lastContactAt: Microseconds;
  /** The process restarted with an accepted version and has neither heard a leader nor granted a vote since. */
  restarted: boolean;
  electionDelay: Microseconds;
  /** A newer version without this member was seen; it starts no elections until it hears a leader. */
  removed: boolean;
  pendingWrite?: { write: WriteEffect<S>; continuation: Continuation<S>; startedAt: Microseconds };
  /** How long the last snapshot write took. */
  lastWriteDuration: Microseconds;
  /** Events that depend on the disk, in order of arrival, queued while a write is pending. */
  deferred: Event<S>[];
  /** The number of the next request; `outstanding` has the context of each request by its number. */
  nextRequest: number;
  outstanding: Map<number, OutstandingRequest<S>>;
  nextElection: number;
  election?: Election<S>;
  /** Proposals that no version carries yet. */
  queue: Proposal<S>[];
  replication?: Replication<S>;
  nextRound: number;
  rounds: Map<number, HeartbeatRound<S>>;
  /** Identities of the members to which a catch-up version is being sent. */
  catchingUp: Set<string>;
  /** The start time of the heartbeat round or replication that each member last acknowledged, by identity. */
  acknowledgedAt: Map<string, Microseconds>;
  /** When the replies of a quorum last arrived. */
  quorumConfirmedAt: Microseconds;
  /** The start time of the newest round or replication that a quorum confirmed; the lease runs from here. */
  leaseStartedAt: Microseconds;
  discovery?: Discovery;
  /** The answers of the founders that the last log line on the group's formation named. */
  loggedAnswers?: string;
  closed: boolean;
};

/** The context of one step: the state that it may change, the time, a random source and the effects to execute. */
export type Step<S> = {
  state: ReplicaState<S>;
  now: Microseconds;
  /** A random integer from 0 (inclusive) to `limit` (exclusive). */
  random: (limit: number) => number;
  effects: Effect<S>[];
};
