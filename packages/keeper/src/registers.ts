// The proposer's side of registers (§6.2): one ballot for each change, decided by a majority of the group.
// There is no leader, so losing a keeper leaves no gap.
import { LRUMapWithDelete } from 'mnemonist';
import { fault, lock, time, us, type Lens, type Us } from '@thornsail/lens';
import type { Pipe } from '@thornsail/pipe';
import {
  ballot,
  type AcceptAsk,
  type Ballot,
  type Copy,
  type Group,
  type Held,
  type Keep,
  type Reply,
} from './store.js';

/** The wall as the keepers see it: a moved clock on one of them must not age a value (§6.4). */
export type Walls = { min: Us; max: Us };
export type Write<R> = { held: Omit<Held, 'ops'> | null; result: R } | { keep: true; result: R };
/** Sees the agreed value, the keepers' walls and until when the value was to be kept (0 if there is none). */
type Fn<R> = (value: unknown, walls: Walls, until: Us) => Write<R>;
export type Registers = {
  /** Reads the agreed value; throws with code 'no-majority' rather than say it is missing. */
  read: (key: string, timeLeft?: Us) => Promise<unknown>;
  /**
   * Compare-and-set by function: `fn` sees the agreed value and gives the next. It may be called more than once,
   * but takes effect once: a round whose accepts went to a minority is recognised if its value lives on.
   */
  change: <R>(key: string, fn: Fn<R>, timeLeft?: Us) => Promise<R>;
  /** Brings one key onto a majority of the present group under its mark (§6.5). */
  settleKey: (key: string, timeLeft?: Us) => Promise<void>;
  reachable: (timeLeft?: Us) => Promise<boolean>;
  /** Whether a keeper group is known at all. */
  known: () => boolean;
  counts: () => { rounds: number; quick: number; conflicts: number; mended: number; reads: number; done: number };
};

type Known = { mark: number; next: Ballot; held: Held | null; walls: Walls; at: Us };
/** How many changes a value remembers: more than can be in flight for one key at once. */
const opsKept = 12;
export const majority = (n: number): number => Math.floor(n / 2) + 1;
const absent = (h: Held | null, w: Walls): boolean => h === null || h.until <= w.min;

export const registers = {
  open: (o: { lens: Lens; pipe: Pipe; by: string; group: () => Group | undefined }): Registers => {
    const { lens, pipe, by } = o;
    const { clock } = lens;
    const c = { rounds: 0, quick: 0, conflicts: 0, mended: 0, reads: 0, done: 0 };
    let ahead: Group | undefined;
    const group = (): Group => {
      const g = o.group();
      const best = ahead && (!g || ahead.mark > g.mark) ? ahead : g;
      if (!best) throw fault.make({ step: 'register', code: 'no-majority' }, 'no keeper group is known');
      return best;
    };
    const cache = new LRUMapWithDelete<string, Known>(4096);
    const short = lock.keyed();
    let opNo = 0;

    type Got = { from: Keep; reply: Reply };
    /** Asks every member; resolves when a majority said ok, or none can be had any more. */
    const askAll = (
      g: Group,
      kind: string,
      key: string,
      rest: object,
      left: Us,
    ): Promise<{ ok: { from: Keep; copy: Copy; wall: Us }[]; no: Reply[]; late: Promise<Got[]> }> =>
      new Promise((done) => {
        const ok: { from: Keep; copy: Copy; wall: Us }[] = [];
        const no: Reply[] = [];
        const need = majority(g.members.length);
        let open = g.members.length;
        let said = false;
        const all: Promise<Got | undefined>[] = [];
        const check = (): void => {
          if (said || !(ok.length >= need || ok.length + open < need)) return;
          said = true;
          done({
            ok: [...ok],
            no: [...no],
            late: Promise.all(all).then((x) => x.filter((y): y is Got => y !== undefined)),
          });
        };
        for (const k of g.members) {
          all.push(
            pipe.ask<Reply>(k.at, kind, { to: k.id, group: g, key, ...rest }, left).then(
              (reply) => {
                open -= 1;
                if (reply.ok) ok.push({ from: k, copy: reply.copy, wall: reply.wall });
                else no.push(reply);
                check();
                return { from: k, reply };
              },
              () => {
                open -= 1;
                check();
                return undefined;
              },
            ),
          );
        }
      });
    const walls = (a: { wall: Us }[]): Walls => ({
      min: Math.min(...a.map((x) => x.wall)),
      max: Math.max(...a.map((x) => x.wall)),
    });
    const learn = (no: Reply[]): Ballot => {
      let top = ballot.zero;
      for (const r of no)
        if (!r.ok) {
          if (r.why === 'group' && (!ahead || r.group.mark > ahead.mark)) ahead = r.group;
          if (r.why === 'ballot') top = ballot.max(top, r.promised);
        }
      return top;
    };
    const mend = (g: Group, key: string, late: Promise<Got[]>, accepted: Ballot, held: Held | null): void => {
      void late.then((all) => {
        for (const { from, reply } of all)
          if (reply.ok && ballot.cmp(reply.copy.accepted, accepted) < 0) {
            c.mended += 1;
            pipe
              .ask(from.at, 'reg.mend', { to: from.id, group: g, key, ballot: accepted, held })
              .catch(() => undefined);
          }
      });
    };

    const change = <R>(key: string, fn: Fn<R>, timeLeft: Us = us.s(2), force = false): Promise<R> =>
      short(key, async () => {
        const end = clock.now() + timeLeft;
        let top: Ballot = ballot.zero;
        const tried = new Map<string, R>();
        for (let round = 0; ; round++) {
          const left = end - clock.now();
          if (left <= 0)
            throw fault.make({ step: 'register.change', code: 'no-majority' }, `${key}: no majority in time`);
          const askLeft = Math.min(left, us.ms(400));
          let g: Group;
          try {
            g = group();
          } catch (e) {
            if (left < us.ms(50)) throw e;
            await time.sleep(clock, us.ms(50));
            continue;
          }
          const known = cache.get(key);
          let mine: Ballot;
          let held: Held | null;
          let w: Walls;
          if (known && known.mark === g.mark && round === 0 && !force) {
            // This proposer's last accept also promised its next ballot: no prepare is needed.
            mine = known.next;
            held = known.held;
            w = { min: known.walls.min + clock.now() - known.at, max: known.walls.max + clock.now() - known.at };
            c.quick += 1;
          } else {
            c.rounds += 1;
            mine = [top[0] + 1, by];
            const p = await askAll(g, 'reg.prepare', key, { ballot: mine }, askLeft);
            if (p.ok.length < majority(g.members.length)) {
              top = ballot.max(top, ballot.max(learn(p.no), mine));
              c.conflicts += 1;
              await time.sleep(clock, us.ms(2 + lens.rand.int(Math.min(60, 6 * (round + 1)))));
              continue;
            }
            const best = p.ok.reduce((a, b) => (ballot.cmp(a.copy.accepted, b.copy.accepted) >= 0 ? a : b));
            held = best.copy.held;
            w = walls(p.ok);
          }
          const lived = held?.ops.find((x) => tried.has(x));
          const r: Write<R> =
            lived !== undefined
              ? { keep: true, result: tried.get(lived)! }
              : absent(held, w)
                ? fn(undefined, w, 0)
                : fn(held!.value, w, held!.until);
          const op = `${by}.${++opNo}`;
          // An absent value leaves its tail of changes behind: they can still be asked for.
          const put: Held | null =
            'keep' in r
              ? held
              : r.held === null
                ? { value: null, until: 0, ops: [...(held?.ops ?? []), op].slice(-opsKept) }
                : { ...r.held, ops: [...(held?.ops ?? []), op].slice(-opsKept) };
          if (!('keep' in r)) tried.set(op, r.result);
          if ('keep' in r && known && known.mark === g.mark && round === 0 && !force) {
            // Nothing is written, so what this proposer remembers has to be confirmed first.
            cache.delete(key);
            continue;
          }
          const next: Ballot = [mine[0] + 1, by];
          const ask: Omit<AcceptAsk, 'to' | 'group' | 'key'> = { ballot: mine, held: put, next };
          const a = await askAll(g, 'reg.accept', key, ask, Math.min(end - clock.now() + us.ms(1), us.ms(400)));
          if (a.ok.length >= majority(g.members.length)) {
            cache.set(key, { mark: g.mark, next, held: put, walls: walls(a.ok), at: clock.now() });
            mend(g, key, a.late, mine, put);
            c.done += 1;
            return r.result;
          }
          cache.delete(key);
          c.conflicts += 1;
          top = ballot.max(top, ballot.max(learn(a.no), mine));
          await time.sleep(clock, us.ms(2 + lens.rand.int(Math.min(60, 6 * (round + 1)))));
        }
      });

    return {
      change: (key, fn, timeLeft) => change(key, fn, timeLeft),
      settleKey: (key, timeLeft) => change(key, () => ({ keep: true, result: undefined }), timeLeft, true),
      read: async (key, timeLeft = us.s(2)) => {
        c.reads += 1;
        const end = clock.now() + timeLeft;
        const g = group();
        const r = await askAll(g, 'reg.read', key, {}, Math.min(timeLeft, us.ms(400)));
        learn(r.no);
        if (r.ok.length >= majority(g.members.length)) {
          const best = r.ok.reduce((a, b) => (ballot.cmp(a.copy.accepted, b.copy.accepted) >= 0 ? a : b));
          if (r.ok.every((x) => ballot.cmp(x.copy.accepted, best.copy.accepted) === 0)) {
            mend(g, key, r.late, best.copy.accepted, best.copy.held);
            const w = walls(r.ok);
            return absent(best.copy.held, w) ? undefined : best.copy.held!.value;
          }
        }
        return change(key, (value) => ({ keep: true, result: value }), end - clock.now(), true);
      },
      known: () => ahead !== undefined || o.group() !== undefined,
      reachable: async (timeLeft = us.ms(400)) => {
        try {
          const g = group();
          const r = await askAll(g, 'reg.read', 'reachable', {}, timeLeft);
          learn(r.no);
          return r.ok.length >= majority(g.members.length);
        } catch {
          return false;
        }
      },
      counts: () => ({ ...c }),
    };
  },
};
