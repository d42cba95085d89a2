/** Types of the consensus state machine (§3.3): its durable state, the events it takes and the effects it asks for. */
import type { Address, Microseconds } from '@thornsail/runtime';
import type { RefusalCode } from './errors.js';

/** A voting member: its identity, which is lost with its disk, and its address. */
export type Member = { id: string; at: Address };
/** One version of the replicated state. It is always sent and stored whole; (term, index) orders versions. */
export type Snapshot<S> = { term: number; index: number; members: Member[]; state: S };
/** A proposed change, applied by the leader to its newest version. It may change one member at most. */
export type Change<S, R> = (state: S, members: Member[]) => { state: S; members?: Member[]; result: R };
/** The roles of a replica; `unformed` holds no version and votes for nobody. */
export type Role = 'unformed' | 'follower' | 'candidate' | 'leader';

/** Intervals in microseconds. */
export type Timing = {
  heartbeat: Microseconds;
  /** A follower that has heard no leader for this long may start an election. */
  electionTimeout: Microseconds;
  /** The random part that is added to the election timeout. */
  electionSpread: Microseconds;
  /** A leader without a quorum for this long steps down. */
  quorumTimeout: Microseconds;
  /** How long one round's confirmation by a quorum is good for `isLeaseValid`; below the election timeout. */
  lease: Microseconds;
  requestTimeout: Microseconds;
  preVoteTimeout: Microseconds;
  voteTimeout: Microseconds;
  retryDelay: Microseconds;
};

/** Requests between members. `to` is the identity asked; another one at its address must not answer for it. */
export type RequestMessage<S> =
  | { kind: 'append'; to: string; snapshot: Snapshot<S>; commitIndex: number }
  | { kind: 'heartbeat'; to: string; term: number; commitIndex: number }
  | { kind: 'pre-vote'; term: number }
  | { kind: 'vote'; to: string; term: number }
  | { kind: 'discover' }
  | { kind: 'form'; members: Member[] }
  /** A leader that gives up asks its followers not to wait for its silence. */
  | { kind: 'resign'; to: string; term: number };
/** `index` is the index of the accepted version, -1 without one; not `ok` where the version was not accepted. */
export type AppendReply = { kind: 'append'; ok: boolean; term: number; index: number };
/** `index` is that of the version held under the term of the heartbeat, -1 without one. */
export type HeartbeatReply = { kind: 'heartbeat'; ok: boolean; term: number; index: number };
/** Whether the member would vote; `unformed` where it holds no version. */
export type PreVoteReply = { kind: 'pre-vote'; ok: boolean; term: number; unformed: boolean };
/** A granted vote carries the newest version that the voter holds. */
export type VoteReply<S> = { kind: 'vote'; ok: boolean; term: number; accepted?: Snapshot<S> };
/** Who is at an address, and whether it is a member already. */
export type DiscoverReply = { kind: 'discover'; id: string; formed: boolean };
/** Whether the first version was accepted. */
export type FormReply = { kind: 'form'; ok: boolean };
/** Whether the follower begins an election early. */
export type ResignReply = { kind: 'resign'; ok: boolean };
/** Replies between members, each to the request of the same kind. */
export type ReplyMessage<S> =
  AppendReply | HeartbeatReply | PreVoteReply | VoteReply<S> | DiscoverReply | FormReply | ResignReply;

/** `not-leader` and `failed` were not taken, the latter by the change's own error; `outcome-unknown` may have been. */
export type ProposalOutcome =
  | { ok: true; index: number; result: unknown }
  | { ok: false; code: RefusalCode }
  | { ok: false; code: 'failed'; error: Error };
/** `not-leader`: this replica is not the leader; `outcome-unknown`: no quorum confirmed that it is. */
export type ReadOutcome<S> = { ok: true; snapshot: Snapshot<S> } | { ok: false; code: RefusalCode };

/** A change with the number by which its outcome is told. */
export type Proposal<S> = { proposal: number; change: Change<S, unknown> };

/** What a replica is told; each event is one step. */
export type Event<S> =
  | { type: 'tick' }
  | { type: 'heartbeat-due' }
  | { type: 'request'; call: number; from: Address; message: RequestMessage<S> }
  /** Without a reply: the request was lost, refused or timed out. */
  | { type: 'response'; request: number; reply?: ReplyMessage<S> }
  | { type: 'retry-append'; member: string; term: number; index: number }
  | ({ type: 'propose' } & Proposal<S>)
  | { type: 'read'; read: number }
  | { type: 'written' }
  /** `unchanged`: the disk is certain to hold what it held before. */
  | { type: 'write-failed'; unchanged: boolean }
  | { type: 'close' };

/** Writes one of the two durable documents. */
export type WriteEffect<S> =
  { type: 'write'; document: 'term'; term: number } | { type: 'write'; document: 'snapshot'; snapshot: Snapshot<S> };
/** What a step asks for. Times are in microseconds. */
export type Effect<S> =
  | { type: 'send'; request: number; at: Address; message: RequestMessage<S>; timeout: Microseconds }
  | { type: 'reply'; call: number; reply: ReplyMessage<S> }
  /** The call cannot be served: what it needed was not written. */
  | { type: 'refuse'; call: number }
  /** To be synced and answered by `written` or `write-failed`; at most one is under way. */
  | WriteEffect<S>
  | { type: 'commit'; snapshot: Snapshot<S> }
  | { type: 'proposal-outcome'; proposal: number; outcome: ProposalOutcome }
  | { type: 'read-outcome'; read: number; outcome: ReadOutcome<S> }
  | { type: 'timer'; after: Microseconds; event: Event<S> }
  | { type: 'log'; text: string };

/** What goes on once the write under way is synced. */
export type Continuation<S> =
  | { kind: 'acknowledge-append'; call: number }
  | { kind: 'acknowledge-heartbeat'; call: number; from: Address; term: number; commitIndex: number }
  | { kind: 'grant-vote'; call: number; term: number }
  | { kind: 'form'; call: number | null }
  | { kind: 'adopt-term' }
  | { kind: 'request-votes'; term: number }
  | { kind: 'take-over'; snapshot: Snapshot<S> }
  | { kind: 'replicate'; batch: Batch<S> };
/** Proposals that one version carries, with the outcome that each has once it is committed. */
export type Batch<S> = { snapshot: Snapshot<S>; outcomes: { proposal: number; outcome: ProposalOutcome }[] };

/** What a request under way is for. */
export type Outstanding<S> =
  | { kind: 'append'; member: Member; snapshot: Snapshot<S>; catchUp: boolean }
  | { kind: 'heartbeat'; member: Member; round: number }
  | { kind: 'pre-vote'; member: Member; election: number }
  | { kind: 'vote'; member: Member; election: number }
  | { kind: 'discover'; at: Address }
  | { kind: 'form' }
  | { kind: 'resign' };
/** One round of heartbeats with the reads that wait for it; `pending` counts the answers still to come. */
export type HeartbeatRound<S> = {
  term: number;
  startedAt: Microseconds;
  members: Member[];
  acknowledged: string[];
  pending: number;
  reads: { read: number; snapshot: Snapshot<S> }[];
};
/** One phase of an election; `granted` holds identities, `pending` counts the answers still to come. */
export type Election<S> = {
  number: number;
  phase: 'pre-vote' | 'vote';
  term: number;
  /** The candidate's own version when the phase began. */
  base: Snapshot<S>;
  granted: string[];
  newest: Snapshot<S>;
  highestTerm: number;
  pending: number;
};
/** The version under way, with the identities of those that hold it. */
export type Replication<S> = Batch<S> & { startedAt: Microseconds; acknowledged: string[] };
/** The founders found so far; `pending` counts the answers still to come. */
export type Discovery = { found: (Member & { formed: boolean })[]; pending: number };

/** All that a replica knows. `term` and `accepted` are what its disk holds, never more. */
export type ReplicaState<S> = {
  id: string;
  at: Address;
  founders: Address[];
  initial: S;
  timing: Timing;
  role: Role;
  term: number;
  accepted?: Snapshot<S>;
  /** The newest version known to be held by a quorum. */
  committed?: Snapshot<S>;
  leader?: Address;
  heardAt: Microseconds;
  /** Formed in an earlier life and nobody heard in this one. */
  restarted: boolean;
  electionDelay: Microseconds;
  /** A newer version without this member was seen: until a leader is heard it starts no more elections. */
  removed: boolean;
  writing?: { write: WriteEffect<S>; continuation: Continuation<S>; startedAt: Microseconds };
  /** How long the last snapshot took to be written. */
  lastWriteTook: Microseconds;
  /** Events that need the disk, in their order, while a write is under way. */
  deferred: Event<S>[];
  nextRequest: number;
  outstanding: Map<number, Outstanding<S>>;
  nextElection: number;
  election?: Election<S>;
  queue: Proposal<S>[];
  replication?: Replication<S>;
  nextRound: number;
  rounds: Map<number, HeartbeatRound<S>>;
  catchingUp: Set<string>;
  /** When the round or version that a member acknowledged last had begun, by member. */
  acknowledgedAt: Map<string, Microseconds>;
  /** When a quorum last answered, by arrival, and when the round that it answered had begun. */
  quorumAt: Microseconds;
  leaseFrom: Microseconds;
  discovery?: Discovery;
  closed: boolean;
};

/** One step: the state that it may change, the time, a source of chance, and the effects that it gathers. */
export type Step<S> = {
  state: ReplicaState<S>;
  now: Microseconds;
  /** A whole number from 0 to below `limit`. */
  random: (limit: number) => number;
  effects: Effect<S>[];
};
