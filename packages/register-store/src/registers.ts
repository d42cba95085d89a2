// The proposer's side of registers (§6.2): one ballot for each change, decided by a majority of the group.
// There is no leader, so losing a store leaves no gap.
import { lock, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { Known, Walls } from './known.js';
import { majority, members } from './members.js';
import {
  ballot,
  keptUntil,
  type AcceptReply,
  type Ballot,
  type ExtendReply,
  type Group,
  type Held,
} from './messages.js';
import type { PrepareReply } from './messages.js';
import { agreed, askCopies, attempts, decided, proposer, type Agreed, type Counts } from './proposer.js';
import { fetchValues, hangsOnExtension, mend, reader } from './read.js';

export type { Walls } from './known.js';
export { majority } from './members.js';
export type Write<R> = { held: Omit<Held, 'ops'> | null; result: R } | { keep: true; result: R };
/** Sees the agreed value, the stores' walls and until when the value was to be kept (0 if there is none). */
type Fn<R> = (value: unknown, walls: Walls, until: Microseconds) => Write<R>;
export type Registers = {
  /** Reads the agreed value; throws with code 'no-majority' rather than say it is missing. */
  read: (key: string, timeLeft?: Microseconds) => Promise<unknown>;
  /** As `read` for several keys, in their order, with one frame to each store. */
  /** `once`: these are written once, so any copy's value is the value, and need not be settled (§6.2). */
  readMany: (keys: string[], timeLeft?: Microseconds, o?: { once?: boolean }) => Promise<unknown[]>;
  /**
   * Compare-and-set by function: `fn` sees the agreed value and gives the next. It may be called more than once,
   * but takes effect once: a round whose accepts went to a minority is recognised if its value lives on. `fresh`: there
   * is likely nothing under this key yet; then one round is enough, if all stores answer in time (§6.2). `past`:
   * other proposers have likely changed it since this one did, and it has seen about so many ballots: what was
   * promised here is not tried, and the first ballot is above them.
   */
  change: <R>(key: string, fn: Fn<R>, timeLeft?: Microseconds, o?: { fresh?: boolean; past?: number }) => Promise<R>;
  /** Runs the prepare round ahead of time: the next `change` of this key here takes one round, if no other comes. */
  reserve: (key: string, timeLeft?: Microseconds) => Promise<void>;
  /**
   * Keeps values until this wall time at least, on a majority and without ballots; values that last longer stay as
   * they are. Gives the keys that have no value. Throws with code 'no-majority' if it is not known for all.
   */
  extend: (keys: string[], until: Microseconds, timeLeft?: Microseconds) => Promise<string[]>;
  /** Brings one key onto a majority of the present group under its mark (§6.5). */
  settleKey: (key: string, timeLeft?: Microseconds) => Promise<void>;
  reachable: (timeLeft?: Microseconds) => Promise<boolean>;
  /** Whether a store group is known at all. */
  known: () => boolean;
  counts: () => Counts;
};

/** How many changes a value remembers: more than can be in flight for one key at once. */
const opsKept = 12;
const askWithin = duration.ms(400);
type How = { force?: boolean; fresh?: boolean; past?: number };
type Done<R> = { result: R } | undefined;
const untilAll = (h: Held | null, extended: Microseconds): Microseconds => keptUntil(h?.until ?? 0, extended);

export const registers = {
  /** `near` ranks stores by id, the lower the nearer: values are read from the nearest. */
  open: (o: {
    runtime: Runtime;
    rpc: Rpc;
    by: string;
    group: () => Group | undefined;
    near?: (storeId: string) => number;
  }): Registers => {
    const x = proposer({ ...o, members: members.open(o) });
    const { cache, c, me } = x;
    const { clock } = o.runtime;
    const short = lock.keyed();
    let opNo = 0;

    type Prepared = { mine: Ballot; held: Held | null; extended: Microseconds; walls: Walls; a?: Agreed };
    /** Ballots have to be above what was in the way before. */
    type Top = { ballot: Ballot };
    const lost = (top: Top, no: Parameters<typeof x.members.learn>[0], mine: Ballot): undefined => {
      top.ballot = ballot.max(top.ballot, ballot.max(x.members.learn(no), mine));
      c.conflicts += 1;
      return undefined;
    };
    const prepare = async (g: Group, key: string, top: Top, left: Microseconds): Promise<Prepared | undefined> => {
      c.rounds += 1;
      const mine: Ballot = [Math.max(top.ballot[0], x.members.floor()) + 1, me];
      const known = cache.get(key);
      const nearest = x.members.near(g, key)[0];
      const full = { key, ballot: mine, lean: true, ...(known?.held ? { has: known.accepted } : {}) };
      const bare = { ...full, bare: true };
      const asked = x.members.ask<PrepareReply>(g, 'reg.prepare', (k) => (k === nearest ? full : bare), left);
      const withKnown = (a: Agreed): Agreed =>
        a.held === undefined && known && ballot.same(known.accepted, a.accepted) ? { ...a, held: known.held } : a;
      const r = await x.members.gather(
        asked,
        (ok, failed) =>
          failed.includes(nearest!) ||
          ok.some((y) => y.from === nearest) ||
          withKnown(agreed(ok, (y) => y.reply.copy)).held !== undefined,
      );
      if (r.ok.length < majority(g.members.length)) return lost(top, r.no, mine);
      const a = withKnown(agreed(r.ok, (y) => y.reply.copy));
      if (a.held === undefined) {
        const from = r.ok.filter((y) => ballot.same(y.reply.copy.accepted, a.accepted)).map((y) => y.from);
        await fetchValues(x, g, [{ key, a, from }], left);
      }
      if (a.held === undefined) return lost(top, [], mine);
      const copies = r.late.then((l) => l.map((y) => ({ from: y.from, accepted: y.reply.copy.accepted })));
      if (decided(g, a)) mend(x, g, key, a, copies);
      return { mine, held: a.held, extended: a.extended, walls: a.walls, a };
    };
    /** What was promised to this proposer before: no prepare is needed. */
    const promised = (k: Known | undefined, g: Group): Prepared | undefined => {
      if (!k?.next || k.mark !== g.mark) return undefined;
      const walls = { min: k.walls.min + clock.now() - k.at, max: k.walls.max + clock.now() - k.at };
      // One that seems to have ended may have been extended by another.
      const until = untilAll(k.held, k.extended);
      if (until > 0 && until <= walls.min) return undefined;
      return { mine: k.next, held: k.held, extended: k.extended, walls };
    };
    /** Keeps what is known of the value, but not the promise. */
    const unpromise = (key: string): void => {
      const k = cache.get(key);
      if (!k?.next) return;
      const { next: _, ...rest } = k;
      cache.set(key, rest);
    };
    const know = (g: Group, key: string, p: Prepared, accepted: Ballot, next: Ballot): void =>
      cache.set(key, {
        mark: g.mark,
        accepted,
        held: p.held,
        extended: p.extended,
        next,
        walls: p.walls,
        at: clock.now(),
      });

    const accept = async (
      g: Group,
      key: string,
      p: Prepared,
      put: Held | null,
      top: Top,
      end: Microseconds,
    ): Promise<boolean> => {
      const next: Ballot = [p.mine[0] + 1, me];
      const extended = p.extended > 0 ? { extended: p.extended } : {};
      const body = { key, ballot: p.mine, held: put, next, ...extended, lean: true };
      const left = Math.min(end - clock.now() + duration.ms(1), askWithin);
      const begun = clock.now();
      const r = await x.members.gather(x.members.ask<AcceptReply>(g, 'reg.accept', () => body, left));
      x.members.took(clock.now() - begun);
      if (r.ok.length < majority(g.members.length)) {
        unpromise(key);
        lost(top, r.no, p.mine);
        return false;
      }
      const walls = r.ok.map((y) => y.reply.wall);
      const at = { ...p, held: put, walls: { min: Math.min(...walls), max: Math.max(...walls) } };
      know(g, key, at, p.mine, next);
      c.done += 1;
      return true;
    };
    /** An opening: accepted by all members without a prepare, as nothing was there; else undefined. */
    const opened = async <R>(
      g: Group,
      key: string,
      fn: Fn<R>,
      tried: Map<string, R>,
      top: Top,
      left: Microseconds,
    ): Promise<Done<R>> => {
      const walls = x.members.walls(g);
      if (!walls || !x.members.well(g)) return undefined;
      const r = fn(undefined, walls, 0);
      if ('keep' in r || r.held === null) return undefined;
      const op = `${me}.${(++opNo).toString(36)}`;
      const mine = ballot.opening(op);
      const above: Ballot = [x.members.floor() + 1, me];
      const next: Ballot = [above[0] + 1, me];
      tried.set(op, r.result);
      const put: Held = { ...r.held, ops: [op] };
      const body = { key, op, ballot: above, held: put, next };
      c.openings += 1;
      const all = await x.members.gather(
        x.members.ask<AcceptReply>(g, 'reg.open', () => body, left),
        (ok, failed) => failed.length > 0 || ok.length === g.members.length,
        () => x.members.lastWithin(g),
      );
      top.ballot = ballot.max(next, x.members.learn(all.no));
      if (all.ok.length < g.members.length) return undefined;
      const said = all.ok.map((y) => y.reply.wall);
      const at = { min: Math.min(...said), max: Math.max(...said) };
      know(g, key, { mine, held: put, extended: 0, walls: at }, mine, next);
      c.opened += 1;
      c.done += 1;
      return { result: r.result };
    };
    const change = <R>(key: string, fn: Fn<R>, timeLeft: Microseconds = duration.s(2), o: How = {}): Promise<R> =>
      short(key, async () => {
        const end = clock.now() + timeLeft;
        const top: Top = { ballot: ballot.zero };
        const tried = new Map<string, R>();
        const { force = false, fresh = false, past = 0 } = o;
        if (past > 0) top.ballot = [x.members.floor() + past, me];
        return attempts<R>(x, { step: 'register.change', what: key, end }, async (g, round, left) => {
          const first = round === 0 && fresh && !force && !cache.get(key);
          const done = first ? await opened(g, key, fn, tried, top, left) : undefined;
          if (done) return done;
          const quick = round === 0 && !force && past === 0 ? promised(cache.get(key), g) : undefined;
          if (quick) c.quick += 1;
          const p = quick ?? (await prepare(g, key, top, left));
          if (!p) return undefined;
          const { held } = p;
          const until = untilAll(held, p.extended);
          const lived = held?.ops.find((op) => tried.has(op));
          const r: Write<R> =
            lived !== undefined
              ? { keep: true, result: tried.get(lived)! }
              : held === null || until <= p.walls.min
                ? fn(undefined, p.walls, 0)
                : fn(held.value, p.walls, until);
          if ('keep' in r && quick) {
            // Nothing is written, so what this proposer remembers has to be confirmed first.
            unpromise(key);
            return 'again';
          }
          if ('keep' in r && !force && decided(g, p.a!) && !hangsOnExtension(p.a!)) {
            // A majority has it already.
            know(g, key, p, p.a!.accepted, p.mine);
            return { result: r.result };
          }
          const op = `${me}.${(++opNo).toString(36)}`;
          const ops = [...(held?.ops ?? []), op].slice(-opsKept);
          // An absent value leaves its tail of changes behind: they can still be asked for.
          const put: Held | null =
            'keep' in r ? held : r.held === null ? { value: null, until: 0, ops } : { ...r.held, ops };
          if (!('keep' in r)) tried.set(op, r.result);
          if (await accept(g, key, p, put, top, end)) return { result: r.result };
          // What was promised has been overtaken by another edge's change: its ballot is known now.
          return quick ? 'again' : undefined;
        });
      });
    const settle = (key: string, timeLeft?: Microseconds): Promise<unknown> =>
      change<unknown>(key, (value) => ({ keep: true, result: value }), timeLeft, { force: true });
    const readMany = reader(x, settle);
    const reserve = (key: string, timeLeft: Microseconds = duration.s(2)): Promise<void> =>
      short(key, () => {
        const top: Top = { ballot: ballot.zero };
        const end = clock.now() + timeLeft;
        return attempts<void>(x, { step: 'register.reserve', what: key, end }, async (g, _round, left) => {
          if (promised(cache.get(key), g)) return { result: undefined };
          const p = await prepare(g, key, top, left);
          if (!p) return undefined;
          know(g, key, p, p.a!.accepted, p.mine);
          c.reserved += 1;
          return { result: undefined };
        });
      });

    /** By a ballot, for a key of which too few stores have a value; true if there is none. */
    const extendByBallot = (key: string, until: Microseconds, left: Microseconds): Promise<boolean> =>
      change<boolean>(
        key,
        // Written even if one store has it extended already: it has to be on a majority.
        (v, _walls, was) =>
          v === undefined
            ? { keep: true, result: true }
            : { held: { value: v, until: Math.max(was, until) }, result: false },
        left,
      );
    const extend = async (
      keys: string[],
      until: Microseconds,
      timeLeft: Microseconds = duration.s(2),
    ): Promise<string[]> => {
      const end = clock.now() + timeLeft;
      const g = x.members.group();
      const need = majority(g.members.length);
      const body = { keys, until };
      const asked = x.members.ask<ExtendReply>(g, 'reg.extend', () => body, Math.min(timeLeft, askWithin));
      const found = (ok: { reply: ExtendReply }[], i: number): number => ok.filter((y) => y.reply.found[i]).length;
      const clear = (n: number): boolean => n >= need || n === 0;
      const r = await x.members.gather(asked, (ok) => keys.every((_, i) => clear(found(ok, i))));
      x.members.learn(r.no);
      const told = r.ok.length >= need;
      const missing = await Promise.all(
        keys.map(async (key, i) => {
          const n = found(r.ok, i);
          if (told && n >= need) {
            const k = cache.get(key);
            if (k?.held) k.extended = Math.max(k.extended, until);
            c.extended += 1;
            return false;
          }
          return (told && n === 0) || extendByBallot(key, until, end - clock.now());
        }),
      );
      return keys.filter((_, i) => missing[i]);
    };
    return {
      change: (key, fn, timeLeft, how = {}) => change(key, fn, timeLeft, how),
      reserve,
      extend,
      settleKey: async (key, timeLeft) => void (await settle(key, timeLeft)),
      read: async (key, timeLeft = duration.s(2)) => (await readMany([key], timeLeft))[0],
      readMany: (keys, timeLeft = duration.s(2), o = {}) => readMany(keys, timeLeft, o),
      reachable: async (timeLeft = duration.ms(400)) => {
        try {
          const g = x.members.group();
          const r = await x.members.gather(askCopies(x, g, ['reachable'], timeLeft, { bare: () => true }));
          x.members.learn(r.no);
          return r.ok.length >= majority(g.members.length);
        } catch {
          return false;
        }
      },
      known: x.members.known,
      counts: () => ({ ...c }),
    };
  },
};
