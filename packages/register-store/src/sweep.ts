/**
 * Anti-entropy (§6.5): a sweep finds and repairs the replicas that no read has repaired, drops the registers that have
 * expired on every store, and after a change of group brings every register onto a majority of the new group.
 */
import {
  time,
  duration,
  openMemoryBudget,
  withMemory,
  type Clock,
  type MemoryBudget,
  type Microseconds,
} from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot, type Ballot } from './ballot.js';
import { dropExpired } from './drop-expired.js';
import type { Registers } from './registers.js';
import { rangeCount } from './replica-table.js';
import { requestMembers, notifyFilled, type MemberReply } from './sweep-requests.js';
import { majority, type Group, type Member } from './types.js';
import { messages, type DigestReply, type ListReply } from './wire.js';

/** The result of one pass. */
export type SweepResult = {
  /** Whether every difference that was found is settled; otherwise the pass has to be repeated. */
  complete: boolean;
  /** The version of the group that was swept. */
  groupVersion: number;
  /** Keys compared. */
  seen: number;
  /** Keys settled, because their replicas differed. */
  repaired: number;
  /** Keys dropped. */
  purged: number;
  /** Ranges listed. */
  ranges: number;
};
/**
 * How many ranges are listed, and how many keys of each are settled, concurrently. After a change of group the pass has
 * to be fast, because another store may not fail before all keys are settled; concurrent writes share a disk sync.
 */
const concurrencyByPace = {
  change: { ranges: 16, keys: 16 },
  fill: { ranges: 8, keys: 8 },
  usual: { ranges: 1, keys: 4 },
};
/** The concurrency of a pass: after a change of group, while a new store is filled, or in usual operation. */
export type SweepPace = keyof typeof concurrencyByPace;
/** Options of one pass. */
export type SweepOptions = {
  clock: Clock;
  rpc: Rpc;
  registers: Registers;
  group: Group;
  /**
   * Brings every key onto a majority of the members that answer, as needed after a change of group. Otherwise the pass
   * makes all replicas equal and drops expired ones.
   */
  afterGroupChange: boolean;
  /** The pause after each key, and after each step that drops keys; 0 for none. */
  pause: Microseconds;
  /** By default `change` with `afterGroupChange`, else `usual`. */
  pace?: SweepPace;
  /** Checked regularly; the pass ends early, as not complete, when it returns false. */
  shouldContinue: () => boolean;
  /** Called after each key with the number of keys compared so far. */
  onProgress?: (seen: number) => void;
};

const settleTimeout = duration.s(2);
/** The values that are settled at once, in bytes; each takes several times its size, here and at each store. */
const maxBytesInProgress = 4 << 20;
/** The maximum number of keys in one reply to `list`. */
const pageSize = 128;
type Page = Extract<ListReply, { ok: true }>;
/** The replica of one key on one member. */
type ListedReplica = { member: Member; accepted: Ballot; extendedUntil: Microseconds; bytes: number };
type KeyReplicas = [key: string, replicas: ListedReplica[]];

const isSame = (a: ListedReplica, b: ListedReplica): boolean =>
  ballot.equals(a.accepted, b.accepted) && a.extendedUntil === b.extendedUntil;
/** Whether a majority has the same ballot with the latest extension that any member has. */
const isOnMajority = (replicas: ListedReplica[], needed: number): boolean => {
  const latest = Math.max(...replicas.map(({ extendedUntil }) => extendedUntil));
  return replicas.some(
    (replica) =>
      replica.extendedUntil === latest && replicas.filter((other) => isSame(other, replica)).length >= needed,
  );
};

const concurrencyOf = ({ pace, afterGroupChange }: SweepOptions): { ranges: number; keys: number } =>
  concurrencyByPace[pace ?? (afterGroupChange ? 'change' : 'usual')];
const majorityOf = (options: SweepOptions): number => majority(options.group.members.length);
/** Sends a request to members. After a change of group it waits only a little longer than for a majority. */
const request = <T extends { ok: boolean }>(
  options: SweepOptions,
  members: Member[],
  message: string,
  body: object,
): Promise<MemberReply<Extract<T, { ok: true }>>[]> =>
  requestMembers<T>(options, members, message, body, options.afterGroupChange ? majorityOf(options) : undefined);

/** The ranges that have to be listed, by the digests of the members that answered. */
const rangesToList = ({ afterGroupChange }: SweepOptions, digests: number[][], needed: number): number[] =>
  Array.from({ length: rangeCount }, (_, range) => range).filter((range) => {
    const rangeDigests = digests.map((memberDigests) => memberDigests[range]!);
    // After a change of group it is enough that a majority of the new group, which has adopted it, has equal digests.
    if (afterGroupChange)
      return !rangeDigests.some((digest) => rangeDigests.filter((other) => other === digest).length >= needed);
    return rangeDigests.some((digest) => digest !== rangeDigests[0]);
  });

/** The replicas by key, up to the end of the page that ends first; later keys are left for the next pages. */
const replicasByKey = (pages: MemberReply<Page>[]): { replicas: KeyReplicas[]; end: string | null } => {
  const ends = pages.map(({ reply }) => reply.next).filter((next): next is string => next !== null);
  const end = ends.length ? ends.reduce((a, b) => (a < b ? a : b)) : null;
  const byKey = new Map<string, ListedReplica[]>();
  for (const { member, reply } of pages)
    for (const { key, accepted, extended, bytes } of reply.keys) {
      if (end !== null && key > end) continue;
      byKey.set(key, [
        ...(byKey.get(key) ?? []),
        { member, accepted, extendedUntil: extended ?? 0, bytes: bytes ?? 0 },
      ]);
    }
  return { replicas: [...byKey].sort(([a], [b]) => (a < b ? -1 : 1)), end };
};

/** Settles the keys whose replicas are inconsistent, several at once; false if one could not be settled. */
const settlePage = async (
  options: SweepOptions,
  memory: MemoryBudget,
  result: SweepResult,
  listed: KeyReplicas[],
  answerCount: number,
): Promise<boolean> => {
  const { clock, registers, afterGroupChange, pause } = options;
  const needed = majorityOf(options);
  const remaining = [...listed];
  let failed = false;
  const isConsistent = (replicas: ListedReplica[]): boolean =>
    afterGroupChange
      ? isOnMajority(replicas, needed)
      : replicas.length === answerCount && replicas.every((replica) => isSame(replica, replicas[0]!));
  const settle = async (key: string, replicas: ListedReplica[]): Promise<void> => {
    result.seen += 1;
    if (!isConsistent(replicas)) {
      const bytes = Math.max(...replicas.map((replica) => replica.bytes));
      await withMemory(memory, bytes, () => registers.settleKey(key, settleTimeout));
      result.repaired += 1;
    }
    options.onProgress?.(result.seen);
    if (pause > 0) await time.sleep(clock, pause);
  };
  const runWorker = async (): Promise<void> => {
    for (let next = remaining.shift(); next && !failed; next = remaining.shift()) {
      if (!options.shouldContinue()) failed = true;
      else await settle(...next).catch(() => (failed = true));
    }
  };
  await Promise.all(Array.from({ length: concurrencyOf(options).keys }, runWorker));
  return !failed;
};

/**
 * Lists and settles ranges, several at once, and removes members that do not answer from `responsive`. False on
 * failure.
 */
const sweepRanges = async (
  options: SweepOptions,
  result: SweepResult,
  ranges: number[],
  responsive: { members: Member[] },
): Promise<boolean> => {
  const needed = majorityOf(options);
  const memory = openMemoryBudget(maxBytesInProgress, 0);
  const remaining = [...ranges];
  let failed = false;
  const sweepRange = async (range: number): Promise<boolean> => {
    for (let after: string | null = ''; after !== null;) {
      if (!options.shouldContinue() || failed) return false;
      const body = { after, limit: pageSize, range };
      const pages: MemberReply<Page>[] = await request<ListReply>(options, responsive.members, messages.list, body);
      if (pages.length < needed) return false;
      responsive.members = responsive.members.filter((member) => pages.some((page) => page.member === member));
      const { replicas, end } = replicasByKey(pages);
      if (!(await settlePage(options, memory, result, replicas, pages.length))) return false;
      after = end;
    }
    return true;
  };
  const runWorker = async (): Promise<void> => {
    for (let range = remaining.shift(); range !== undefined && !failed; range = remaining.shift())
      if (!(await sweepRange(range))) failed = true;
  };
  await Promise.all(Array.from({ length: concurrencyOf(options).ranges }, runWorker));
  return !failed;
};

/** Runs anti-entropy of registers. */
export const sweep = {
  /** Runs one pass. Never rejects: a result that is not complete means that the pass has to be repeated. */
  pass: async (options: SweepOptions): Promise<SweepResult> => {
    const { group, afterGroupChange } = options;
    const result: SweepResult = {
      complete: false,
      groupVersion: group.version,
      seen: 0,
      repaired: 0,
      purged: 0,
      ranges: 0,
    };
    const needed = majorityOf(options);
    const digestReplies = await request<DigestReply>(options, group.members, messages.digest, {});
    if (digestReplies.length < needed) return result;
    const digests = digestReplies.map(({ reply }) => reply.digests);
    const ranges = rangesToList(options, digests, needed);
    result.ranges = ranges.length;
    // Members that did not answer are not sent further requests in this pass.
    const responsive = { members: digestReplies.map(({ member }) => member) };
    if (!(await sweepRanges(options, result, ranges, responsive))) return result;
    result.complete = true;
    if (afterGroupChange || responsive.members.length < group.members.length) return result;
    await Promise.all(group.members.map((member) => notifyFilled(options, member)));
    result.purged = await dropExpired(options);
    return result;
  },
};
