/** Changes registers by compare-and-set (§6.2): with a ballot for each change, or with an opening for a new key. */
import { duration, type Microseconds } from '@thornsail/runtime';
import { dependsOnExtension, isDecided } from './quorum-view.js';
import { ballot, type Ballot } from './ballot.js';
import { retry, type Attempt, type Proposer } from './proposer.js';
import {
  accept,
  expiryOf,
  forgetPromise,
  prepare,
  cachedPromise,
  remember,
  type HighestBallot,
  type Prepared,
} from './rounds.js';
import { wallClocksOf, type Group, type StoredValue, type WallClocks } from './types.js';
import { encodeValue, messages, type AcceptReply } from './wire.js';

/** What a change writes: a value, null to remove it, or nothing (`keep`). `result` is returned to the caller. */
export type Write<R> = { stored: Omit<StoredValue, 'operations'> | null; result: R } | { keep: true; result: R };
/**
 * Computes a change from the decided value, the stores' wall clocks and the expiry of the value (0 if it is absent).
 */
export type UpdateFunction<R> = (value: unknown, walls: WallClocks, expiresAt: Microseconds) => Write<R>;
/** Hints and modes of a change. */
export type ChangeOptions = {
  /** Decides the value by a ballot even if the change keeps it. */
  force?: boolean;
  /** The key likely has no value yet: an opening is tried first, which takes one round if all stores answer (§6.2). */
  expectAbsent?: boolean;
  /**
   * Other proposers have likely changed the key since this one did, with about this many ballots: a promise that this
   * proposer holds is not used, and its first ballot is above those.
   */
  skipBallots?: number;
};

/** One change, over all its attempts. */
type Change<R> = {
  key: string;
  update: UpdateFunction<R>;
  deadline: Microseconds;
  force: boolean;
  highest: HighestBallot;
  /** Results by the operations that were proposed: an operation listed in the decided value has taken effect. */
  resultByOperation: Map<string, R>;
};

/** How many operations a value lists: more than can be in flight for one key at once. */
const maxOperations = 12;
const backoff: { type: 'backoff' } = { type: 'backoff' };

/** Proposes the first value of a key without a prepare round; undefined unless all members have accepted it. */
const open = async <R>(
  proposer: Proposer,
  group: Group,
  { key, update, resultByOperation, highest }: Change<R>,
  timeLeft: Microseconds,
): Promise<Attempt<R> | undefined> => {
  const { stores, counts, id } = proposer;
  const walls = stores.health.wallClocks(group);
  if (!walls || !stores.health.allResponsive(group)) return undefined;
  const write = update(undefined, walls, 0);
  if ('keep' in write || write.stored === null) return undefined;
  const operation = proposer.nextOperation();
  const aboveFloor: Ballot = [stores.floor() + 1, id];
  const next: Ballot = [aboveFloor[0] + 1, id];
  resultByOperation.set(operation, write.result);
  const stored: StoredValue = { ...write.stored, operations: [operation] };
  const body = { key, op: operation, ballot: aboveFloor, held: encodeValue(stored), next };
  counts.openings += 1;
  const round = await stores.gather(
    stores.request<AcceptReply>(group, messages.open, () => body, timeLeft),
    {
      isEnough: (answers, failed) => failed.length > 0 || answers.length === group.members.length,
      waitForMore: () => stores.health.lastMemberTimeout(group),
    },
  );
  highest.ballot = ballot.max(next, stores.learnFromRefusals(round.refusals));
  if (round.answers.length < group.members.length) return undefined;
  const latestWalls = wallClocksOf(round.answers.map(({ reply }) => reply.wall));
  remember(proposer, group, key, { stored, extendedUntil: 0, walls: latestWalls }, ballot.opening(operation), next);
  counts.opened += 1;
  counts.done += 1;
  return { type: 'done', result: write.result };
};

/** Applies the change to the value, or returns the earlier result if an attempt of this change has taken effect. */
const applyUpdate = <R>(
  { update, resultByOperation }: Change<R>,
  { stored, extendedUntil, walls }: Prepared,
): Write<R> => {
  const applied = stored?.operations.find((operation) => resultByOperation.has(operation));
  if (applied !== undefined) return { keep: true, result: resultByOperation.get(applied)! };
  const expiry = expiryOf(stored, extendedUntil);
  return stored === null || expiry <= walls.min ? update(undefined, walls, 0) : update(stored.value, walls, expiry);
};

/** The value after a write. A removed value keeps its list of operations, so that a retry is still recognised. */
const valueAfter = <R>(write: Write<R>, previous: StoredValue | null, operation: string): StoredValue | null => {
  if ('keep' in write) return previous;
  const operations = [...(previous?.operations ?? []), operation].slice(-maxOperations);
  return write.stored === null ? { value: null, expiresAt: 0, operations } : { ...write.stored, operations };
};

/** Applies the change to the prepared value and runs the accept round under the prepared ballot. */
const proposePrepared = async <R>(
  proposer: Proposer,
  group: Group,
  change: Change<R>,
  prepared: Prepared,
): Promise<Attempt<R>> => {
  const { key, force, resultByOperation, highest, deadline } = change;
  const { quorumView } = prepared;
  const write = applyUpdate(change, prepared);
  if ('keep' in write && !quorumView) {
    // Nothing would be written, so no accept round confirms the cached value: a prepare round has to.
    forgetPromise(proposer, key);
    return { type: 'again' };
  }
  if ('keep' in write && quorumView && !force && isDecided(group, quorumView) && !dependsOnExtension(quorumView)) {
    // The value is decided already, so the accept round can be left out.
    remember(proposer, group, key, prepared, quorumView.accepted, prepared.ballot);
    return { type: 'done', result: write.result };
  }
  const operation = proposer.nextOperation();
  const stored = valueAfter(write, prepared.stored, operation);
  if (!('keep' in write)) resultByOperation.set(operation, write.result);
  if (await accept(proposer, group, key, prepared, stored, highest, deadline))
    return { type: 'done', result: write.result };
  // A refused cached promise: another proposer's change came first. Its ballot is known now, so retry at once.
  return quorumView ? backoff : { type: 'again' };
};

/** Changes a register; see `Registers.change`. Throws `no-majority`. */
export const changeRegister = <R>(
  proposer: Proposer,
  key: string,
  update: UpdateFunction<R>,
  timeLeft: Microseconds = duration.s(2),
  { force = false, expectAbsent = false, skipBallots = 0 }: ChangeOptions = {},
): Promise<R> =>
  proposer.exclusive(key, async () => {
    const { stores, cache, counts, id, runtime } = proposer;
    const deadline = runtime.clock.now() + timeLeft;
    const highest: HighestBallot = { ballot: skipBallots > 0 ? [stores.floor() + skipBallots, id] : ballot.zero };
    const change: Change<R> = { key, update, deadline, force, highest, resultByOperation: new Map() };
    return retry<R>(proposer, { step: 'register.change', key, deadline }, async (group, attempt, attemptTimeLeft) => {
      const isFirst = attempt === 0 && !force;
      const opened =
        isFirst && expectAbsent && !cache.get(key) ? await open(proposer, group, change, attemptTimeLeft) : undefined;
      if (opened) return opened;
      const reusable = isFirst && skipBallots === 0 ? cachedPromise(proposer, cache.get(key), group) : undefined;
      if (reusable) counts.quick += 1;
      const prepared = reusable ?? (await prepare(proposer, group, key, highest, attemptTimeLeft));
      return prepared ? proposePrepared(proposer, group, change, prepared) : backoff;
    });
  });

/** Runs the prepare round ahead of time; see `Registers.reserve`. Throws `no-majority`. */
export const reserveRegister = (proposer: Proposer, key: string, timeLeft: Microseconds): Promise<void> =>
  proposer.exclusive(key, () => {
    const { cache, counts, runtime } = proposer;
    const highest: HighestBallot = { ballot: ballot.zero };
    const deadline = runtime.clock.now() + timeLeft;
    return retry<void>(
      proposer,
      { step: 'register.reserve', key, deadline },
      async (group, _attempt, attemptTimeLeft) => {
        if (cachedPromise(proposer, cache.get(key), group)) return { type: 'done', result: undefined };
        const prepared = await prepare(proposer, group, key, highest, attemptTimeLeft);
        if (!prepared) return backoff;
        remember(proposer, group, key, prepared, prepared.quorumView!.accepted, prepared.ballot);
        counts.reserved += 1;
        return { type: 'done', result: undefined };
      },
    );
  });
