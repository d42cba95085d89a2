// The sweep (§6.5): finds the copies that no read has mended, drops what has expired everywhere,
// and after a change of group brings every record onto a majority of the new one.
import { time, duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import {
  ballot,
  type Ballot,
  type DigestResult,
  type DueResult,
  type Group,
  type Keep,
  type ListResult,
} from './messages.js';
import { majority, type Registers } from './registers.js';
import { ranges } from './replica-table.js';

export type SweepResult = {
  complete: boolean;
  mark: number;
  seen: number;
  mended: number;
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
export type SweepPace = keyof typeof paces;
/** Keys that are looked at for dropping in one go. */
const dueAtOnce = 256;
/** What one member is waited for. */
const askWithin = duration.ms(800);
/** What further members are waited for after a change of group, once a majority has answered. */
const lateWithin = duration.ms(100);
const settleWithin = duration.s(2);
/** Keys listed in one answer. */
const pageOf = 128;
type Found = { k: Keep; accepted: Ballot; extended: Microseconds };
const alike = (a: Found, b: Found): boolean => ballot.same(a.accepted, b.accepted) && a.extended === b.extended;
/** The value, and with it the latest extension that is known of it. */
const onMajority = (copies: Found[], need: number): boolean => {
  const extended = Math.max(...copies.map((c) => c.extended));
  return copies.some((c) => c.extended === extended && copies.filter((x) => alike(x, c)).length >= need);
};

/**
 * Drops what has expired everywhere: what every member has under the same ballot, and has not needed since its grace
 * began. Gives how many, or nothing if a member did not answer.
 */
const dropDue = async (o: {
  clock: Clock;
  rpc: Rpc;
  group: Group;
  pause: Microseconds;
  still: () => boolean;
}): Promise<number> => {
  const { rpc, group } = o;
  const each = <T>(kind: string, body: object): Promise<(T | undefined)[]> =>
    Promise.all(
      group.members.map((k) =>
        rpc.request<T>(k.at, kind, { to: k.id, group, ...body }, duration.ms(800)).catch(() => undefined),
      ),
    );
  for (let dropped = 0; ;) {
    const lists = await each<DueResult>('reg.due', { limit: dueAtOnce });
    const good = lists.flatMap((l) => (l?.ok ? [l] : []));
    if (good.length < group.members.length || !o.still()) return dropped;
    const rest = good.slice(1).map((l) => new Map(l.keys));
    const keys = good[0]!.keys.filter(([key, b]) => rest.every((m) => m.has(key) && ballot.same(m.get(key)!, b)));
    if (keys.length === 0) return dropped;
    await each('reg.drop', { keys, wall: Math.min(...good.map((l) => l.wall)) });
    dropped += keys.length;
    if (o.pause > 0) await time.sleep(o.clock, o.pause);
  }
};

/** All members hold the same now, or it is settled: whatever was opened before is known to this one (§6.5). */
const tellFilled = (o: { rpc: Rpc; group: Group }, k: Keep): Promise<unknown> =>
  o.rpc.request(k.at, 'reg.filled', { to: k.id, group: o.group }, duration.ms(800)).catch(() => undefined);

type Page = Extract<ListResult, { ok: true }>;
type Member<T> = { store: Keep; reply: T };
/**
 * The replies of a group: all that come within `askWithin`, or, with `need`, those that come until a little after so
 * many are there. A member that was lost holds up nothing that is complete without it.
 */
const collect = <T>(clock: Clock, asked: Promise<Member<T> | undefined>[], need?: number): Promise<Member<T>[]> =>
  new Promise((done) => {
    const got: Member<T>[] = [];
    let open = asked.length;
    let waits = false;
    const say = (): void => done([...got]);
    const check = (): void => {
      if (open === 0) return say();
      if (need === undefined || got.length < need || waits) return;
      waits = true;
      clock.schedule(lateWithin, say);
    };
    check();
    for (const one of asked)
      void one.then((reply) => {
        open -= 1;
        if (reply) got.push(reply);
        check();
      });
  });

type Pass = {
  clock: Clock;
  rpc: Rpc;
  registers: Registers;
  group: Group;
  all: boolean;
  pause: Microseconds;
  /** As `change` where `all` is asked for, else `usual`, unless it is said. */
  pace?: SweepPace;
  still: () => boolean;
  progress?: (seen: number) => void;
};
const paceOf = (o: Pass): { ranges: number; keys: number } => paces[o.pace ?? (o.all ? 'change' : 'usual')];
const askMembers = async <T extends { ok: boolean }>(
  o: Pass,
  keepers: Keep[],
  kind: string,
  body: object,
): Promise<Member<Extract<T, { ok: true }>>[]> => {
  const asked = keepers.map((store) =>
    o.rpc.request<T>(store.at, kind, { to: store.id, group: o.group, ...body }, askWithin).then(
      (reply) => (reply.ok ? { store, reply: reply as Extract<T, { ok: true }> } : undefined),
      () => undefined,
    ),
  );
  return collect(o.clock, asked, o.all ? majority(o.group.members.length) : undefined);
};
/** The ranges that have to be listed, by the digests of those that answered. */
const rangesToList = (o: Pass, digests: number[][], need: number): number[] =>
  Array.from({ length: ranges }, (_, i) => i).filter((i) => {
    const here = digests.map((d) => d[i]!);
    // After a change of group it is enough that a majority of the new one, asked under its mark, holds the same.
    if (o.all) return !here.some((d) => here.filter((x) => x === d).length >= need);
    return here.some((d) => d !== here[0]);
  });
/** The copies by key, and up to which key they go: keys beyond the shortest full page are left for the next. */
const copiesByKey = (pages: Member<Page>[]): { copies: [string, Found[]][]; end: string | null } => {
  const ends = pages.map((p) => p.reply.next).filter((n): n is string => n !== null);
  const end = ends.length ? ends.reduce((a, b) => (a < b ? a : b)) : null;
  const byKey = new Map<string, Found[]>();
  for (const { store, reply } of pages)
    for (const { key, accepted, extended } of reply.keys) {
      if (end !== null && key > end) continue;
      byKey.set(key, [...(byKey.get(key) ?? []), { k: store, accepted, extended: extended ?? 0 }]);
    }
  return { copies: [...byKey].sort(([a], [b]) => (a < b ? -1 : 1)), end };
};
/** Settles what is not as it should be, many keys at once after a change of group; false if one could not be. */
const settlePage = async (o: Pass, r: SweepResult, copies: [string, Found[]][], answered: number): Promise<boolean> => {
  const need = majority(o.group.members.length);
  const left = [...copies];
  let failed = false;
  const isSound = (found: Found[]): boolean =>
    o.all ? onMajority(found, need) : found.length === answered && found.every((c) => alike(c, found[0]!));
  const one = async (key: string, found: Found[]): Promise<void> => {
    r.seen += 1;
    if (!isSound(found)) {
      await o.registers.settleKey(key, settleWithin);
      r.mended += 1;
    }
    o.progress?.(r.seen);
    if (o.pause > 0) await time.sleep(o.clock, o.pause);
  };
  const work = async (): Promise<void> => {
    for (let next = left.shift(); next && !failed; next = left.shift()) {
      if (!o.still()) failed = true;
      else await one(...next).catch(() => (failed = true));
    }
  };
  await Promise.all(Array.from({ length: paceOf(o).keys }, work));
  return !failed;
};

export const sweep = {
  /**
   * One pass. `all` settles every key (after a group change). Otherwise the stores' digests are compared by range,
   * and only what differs or may be dropped is listed.
   */
  pass: async (o: Pass): Promise<SweepResult> => {
    const { group } = o;
    const r: SweepResult = { complete: false, mark: group.mark, seen: 0, mended: 0, purged: 0, ranges: 0 };
    const need = majority(group.members.length);
    const digested = await askMembers<DigestResult>(o, group.members, 'reg.digest', {});
    if (digested.length < need) return r;
    const todo = rangesToList(
      o,
      digested.map((d) => d.reply.digests),
      need,
    );
    r.ranges = todo.length;
    // Those that did not answer are not asked again in this pass.
    let asked = digested.map((d) => d.store);
    let failed = false;
    const sweepRange = async (range: number): Promise<boolean> => {
      for (let after: string | null = ''; after !== null;) {
        if (!o.still() || failed) return false;
        const page = { after, limit: pageOf, range };
        const pages: Member<Page>[] = await askMembers<ListResult>(o, asked, 'reg.list', page);
        if (pages.length < need) return false;
        asked = asked.filter((k) => pages.some((p) => p.store === k));
        const { copies, end } = copiesByKey(pages);
        if (!(await settlePage(o, r, copies, pages.length))) return false;
        after = end;
      }
      return true;
    };
    const work = async (): Promise<void> => {
      for (let range = todo.shift(); range !== undefined && !failed; range = todo.shift())
        if (!(await sweepRange(range))) failed = true;
    };
    await Promise.all(Array.from({ length: paceOf(o).ranges }, work));
    if (failed) return r;
    r.complete = true;
    if (o.all || asked.length < group.members.length) return r;
    await Promise.all(group.members.map((k) => tellFilled(o, k)));
    r.purged = await dropDue(o);
    return r;
  },
};
