/**
 * A candidate for a lease, and its holder (§3.6). A majority of voters grants the lease for one term, under a fencing
 * token. The holder extends it, and stops by its own clock before the grants can end.
 */
import { time, duration, type Address, type Log, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { defaultTerm } from './voter.js';
import { decodeGrantReply, encodeGrantRequest, encodeRelease, messageNames, type GrantReply } from './wire.js';

/** Between two rounds of requests. */
const roundInterval = duration.ms(300);
const requestTimeout = duration.ms(400);
/** A candidate that was rejected looks again after this time at the latest: the holder may release the lease early. */
const longestWait = duration.ms(800);
/** Candidates wait a random time up to this in addition, so that they do not reject each other again. */
const waitJitter = duration.ms(400);

/** A lease that this process holds, or tries to get. */
export type Lease = {
  /** Whether this process holds the lease now, by its own clock. */
  holds: () => boolean;
  /**
   * The fencing token of the newest grant; 0 before the first. Whoever takes orders from the holder rejects one with an
   * older token.
   */
  fencingToken: () => number;
  /** Releases the lease if it is held, and makes no more requests. */
  close: () => void;
};
/** What a candidate works with. */
export type LeaseOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The name of the lease. */
  name: string;
  /** The identity of this process; no other process may have it, also not a later one. */
  holder: string;
  /** The voters of now. */
  voters: () => Address[];
  /** For how long a grant lasts; the voters must use the same time. */
  term?: Microseconds;
  /** Called with the fencing token each time that the lease is acquired. */
  onAcquired?: (fencingToken: number) => void;
};

type Candidate = {
  options: LeaseOptions;
  term: Microseconds;
  log: Log;
  heldUntil: Microseconds;
  fencingToken: number;
  /** The highest token that any voter has replied with. */
  highestToken: number;
  /** Before this time no request is made, unless to extend the lease. */
  waitsUntil: Microseconds;
};
type Round = { startedAt: Microseconds; extends: boolean; fencingToken: number; voters: Address[] };

const isHeld = (candidate: Candidate): boolean => candidate.heldUntil > candidate.options.runtime.clock.now();

const requestGrants = async (
  { options: { rpc, name, holder } }: Candidate,
  { voters, fencingToken }: Round,
): Promise<(GrantReply | undefined)[]> => {
  const body = encodeGrantRequest({ lease: name, holder, fencingToken });
  const request = (voter: Address): Promise<unknown> =>
    rpc.request(voter, messageNames.grant, body, requestTimeout).catch(() => undefined);
  return (await Promise.all(voters.map(request))).map(decodeGrantReply);
};
const release = ({ options: { rpc, name, holder } }: Candidate, voter: Address, fencingToken: number): void =>
  rpc.notify(voter, messageNames.release, encodeRelease({ lease: name, holder, fencingToken }));

const acquire = (candidate: Candidate, round: Round): void => {
  const { options, term, log } = candidate;
  if (!round.extends) log(`acquired the lease ${options.name} with fencing token ${round.fencingToken}.`);
  candidate.fencingToken = round.fencingToken;
  // The grants count from when the voters got the requests, which was after the start of the round.
  candidate.heldUntil = round.startedAt + term - term / 5;
  if (!round.extends) options.onAcquired?.(round.fencingToken);
};
const giveUpRound = (candidate: Candidate, round: Round, replies: (GrantReply | undefined)[]): void => {
  const { holder, runtime } = candidate.options;
  const { clock, rand } = runtime;
  // A minority's grants would only keep others out.
  if (!round.extends)
    for (const [i, reply] of replies.entries())
      if (reply?.granted) release(candidate, round.voters[i]!, round.fencingToken);
  const other = replies.find((reply) => reply && reply.holder !== null && reply.holder !== holder);
  const wait = Math.min(longestWait, other?.remaining ?? 0);
  candidate.waitsUntil = clock.now() + wait + rand.int(waitJitter);
};
/** One round of requests to all voters: it acquires or extends the lease if a majority grants it. */
const runRound = async (candidate: Candidate): Promise<void> => {
  const { clock } = candidate.options.runtime;
  const startedAt = clock.now();
  const extending = isHeld(candidate);
  if (!extending && startedAt < candidate.waitsUntil) return;
  // Tokens follow the wall clock, so that they also grow when all voters have forgotten theirs.
  const newToken = (): number => Math.max(candidate.highestToken + 1, Math.floor(clock.wallTime() / 1000));
  const fencingToken = extending ? candidate.fencingToken : newToken();
  const voters = candidate.options.voters();
  if (voters.length === 0) return;
  const round: Round = { startedAt, extends: extending, fencingToken, voters };
  const replies = await requestGrants(candidate, round);
  for (const reply of replies) if (reply) candidate.highestToken = Math.max(candidate.highestToken, reply.fencingToken);
  const granted = replies.filter((reply) => reply?.granted).length;
  if (granted > voters.length / 2) acquire(candidate, round);
  else giveUpRound(candidate, round, replies);
};

/** Opens leases. */
export const lease = {
  /** Tries from now on to acquire the lease, and to keep it. */
  open: (options: LeaseOptions): Lease => {
    const { clock } = options.runtime;
    const candidate: Candidate = {
      options,
      term: options.term ?? defaultTerm,
      log: options.runtime.log('leases'),
      heldUntil: 0,
      fencingToken: 0,
      highestToken: 0,
      waitsUntil: 0,
    };
    const stop = time.every(clock, roundInterval, () => runRound(candidate));
    return {
      holds: () => isHeld(candidate),
      fencingToken: () => candidate.fencingToken,
      close: () => {
        stop();
        if (!isHeld(candidate)) return;
        for (const voter of options.voters()) release(candidate, voter, candidate.fencingToken);
      },
    };
  },
};
