/** The two rounds of a ballot, prepare and accept, and what a proposer remembers of them (§6.2). */
import { duration, type Microseconds } from '@thornsail/runtime';
import { agreementOf, isDecided, type Agreement } from './agreement.js';
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

/** A ballot that a majority has promised, and the value that an accept under it has to start from. */
export type Prepared = {
  ballot: Ballot;
  stored: StoredValue | null;
  extendedUntil: Microseconds;
  walls: WallClocks;
  /** Undefined if the promise is of an earlier round. */
  agreement?: Agreement;
};
/** The highest ballot that stood in the way of one operation: the next one has to be above it. */
export type Highest = { ballot: Ballot };

/** When the value of a register expires; 0 if there is none. */
export const expiryOf = (stored: StoredValue | null, extendedUntil: Microseconds): Microseconds =>
  effectiveExpiry(stored?.expiresAt ?? 0, extendedUntil);

const noteConflict = (
  { stores, counts }: Proposer,
  highest: Highest,
  refusals: WireRefusal[],
  own: Ballot,
): undefined => {
  highest.ballot = ballot.max(highest.ballot, ballot.max(stores.learn(refusals), own));
  counts.conflicts += 1;
  return undefined;
};

/** Remembers a value that a majority has accepted, and the ballot that it has promised for the next one. */
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

/** Keeps what is known of the value, but not the promise. */
export const forgetPromise = ({ cache }: Proposer, key: string): void => {
  const cached = cache.get(key);
  if (!cached?.promised) return;
  const { promised: _, ...rest } = cached;
  cache.set(key, rest);
};

/** What was promised to this proposer before: no prepare is needed. Undefined if there is nothing of the kind. */
export const promisedBefore = (
  { runtime }: Proposer,
  cached: CachedValue | undefined,
  group: Group,
): Prepared | undefined => {
  if (!cached?.promised || cached.groupVersion !== group.version) return undefined;
  const { stored, extendedUntil, promised, walls, learnedAt } = cached;
  const now = runtime.clock.now();
  const present = { min: walls.min + now - learnedAt, max: walls.max + now - learnedAt };
  // One that seems to have expired may have been extended by another.
  const expiry = expiryOf(stored, extendedUntil);
  if (expiry > 0 && expiry <= present.min) return undefined;
  return { ballot: promised, stored, extendedUntil, walls: present };
};

/** The prepare round; undefined if no majority has promised, or the value could not be had. */
export const prepare = async (
  proposer: Proposer,
  group: Group,
  key: string,
  highest: Highest,
  timeLeft: Microseconds,
): Promise<Prepared | undefined> => {
  const { stores, cache, counts, id } = proposer;
  counts.rounds += 1;
  const own: Ballot = [Math.max(highest.ballot[0], stores.floor()) + 1, id];
  const cached = cache.get(key);
  const nearest = stores.byNearness(group, key)[0]!;
  const full = { key, ballot: own, lean: true, ...(cached?.stored ? { has: cached.accepted } : {}) };
  const bare = { ...full, bare: true };
  const bodyFor = (member: Member): object => (member === nearest ? full : bare);
  const withCached = (agreement: Agreement): Agreement =>
    agreement.stored === undefined && cached && ballot.equals(cached.accepted, agreement.accepted)
      ? { ...agreement, stored: cached.stored }
      : agreement;
  const round = await stores.gather(stores.request<PrepareReply>(group, messages.prepare, bodyFor, timeLeft), {
    isEnough: (answers, failed) =>
      failed.includes(nearest) ||
      answers.some(({ from }) => from === nearest) ||
      withCached(agreementOf(answers, ({ reply }) => reply.copy)).stored !== undefined,
  });
  if (round.answers.length < majority(group.members.length))
    return noteConflict(proposer, highest, round.refusals, own);
  const agreement = withCached(agreementOf(round.answers, ({ reply }) => reply.copy));
  if (agreement.stored === undefined) {
    const from = round.answers
      .filter(({ reply }) => ballot.equals(reply.copy.accepted, agreement.accepted))
      .map((answer) => answer.from);
    await fetchValues(proposer, group, [{ key, agreement, from }], timeLeft);
  }
  if (agreement.stored === undefined) return noteConflict(proposer, highest, [], own);
  const replicas = round.late.then((answers) =>
    answers.map(({ from, reply }) => ({ from, accepted: reply.copy.accepted })),
  );
  if (isDecided(group, agreement)) repairOlder(proposer, group, key, agreement, replicas);
  const { stored, extendedUntil, walls } = agreement;
  return { ballot: own, stored, extendedUntil, walls, agreement };
};

/** The accept round; false if no majority has accepted, though a minority may have. */
export const accept = async (
  proposer: Proposer,
  group: Group,
  key: string,
  prepared: Prepared,
  stored: StoredValue | null,
  highest: Highest,
  deadline: Microseconds,
): Promise<boolean> => {
  const { stores, counts, id, runtime } = proposer;
  const { clock } = runtime;
  const next: Ballot = [prepared.ballot[0] + 1, id];
  const extended = prepared.extendedUntil > 0 ? { extended: prepared.extendedUntil } : {};
  const body = { key, ballot: prepared.ballot, held: encodeValue(stored), next, ...extended, lean: true };
  const timeLeft = Math.min(deadline - clock.now() + duration.ms(1), roundTimeout);
  const begun = clock.now();
  const round = await stores.gather(stores.request<AcceptReply>(group, messages.accept, () => body, timeLeft));
  stores.health.acceptTook(clock.now() - begun);
  if (round.answers.length < majority(group.members.length)) {
    forgetPromise(proposer, key);
    noteConflict(proposer, highest, round.refusals, prepared.ballot);
    return false;
  }
  const walls = wallClocksOf(round.answers.map(({ reply }) => reply.wall));
  remember(proposer, group, key, { ...prepared, stored, walls }, prepared.ballot, next);
  counts.done += 1;
  return true;
};
