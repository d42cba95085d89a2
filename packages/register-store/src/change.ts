/** Changes of registers by compare-and-set (§6.2): one ballot for each change, or an opening for a new key. */
import { duration, type Microseconds } from '@thornsail/runtime';
import { dependsOnExtension, isDecided } from './agreement.js';
import { ballot, type Ballot } from './ballot.js';
import { retry, type Attempt, type Proposer } from './proposer.js';
import {
  accept,
  expiryOf,
  forgetPromise,
  prepare,
  promisedBefore,
  remember,
  type Highest,
  type Prepared,
} from './rounds.js';
import { wallClocksOf, type Group, type StoredValue, type WallClocks } from './types.js';
import { encodeValue, messages, type AcceptReply } from './wire.js';

/** What a change writes: a value, null to remove it, or nothing (`keep`); and what the caller gets. */
export type Write<R> = { stored: Omit<StoredValue, 'operations'> | null; result: R } | { keep: true; result: R };
/** Sees the agreed value, the stores' wall clocks and when the value was to expire (0 if there is none). */
export type Decide<R> = (value: unknown, walls: WallClocks, expiresAt: Microseconds) => Write<R>;
/**
 * `fresh`: there is likely nothing under this key yet; then one round is enough, if all stores answer in time (§6.2).
 * `past`: other proposers have likely changed it since this one did, and it has seen about so many ballots: what was
 * promised here is not used, and the first ballot is above them. `force`: decided by a ballot even if nothing changes.
 */
export type ChangeOptions = { force?: boolean; fresh?: boolean; past?: number };

/** One change, over its attempts. */
type Change<R> = {
  key: string;
  decide: Decide<R>;
  deadline: Microseconds;
  force: boolean;
  highest: Highest;
  /** Results by operation: one that lives on in the value has taken effect. */
  tried: Map<string, R>;
};

/** How many changes a value remembers: more than can be in flight for one key at once. */
const operationsKept = 12;
const backoff: { type: 'backoff' } = { type: 'backoff' };

/** An opening: accepted by all members without a prepare, as nothing was there; else undefined. */
const open = async <R>(
  proposer: Proposer,
  group: Group,
  { key, decide, tried, highest }: Change<R>,
  timeLeft: Microseconds,
): Promise<Attempt<R> | undefined> => {
  const { stores, counts, id } = proposer;
  const walls = stores.health.walls(group);
  if (!walls || !stores.health.allResponsive(group)) return undefined;
  const write = decide(undefined, walls, 0);
  if ('keep' in write || write.stored === null) return undefined;
  const operation = proposer.nextOperation();
  const above: Ballot = [stores.floor() + 1, id];
  const next: Ballot = [above[0] + 1, id];
  tried.set(operation, write.result);
  const stored: StoredValue = { ...write.stored, operations: [operation] };
  const body = { key, op: operation, ballot: above, held: encodeValue(stored), next };
  counts.openings += 1;
  const round = await stores.gather(
    stores.request<AcceptReply>(group, messages.open, () => body, timeLeft),
    {
      isEnough: (answers, failed) => failed.length > 0 || answers.length === group.members.length,
      waitForMore: () => stores.health.lastMemberTimeout(group),
    },
  );
  highest.ballot = ballot.max(next, stores.learn(round.refusals));
  if (round.answers.length < group.members.length) return undefined;
  const seen = wallClocksOf(round.answers.map(({ reply }) => reply.wall));
  remember(proposer, group, key, { stored, extendedUntil: 0, walls: seen }, ballot.opening(operation), next);
  counts.opened += 1;
  counts.done += 1;
  return { type: 'done', result: write.result };
};

/** What the change makes of the value; one that has taken effect before is only confirmed. */
const decideOn = <R>({ decide, tried }: Change<R>, { stored, extendedUntil, walls }: Prepared): Write<R> => {
  const applied = stored?.operations.find((operation) => tried.has(operation));
  if (applied !== undefined) return { keep: true, result: tried.get(applied)! };
  const expiry = expiryOf(stored, extendedUntil);
  return stored === null || expiry <= walls.min ? decide(undefined, walls, 0) : decide(stored.value, walls, expiry);
};

/** The value that a write leaves. An absent one keeps its last changes: they can still be asked for. */
const valueAfter = <R>(write: Write<R>, former: StoredValue | null, operation: string): StoredValue | null => {
  if ('keep' in write) return former;
  const operations = [...(former?.operations ?? []), operation].slice(-operationsKept);
  return write.stored === null ? { value: null, expiresAt: 0, operations } : { ...write.stored, operations };
};

/** Decides and accepts under a ballot that a majority has promised. */
const conclude = async <R>(
  proposer: Proposer,
  group: Group,
  change: Change<R>,
  prepared: Prepared,
): Promise<Attempt<R>> => {
  const { key, force, tried, highest, deadline } = change;
  const { agreement } = prepared;
  const write = decideOn(change, prepared);
  if ('keep' in write && !agreement) {
    // Nothing is written, so what this proposer remembers has to be confirmed first.
    forgetPromise(proposer, key);
    return { type: 'again' };
  }
  if ('keep' in write && agreement && !force && isDecided(group, agreement) && !dependsOnExtension(agreement)) {
    // A majority has it already.
    remember(proposer, group, key, prepared, agreement.accepted, prepared.ballot);
    return { type: 'done', result: write.result };
  }
  const operation = proposer.nextOperation();
  const stored = valueAfter(write, prepared.stored, operation);
  if (!('keep' in write)) tried.set(operation, write.result);
  if (await accept(proposer, group, key, prepared, stored, highest, deadline))
    return { type: 'done', result: write.result };
  // What was promised has been overtaken by another proposer's change: its ballot is known now.
  return agreement ? backoff : { type: 'again' };
};

/** Changes a register; see `Registers.change`. Throws `no-majority`. */
export const changeRegister = <R>(
  proposer: Proposer,
  key: string,
  decide: Decide<R>,
  timeLeft: Microseconds = duration.s(2),
  { force = false, fresh = false, past = 0 }: ChangeOptions = {},
): Promise<R> =>
  proposer.exclusive(key, async () => {
    const { stores, cache, counts, id, runtime } = proposer;
    const deadline = runtime.clock.now() + timeLeft;
    const highest: Highest = { ballot: past > 0 ? [stores.floor() + past, id] : ballot.zero };
    const change: Change<R> = { key, decide, deadline, force, highest, tried: new Map() };
    return retry<R>(proposer, { step: 'register.change', key, deadline }, async (group, attempt, left) => {
      const isFirst = attempt === 0 && !force;
      const opened = isFirst && fresh && !cache.get(key) ? await open(proposer, group, change, left) : undefined;
      if (opened) return opened;
      const promised = isFirst && past === 0 ? promisedBefore(proposer, cache.get(key), group) : undefined;
      if (promised) counts.quick += 1;
      const prepared = promised ?? (await prepare(proposer, group, key, highest, left));
      return prepared ? conclude(proposer, group, change, prepared) : backoff;
    });
  });

/** Runs the prepare round ahead of time; see `Registers.reserve`. Throws `no-majority`. */
export const reserveRegister = (proposer: Proposer, key: string, timeLeft: Microseconds): Promise<void> =>
  proposer.exclusive(key, () => {
    const { cache, counts, runtime } = proposer;
    const highest: Highest = { ballot: ballot.zero };
    const deadline = runtime.clock.now() + timeLeft;
    return retry<void>(proposer, { step: 'register.reserve', key, deadline }, async (group, _attempt, left) => {
      if (promisedBefore(proposer, cache.get(key), group)) return { type: 'done', result: undefined };
      const prepared = await prepare(proposer, group, key, highest, left);
      if (!prepared) return backoff;
      remember(proposer, group, key, prepared, prepared.agreement!.accepted, prepared.ballot);
      counts.reserved += 1;
      return { type: 'done', result: undefined };
    });
  });
