/**
 * Anti-entropy (§6.5): a sweep finds the replicas that no read has repaired, drops what has expired everywhere, and
 * after a change of group brings every register onto a majority of the new one.
 */
import { time, duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { ballot, type Ballot } from './ballot.js';
import { dropExpired } from './drop-expired.js';
import type { Registers } from './registers.js';
import { rangeCount } from './replica-table.js';
import { requestMembers, tellFilled, type MemberReply } from './sweep-requests.js';
import { majority, type Group, type Member } from './types.js';
import { messages, type DigestReply, type ListReply } from './wire.js';

/** What one pass did. */
export type SweepResult = {
  /** Whether all that differs was settled. */
  complete: boolean;
  /** The version of the group. */
  groupVersion: number;
  /** Keys looked at, settled, and dropped; ranges listed. */
  seen: number;
  repaired: number;
  purged: number;
  ranges: number;
};
/**
 * Ranges looked at, and keys of each settled, at once. After a change of group no further store may fail before all is
 * settled, and each waits for its disk: many share one sync.
 */
const paces = {
  change: { ranges: 16, keys: 16 },
  fill: { ranges: 8, keys: 8 },
  usual: { ranges: 1, keys: 4 },
};
/** How much is done at once. */
export type SweepPace = keyof typeof paces;
/** One pass. */
export type SweepOptions = {
  clock: Clock;
  rpc: Rpc;
  registers: Registers;
  group: Group;
  /** Settles every key, as after a change of group; else only what differs or may be dropped is listed. */
  all: boolean;
  /** Between two keys; 0 for none. */
  pause: Microseconds;
  /** As `change` where `all` is asked for, else `usual`, unless it is given. */
  pace?: SweepPace;
  shouldContinue: () => boolean;
  /** Is told how many keys were looked at. */
  onProgress?: (seen: number) => void;
};

const settleTimeout = duration.s(2);
/** Keys listed in one answer. */
const pageSize = 128;
type Page = Extract<ListReply, { ok: true }>;
/** What one member has of a key. */
type Listed = { member: Member; accepted: Ballot; extendedUntil: Microseconds };
type KeyListed = [key: string, replicas: Listed[]];

const isSame = (a: Listed, b: Listed): boolean =>
  ballot.equals(a.accepted, b.accepted) && a.extendedUntil === b.extendedUntil;
/** The value, and with it the latest extension that is known of it. */
const isOnMajority = (replicas: Listed[], needed: number): boolean => {
  const latest = Math.max(...replicas.map(({ extendedUntil }) => extendedUntil));
  return replicas.some(
    (one) => one.extendedUntil === latest && replicas.filter((other) => isSame(other, one)).length >= needed,
  );
};

const paceOf = ({ pace, all }: SweepOptions): { ranges: number; keys: number } =>
  paces[pace ?? (all ? 'change' : 'usual')];
const neededOf = (options: SweepOptions): number => majority(options.group.members.length);
/** Asks members; after a change of group those that come a little after a majority are enough. */
const ask = <T extends { ok: boolean }>(
  options: SweepOptions,
  members: Member[],
  message: string,
  body: object,
): Promise<MemberReply<Extract<T, { ok: true }>>[]> =>
  requestMembers<T>(options, members, message, body, options.all ? neededOf(options) : undefined);

/** The ranges that have to be listed, by the digests of those that answered. */
const rangesToList = ({ all }: SweepOptions, digests: number[][], needed: number): number[] =>
  Array.from({ length: rangeCount }, (_, range) => range).filter((range) => {
    const here = digests.map((of) => of[range]!);
    // After a change of group it is enough that a majority of the new one, asked under its version, holds the same.
    if (all) return !here.some((digest) => here.filter((other) => other === digest).length >= needed);
    return here.some((digest) => digest !== here[0]);
  });

/** The replicas by key, and up to which key they go: keys beyond the shortest full page are left for the next. */
const replicasByKey = (pages: MemberReply<Page>[]): { replicas: KeyListed[]; end: string | null } => {
  const ends = pages.map(({ reply }) => reply.next).filter((next): next is string => next !== null);
  const end = ends.length ? ends.reduce((a, b) => (a < b ? a : b)) : null;
  const byKey = new Map<string, Listed[]>();
  for (const { member, reply } of pages)
    for (const { key, accepted, extended } of reply.keys) {
      if (end !== null && key > end) continue;
      byKey.set(key, [...(byKey.get(key) ?? []), { member, accepted, extendedUntil: extended ?? 0 }]);
    }
  return { replicas: [...byKey].sort(([a], [b]) => (a < b ? -1 : 1)), end };
};

/** Settles what is not as it should be, several keys at once; false if one could not be. */
const settlePage = async (
  options: SweepOptions,
  result: SweepResult,
  listed: KeyListed[],
  answered: number,
): Promise<boolean> => {
  const { clock, registers, all, pause } = options;
  const needed = neededOf(options);
  const left = [...listed];
  let failed = false;
  const isConsistent = (replicas: Listed[]): boolean =>
    all
      ? isOnMajority(replicas, needed)
      : replicas.length === answered && replicas.every((one) => isSame(one, replicas[0]!));
  const settle = async (key: string, replicas: Listed[]): Promise<void> => {
    result.seen += 1;
    if (!isConsistent(replicas)) {
      await registers.settleKey(key, settleTimeout);
      result.repaired += 1;
    }
    options.onProgress?.(result.seen);
    if (pause > 0) await time.sleep(clock, pause);
  };
  const work = async (): Promise<void> => {
    for (let next = left.shift(); next && !failed; next = left.shift()) {
      if (!options.shouldContinue()) failed = true;
      else await settle(...next).catch(() => (failed = true));
    }
  };
  await Promise.all(Array.from({ length: paceOf(options).keys }, work));
  return !failed;
};

/** Lists and settles ranges, several at once; members that do not answer leave `asked`. False if any is unsettled. */
const sweepRanges = async (
  options: SweepOptions,
  result: SweepResult,
  ranges: number[],
  asked: { members: Member[] },
): Promise<boolean> => {
  const needed = neededOf(options);
  const left = [...ranges];
  let failed = false;
  const sweepRange = async (range: number): Promise<boolean> => {
    for (let after: string | null = ''; after !== null;) {
      if (!options.shouldContinue() || failed) return false;
      const body = { after, limit: pageSize, range };
      const pages: MemberReply<Page>[] = await ask<ListReply>(options, asked.members, messages.list, body);
      if (pages.length < needed) return false;
      asked.members = asked.members.filter((member) => pages.some((page) => page.member === member));
      const { replicas, end } = replicasByKey(pages);
      if (!(await settlePage(options, result, replicas, pages.length))) return false;
      after = end;
    }
    return true;
  };
  const work = async (): Promise<void> => {
    for (let range = left.shift(); range !== undefined && !failed; range = left.shift())
      if (!(await sweepRange(range))) failed = true;
  };
  await Promise.all(Array.from({ length: paceOf(options).ranges }, work));
  return !failed;
};

/** Anti-entropy of registers. */
export const sweep = {
  /** Makes one pass. Never fails: a result that isn't complete says that it has to be made again. */
  pass: async (options: SweepOptions): Promise<SweepResult> => {
    const { group, all } = options;
    const result: SweepResult = {
      complete: false,
      groupVersion: group.version,
      seen: 0,
      repaired: 0,
      purged: 0,
      ranges: 0,
    };
    const needed = neededOf(options);
    const digested = await ask<DigestReply>(options, group.members, messages.digest, {});
    if (digested.length < needed) return result;
    const digests = digested.map(({ reply }) => reply.digests);
    const ranges = rangesToList(options, digests, needed);
    result.ranges = ranges.length;
    // Those that did not answer are not asked again in this pass.
    const asked = { members: digested.map(({ member }) => member) };
    if (!(await sweepRanges(options, result, ranges, asked))) return result;
    result.complete = true;
    if (all || asked.members.length < group.members.length) return result;
    await Promise.all(group.members.map((member) => tellFilled(options, member)));
    result.purged = await dropExpired(options);
    return result;
  },
};
