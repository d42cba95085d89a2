/**
 * The client side of a lease: acquires, extends and releases it (§3.6). A majority of voters grants the lease for one
 * term under a fencing token. The holder extends it, or stops holding it by its own clock before the grants expire.
 */
import { time, duration, type Address, type Log, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { defaultTerm } from './voter.js';
import { decodeGrantReply, encodeGrantRequest, encodeRelease, messageNames, type GrantReply } from './wire.js';

/** The time between two rounds of grant requests. */
const roundInterval = duration.ms(300);
const requestTimeout = duration.ms(400);
/** A rejected candidate retries after this time at the latest (plus jitter): the holder may release the lease early. */
const maxRetryDelay = duration.ms(800);
/** The upper bound of a random additional delay, which keeps competing candidates from splitting the votes again. */
const retryJitter = duration.ms(400);

/** A lease that this process holds or tries to acquire. */
export type Lease = {
  /** Whether this process currently holds the lease, by its own clock. */
  holds: () => boolean;
  /**
   * The fencing token of the newest grant; 0 before the first. Recipients of the holder's requests reject those with an
   * older token.
   */
  fencingToken: () => number;
  /** Stops requesting grants, and releases the lease if it is held. */
  close: () => void;
};
/** The dependencies and settings of a lease candidate. */
export type LeaseOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The name of the lease. */
  name: string;
  /** The id of this process. It must be unique among all processes, including later ones. */
  holder: string;
  /** Returns the current voters. */
  voters: () => Address[];
  /** The duration of a grant, 3 s by default; the voters must use the same duration. */
  term?: Microseconds;
  /** Called with the fencing token each time the lease is acquired, but not when it is extended. */
  onAcquired?: (fencingToken: number) => void;
};

type Candidate = {
  options: LeaseOptions;
  term: Microseconds;
  log: Log;
  heldUntil: Microseconds;
  fencingToken: number;
  /** The highest fencing token in any reply of a voter. */
  highestToken: number;
  /** No attempt to acquire the lease starts before this time; extensions are not delayed. */
  retryAt: Microseconds;
};
type Round = { startedAt: Microseconds; isExtension: boolean; fencingToken: number; voters: Address[] };

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

const applyMajorityGrant = (candidate: Candidate, round: Round): void => {
  const { options, term, log } = candidate;
  if (!round.isExtension) log(`acquired the lease ${options.name} with fencing token ${round.fencingToken}.`);
  candidate.fencingToken = round.fencingToken;
  // Grants start when the voters receive the requests, which is after the start of the round. Ending a fifth of the
  // term earlier tolerates clocks that run at slightly different speeds.
  candidate.heldUntil = round.startedAt + term - term / 5;
  if (!round.isExtension) options.onAcquired?.(round.fencingToken);
};
const abandonRound = (candidate: Candidate, round: Round, replies: (GrantReply | undefined)[]): void => {
  const { holder, runtime } = candidate.options;
  const { clock, rand } = runtime;
  // The grants of a minority would only block other candidates.
  if (!round.isExtension)
    for (const [i, reply] of replies.entries())
      if (reply?.granted) release(candidate, round.voters[i]!, round.fencingToken);
  const otherGrant = replies.find((reply) => reply && reply.holder !== null && reply.holder !== holder);
  const retryDelay = Math.min(maxRetryDelay, otherGrant?.remaining ?? 0);
  candidate.retryAt = clock.now() + retryDelay + rand.int(retryJitter);
};
/** Requests grants from all voters once; acquires or extends the lease if a majority grants it. */
const runRound = async (candidate: Candidate): Promise<void> => {
  const { clock } = candidate.options.runtime;
  const startedAt = clock.now();
  const wasHeld = isHeld(candidate);
  if (!wasHeld && startedAt < candidate.retryAt) return;
  // Tokens are based on the wall clock in ms, so that they increase even if all voters restarted and lost theirs.
  const newToken = (): number => Math.max(candidate.highestToken + 1, Math.floor(clock.wallTime() / 1000));
  const fencingToken = wasHeld ? candidate.fencingToken : newToken();
  const voters = candidate.options.voters();
  if (voters.length === 0) return;
  const round: Round = { startedAt, isExtension: wasHeld, fencingToken, voters };
  const replies = await requestGrants(candidate, round);
  for (const reply of replies) if (reply) candidate.highestToken = Math.max(candidate.highestToken, reply.fencingToken);
  const granted = replies.filter((reply) => reply?.granted).length;
  if (granted > voters.length / 2) applyMajorityGrant(candidate, round);
  else abandonRound(candidate, round, replies);
};

/** Factory of leases. */
export const lease = {
  /** Starts to acquire the lease and, once it is held, to extend it. */
  open: (options: LeaseOptions): Lease => {
    const { clock } = options.runtime;
    const candidate: Candidate = {
      options,
      term: options.term ?? defaultTerm,
      log: options.runtime.log('leases'),
      heldUntil: 0,
      fencingToken: 0,
      highestToken: 0,
      retryAt: 0,
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
