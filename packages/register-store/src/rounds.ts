/** The two rounds of a ballot, prepare and accept, and the cache of their results at the proposer (§6.2). */
import { duration, type Microseconds } from '@thornsail/runtime';
import { quorumViewOf, isDecided, type QuorumView } from './quorum-view.js';
import { ballot, type Ballot } from './ballot.js';
import { roundTimeout, type Proposer } from './proposer.js';
import { fetchValues, repairOlder } from './read-requests.js';
import {
  effectiveExpiry,
  majority,
  wallClocksOf,
  type Group,
  type Member,
  type StoredValue,
  type WallClocks,
} from './types.js';
import type { CachedValue } from './value-cache.js';
import { encodeValue, messages, type AcceptReply, type PrepareReply, type WireRefusal } from './wire.js';

/** A ballot that a majority has promised, and the value on which an accept under it has to build. */
export type Prepared = {
  ballot: Ballot;
  stored: StoredValue | null;
  extendedUntil: Microseconds;
  walls: WallClocks;
  /** Undefined if the promise was cached from an earlier round. */
  quorumView?: QuorumView;
};
/** The highest ballot that has been seen in conflict with one operation: the next ballot must be higher. */
export type HighestBallot = { ballot: Ballot };

/** When the value of a register expires, extensions included; 0 if there is no value. */
export const expiryOf = (stored: StoredValue | null, extendedUntil: Microseconds): Microseconds =>
  effectiveExpiry(stored?.expiresAt ?? 0, extendedUntil);

const recordConflict = (
  { stores, counts }: Proposer,
  highest: HighestBallot,
  refusals: WireRefusal[],
  ownBallot: Ballot,
): undefined => {
  highest.ballot = ballot.max(highest.ballot, ballot.max(stores.learnFromRefusals(refusals), ownBallot));
  counts.conflicts += 1;
  return undefined;
};

/** Caches a value that a majority has accepted, and the ballot that the majority has promised for the next change. */
export const remember = (
  { cache, runtime }: Proposer,
  group: Group,
  key: string,
  { stored, extendedUntil, walls }: Omit<Prepared, 'ballot'>,
  accepted: Ballot,
  promised: Ballot,
): void =>
  cache.set(key, {
    groupVersion: group.version,
    accepted,
    stored,
    extendedUntil,
    promised,
    walls,
    learnedAt: runtime.clock.now(),
  });

/** Removes the promise from the cache, but not the value. */
export const forgetPromise = ({ cache }: Proposer, key: string): void => {
  const cached = cache.get(key);
  if (!cached?.promised) return;
  const { promised: _, ...withoutPromise } = cached;
  cache.set(key, withoutPromise);
};

/** The promise cached from an earlier round, which saves the prepare round; undefined if there is none to use. */
export const cachedPromise = (
  { runtime }: Proposer,
  cached: CachedValue | undefined,
  group: Group,
): Prepared | undefined => {
  if (!cached?.promised || cached.groupVersion !== group.version) return undefined;
  const { stored, extendedUntil, promised, walls, learnedAt } = cached;
  const now = runtime.clock.now();
  const currentWalls = { min: walls.min + now - learnedAt, max: walls.max + now - learnedAt };
  // A value that seems to have expired may have been extended by another proposer.
  const expiry = expiryOf(stored, extendedUntil);
  if (expiry > 0 && expiry <= currentWalls.min) return undefined;
  return { ballot: promised, stored, extendedUntil, walls: currentWalls };
};

/** Runs the prepare round; undefined if no majority has promised, or the value could not be fetched. */
export const prepare = async (
  proposer: Proposer,
  group: Group,
  key: string,
  highest: HighestBallot,
  timeLeft: Microseconds,
): Promise<Prepared | undefined> => {
  const { stores, cache, counts, id } = proposer;
  counts.rounds += 1;
  const ownBallot: Ballot = [Math.max(highest.ballot[0], stores.floor()) + 1, id];
  const cached = cache.get(key);
  const nearest = stores.byDistance(group, key)[0]!;
  const full = { key, ballot: ownBallot, lean: true, ...(cached?.stored ? { has: cached.accepted } : {}) };
  const bare = { ...full, bare: true };
  const bodyFor = (member: Member): object => (member === nearest ? full : bare);
  const withCachedValue = (quorumView: QuorumView): QuorumView =>
    quorumView.stored === undefined && cached && ballot.equals(cached.accepted, quorumView.accepted)
      ? { ...quorumView, stored: cached.stored }
      : quorumView;
  const round = await stores.gather(stores.request<PrepareReply>(group, messages.prepare, bodyFor, timeLeft), {
    isEnough: (answers, failed) =>
      failed.includes(nearest) ||
      answers.some(({ from }) => from === nearest) ||
      withCachedValue(quorumViewOf(answers, ({ reply }) => reply.copy)).stored !== undefined,
  });
  if (round.answers.length < majority(group.members.length))
    return recordConflict(proposer, highest, round.refusals, ownBallot);
  const quorumView = withCachedValue(quorumViewOf(round.answers, ({ reply }) => reply.copy));
  if (quorumView.stored === undefined) {
    const from = round.answers
      .filter(({ reply }) => ballot.equals(reply.copy.accepted, quorumView.accepted))
      .map((answer) => answer.from);
    await fetchValues(proposer, group, [{ key, quorumView, from }], timeLeft);
  }
  if (quorumView.stored === undefined) return recordConflict(proposer, highest, [], ownBallot);
  const replicas = round.allAnswers.then((answers) =>
    answers.map(({ from, reply }) => ({ from, accepted: reply.copy.accepted })),
  );
  if (isDecided(group, quorumView)) repairOlder(proposer, group, key, quorumView, replicas);
  const { stored, extendedUntil, walls } = quorumView;
  return { ballot: ownBallot, stored, extendedUntil, walls, quorumView };
};

/** Runs the accept round; false if no majority has accepted. A minority may still have accepted. */
export const accept = async (
  proposer: Proposer,
  group: Group,
  key: string,
  prepared: Prepared,
  stored: StoredValue | null,
  highest: HighestBallot,
  deadline: Microseconds,
): Promise<boolean> => {
  const { stores, counts, id, runtime } = proposer;
  const { clock } = runtime;
  const next: Ballot = [prepared.ballot[0] + 1, id];
  const extended = prepared.extendedUntil > 0 ? { extended: prepared.extendedUntil } : {};
  const body = { key, ballot: prepared.ballot, held: encodeValue(stored), next, ...extended, lean: true };
  const timeLeft = Math.min(deadline - clock.now() + duration.ms(1), roundTimeout);
  const startedAt = clock.now();
  const round = await stores.gather(stores.request<AcceptReply>(group, messages.accept, () => body, timeLeft));
  stores.health.recordAcceptTime(clock.now() - startedAt);
  if (round.answers.length < majority(group.members.length)) {
    forgetPromise(proposer, key);
    recordConflict(proposer, highest, round.refusals, prepared.ballot);
    return false;
  }
  const walls = wallClocksOf(round.answers.map(({ reply }) => reply.wall));
  remember(proposer, group, key, { ...prepared, stored, walls }, prepared.ballot, next);
  counts.done += 1;
  return true;
};
