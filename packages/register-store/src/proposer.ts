// What the parts of a proposer share (§6.2): attempts with a growing pause, what a majority says, reads.
import { fault, hash, time, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { remembered, type Remembered, type Walls } from './known.js';
import { majority, type Asked, type Good, type Members } from './members.js';
import {
  ballot,
  untilOf,
  type Ballot,
  type Group,
  type Held,
  type Keep,
  type ReadReply,
  type Seen,
} from './messages.js';

export type Counts = {
  rounds: number;
  quick: number;
  conflicts: number;
  mended: number;
  reads: number;
  done: number;
  reserved: number;
  extended: number;
  fetched: number;
  openings: number;
  opened: number;
};
export type Proposer = {
  runtime: Runtime;
  rpc: Rpc;
  members: Members;
  cache: Remembered;
  /** In every ballot and every op: short, and of no other proposer before or after. */
  me: string;
  c: Counts;
};
export const proposer = (o: { runtime: Runtime; rpc: Rpc; by: string; members: Members }): Proposer => ({
  runtime: o.runtime,
  rpc: o.rpc,
  members: o.members,
  cache: remembered(),
  me: hash.of(o.by).toString(36) + o.runtime.rand.id().slice(0, 10),
  c: {
    rounds: 0,
    quick: 0,
    conflicts: 0,
    mended: 0,
    reads: 0,
    done: 0,
    reserved: 0,
    extended: 0,
    fetched: 0,
    openings: 0,
    opened: 0,
  },
});

const askWithin = duration.ms(400);
/** `again` at once, or nothing yet: then after a pause. */
type Attempt<R> = { result: R } | 'again' | undefined;
/** Repeats `once` until it gives a result, or the time is over; the pause grows, and differs by chance. */
export const attempts = async <R>(
  x: Proposer,
  o: { step: string; what: string; end: Microseconds },
  once: (g: Group, round: number, left: Microseconds) => Promise<Attempt<R>>,
): Promise<R> => {
  const { clock, rand } = x.runtime;
  for (let round = 0; ; round++) {
    const left = o.end - clock.now();
    if (left <= 0) throw fault.make({ step: o.step, code: 'no-majority' }, `${o.what}: no majority in time`);
    let g: Group;
    try {
      g = x.members.group();
    } catch (e) {
      if (left < duration.ms(50)) throw e;
      await time.sleep(clock, duration.ms(50));
      continue;
    }
    const got = await once(g, round, Math.min(left, askWithin));
    if (got === 'again') continue;
    if (got) return got.result;
    await time.sleep(clock, duration.ms(2 + rand.int(Math.min(60, 6 * (round + 1)))));
  }
};

/** What a majority says of one key: the highest ballot, how many have it, its value if one of them sent it. */
export type Agreed = {
  accepted: Ballot;
  held: Held | null | undefined;
  /** Until when it is kept: as the value says, and by the latest extension that any of them has seen. */
  until: Microseconds;
  extended: Microseconds;
  walls: Walls;
  same: number;
};
export const agreed = <T>(ok: Good<T>[], seenOf: (x: Good<T>) => Seen): Agreed => {
  const all = ok.map(seenOf);
  const accepted = all.reduce((b, s) => ballot.max(b, s.accepted), ballot.zero);
  const best = all.filter((s) => ballot.same(s.accepted, accepted));
  const walls = ok.map((x) => x.reply.wall);
  return {
    accepted,
    held: best.find((s) => s.held !== undefined)?.held,
    until: Math.max(...best.map(untilOf)),
    extended: Math.max(...all.map((s) => s.extended ?? 0)),
    walls: { min: Math.min(...walls), max: Math.max(...walls) },
    same: best.length,
  };
};

/** Whether what a majority shows is settled: an opening is only once all members show it (§6.2). */
export const decided = (g: Group, a: Agreed): boolean =>
  a.same >= (ballot.isOpening(a.accepted) ? g.members.length : majority(g.members.length));

/** An opening that a majority shows: the last answer likely saves settling it. */
export const lacksLast = (g: Group, a: Agreed): boolean =>
  ballot.isOpening(a.accepted) && a.same >= majority(g.members.length) && !decided(g, a);

export type ReadMany = { copies: Seen[] };
/** Asks for the copies of several keys; the values of members for which `bare` holds are left out. */
export const askCopies = (
  x: Proposer,
  g: Group,
  keys: string[],
  left: Microseconds,
  o: { bare: (k: Keep) => boolean; only?: Keep[] },
): Asked<ReadMany>[] => {
  const [full, bare] = [{ keys }, { keys, bare: true }];
  const { only } = o;
  const one = async (k: Keep, key: string): Promise<Seen> => {
    const [a] = x.members.ask<ReadReply>(g, 'reg.read', () => ({ key }), left, { only: [k] });
    const r = await a!.reply;
    if (r.ok && r.copy) return r.copy;
    throw fault.make({ step: 'reg.read', sibling: k.at }, 'no copy');
  };
  return x.members
    .ask<ReadReply>(g, 'reg.read', (k) => (o.bare(k) ? bare : full), left, {
      ...(only ? { only } : {}),
      whole: { key: keys[0] },
    })
    .map(({ from, reply }) => ({
      from,
      reply: reply.then(async (r) => {
        if (!r.ok) return r;
        // A store of the release before knows one key at a time.
        const copies = r.copies ?? [r.copy!, ...(await Promise.all(keys.slice(1).map((key) => one(from, key))))];
        return { ...r, copies };
      }),
    }));
};
