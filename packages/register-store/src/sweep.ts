// The sweep (§6.5): finds the copies that no read has mended, drops what has expired everywhere,
// and after a change of group brings every record onto a majority of the new one.
import { time, us, type Clock, type Us } from '@thornsail/runtime';
import type { Pipe } from '@thornsail/rpc';
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
import { ranges } from './shelf.js';

export type SweepResult = {
  complete: boolean;
  mark: number;
  seen: number;
  mended: number;
  purged: number;
  ranges: number;
};
/** Keys settled at once: after a change of group, and else. */
const atOnce = { all: 16, mending: 4 };
/** Keys that are looked at for dropping in one go. */
const dueAtOnce = 256;
type Found = { k: Keep; accepted: Ballot; extended: Us };
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
  pipe: Pipe;
  group: Group;
  pause: Us;
  still: () => boolean;
}): Promise<number> => {
  const { pipe, group } = o;
  const each = <T>(kind: string, body: object): Promise<(T | undefined)[]> =>
    Promise.all(
      group.members.map((k) =>
        pipe.ask<T>(k.at, kind, { to: k.id, group, ...body }, us.ms(800)).catch(() => undefined),
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
const tellFilled = (o: { pipe: Pipe; group: Group }, k: Keep): Promise<unknown> =>
  o.pipe.ask(k.at, 'reg.filled', { to: k.id, group: o.group }, us.ms(800)).catch(() => undefined);

export const sweep = {
  /**
   * One pass. `all` settles every key (after a group change). Otherwise the keepers' digests are compared by range,
   * and only what differs or may be dropped is listed.
   */
  pass: async (o: {
    clock: Clock;
    pipe: Pipe;
    registers: Registers;
    group: Group;
    all: boolean;
    pause: Us;
    still: () => boolean;
    progress?: (seen: number) => void;
  }): Promise<SweepResult> => {
    const { clock, pipe, registers, group } = o;
    const r: SweepResult = { complete: false, mark: group.mark, seen: 0, mended: 0, purged: 0, ranges: 0 };
    const need = majority(group.members.length);
    const got = await Promise.all(
      group.members.map((k) =>
        pipe.ask<DigestResult>(k.at, 'reg.digest', { to: k.id, group }, us.ms(800)).catch(() => undefined),
      ),
    );
    const digested = got.flatMap((d) => (d?.ok ? [d] : []));
    if (digested.length < need) return r;
    const todo = Array.from({ length: ranges }, (_, i) => i).filter((i) => {
      const here = digested.map((d) => d.digests[i]!);
      // After a change of group it is enough that a majority of the new one, asked under its mark, holds the same.
      if (o.all) return !here.some((d) => here.filter((x) => x === d).length >= need);
      return here.some((d) => d !== here[0]);
    });
    r.ranges = todo.length;
    let range = todo.shift();
    let after = '';
    const limit = 128;
    let whole = digested.length === group.members.length;
    const over = async (): Promise<SweepResult> => {
      r.complete = true;
      if (o.all || !whole) return r;
      await Promise.all(group.members.map((k) => tellFilled(o, k)));
      r.purged = await dropDue(o);
      return r;
    };
    if (range === undefined) return over();
    while (o.still()) {
      const pages = await Promise.all(
        group.members.map((k) =>
          pipe.ask<ListResult>(k.at, 'reg.list', { to: k.id, group, after, limit, range }, us.ms(800)).then(
            (l) => ({ k, l }),
            () => undefined,
          ),
        ),
      );
      const good = pages.flatMap((p) => (p?.l.ok ? [{ k: p.k, l: p.l }] : []));
      if (good.length < need) return r;
      whole &&= good.length === group.members.length;
      // Keys beyond the shortest full page are left for the next one.
      const ends = good.map((g) => g.l.next).filter((n): n is string => n !== null);
      const end = ends.length ? ends.reduce((a, b) => (a < b ? a : b)) : null;
      const byKey = new Map<string, Found[]>();
      for (const { k, l } of good)
        for (const e of l.keys)
          if (end === null || e.key <= end)
            byKey.set(e.key, [...(byKey.get(e.key) ?? []), { k, accepted: e.accepted, extended: e.extended ?? 0 }]);
      const keys = [...byKey].sort(([a], [b]) => (a < b ? -1 : 1));
      const failed = { any: false };
      const work = async (): Promise<void> => {
        for (let x = keys.shift(); x && !failed.any; x = keys.shift()) {
          const [key, copies] = x;
          if (!o.still()) {
            failed.any = true;
            return;
          }
          r.seen += 1;
          const first = copies[0]!;
          const same = copies.length === good.length && copies.every((c) => alike(c, first));
          if (o.all ? !onMajority(copies, need) : !same) {
            try {
              await registers.settleKey(key, us.s(2));
            } catch {
              failed.any = true;
              return;
            }
            r.mended += 1;
          }
          o.progress?.(r.seen);
          if (o.pause > 0) await time.sleep(clock, o.pause);
        }
      };
      // After a change of group many keys at once: until it is complete no further keeper may fail.
      await Promise.all(Array.from({ length: o.all ? atOnce.all : atOnce.mending }, work));
      if (failed.any) return r;
      if (end !== null) {
        after = end;
        continue;
      }
      range = todo.shift();
      after = '';
      if (range === undefined) return over();
    }
    return r;
  },
};
