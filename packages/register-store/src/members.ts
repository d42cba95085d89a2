// Asking the members of the store group (§6.2): the same text to all that know the group, the whole group to others,
// and an answer as soon as a majority has given it.
import { fault, hash, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { Walls } from './known.js';
import { ballot, type Ballot, type Group, type Keep, type Refusal, type Reply } from './messages.js';

export const majority = (n: number): number => Math.floor(n / 2) + 1;
export type Asked<T> = { from: Keep; reply: Promise<Reply<T>> };
export type Good<T> = { from: Keep; reply: Extract<Reply<T>, { ok: true }> };
export type Round<T> = {
  /** A majority, unless there can be none. */
  ok: Good<T>[];
  no: Refusal[];
  /** All that there were in the end. */
  late: Promise<Good<T>[]>;
};
export type Members = {
  /** The newest group that this node knows; throws with code 'no-majority' if it knows none. */
  group: () => Group;
  known: () => boolean;
  /** Takes in a newer group, and gives the highest ballot that stood in the way. */
  learn: (no: Refusal[]) => Ballot;
  /**
   * Members for which `body` gives the same object are sent the same text. `whole` goes with it to those that do not
   * know the group yet, which may be of the release before.
   */
  ask: <T>(
    g: Group,
    kind: string,
    body: (k: Keep) => object,
    left: Microseconds,
    o?: { only?: Keep[]; whole?: object },
  ) => Asked<T>[];
  /** Resolves with a majority; if `enough` wants more, up to `patience` later, or as `within` says of a majority. */
  gather: <T>(
    asked: Asked<T>[],
    enough?: (ok: Good<T>[], failed: Keep[]) => boolean,
    within?: (ok: Good<T>[]) => Microseconds,
  ) => Promise<Round<T>>;
  /** How long the last member is waited for where all are needed (§6.2). */
  lastWithin: (g: Group) => Microseconds;
  /** How long a majority took to accept. */
  took: (t: Microseconds) => void;
  /** Whether every member has answered in time of late. */
  well: (g: Group) => boolean;
  /** The walls of a majority, by what it said last; undefined if that was too long ago. */
  walls: (g: Group) => Walls | undefined;
  /** Members by nearness, for this key; those that were slow just now come last. */
  near: (g: Group, key: string) => Keep[];
  /** No ballot up to this one will do for a key that is not there (§6.4). */
  floor: () => number;
};

/** What a majority is kept waiting for one more answer that would save a round. */
export const patience = duration.ms(3);
/** How long the last member is waited for where all are needed, for each usual accept, and at least (§6.2). */
const lastFor = { accepts: 1.5, least: duration.ms(12), most: duration.ms(80) };
/** How long one that was slow is not asked for values. */
const slowFor = duration.s(2);
/** How long nothing is opened after one did not answer: each try costs the time that it is waited for. */
const illFor = duration.ms(500);
/** And after one said that it is being filled. */
const fillingFor = duration.s(2);
/** For how long a store's word on its wall is carried on by this node's own clock. */
const wallsFor = duration.s(30);

export const members = {
  open: (o: {
    runtime: Runtime;
    rpc: Rpc;
    group: () => Group | undefined;
    near?: (storeId: string) => number;
  }): Members => {
    const { runtime, rpc } = o;
    const { clock } = runtime;
    const near = o.near ?? ((): number => 0);
    let ahead: Group | undefined;
    let floor = 0;
    /** The mark under which a store said that it knows the group. */
    const knows = new Map<string, number>();
    const slow = new Map<string, Microseconds>();
    /** Those that did not answer at all, or held up an opening. */
    const ill = new Map<string, Microseconds>();
    const wallOf = new Map<string, { wall: Microseconds; at: Microseconds }>();

    const whole = async <T>(g: Group, k: Keep, kind: string, body: object, left: Microseconds): Promise<Reply<T>> => {
      const r = await rpc.request<Reply<T>>(k.at, kind, { to: k.id, group: g, ...body }, left);
      if (r.ok && r.lean) knows.set(k.id, g.mark);
      return r;
    };
    const ask: Members['ask'] = <T>(
      g: Group,
      kind: string,
      body: (k: Keep) => object,
      left: Microseconds,
      x: { only?: Keep[]; whole?: object } = {},
    ): Asked<T>[] => {
      const end = clock.now() + left;
      const same = new Map<object, Keep[]>();
      const out: Asked<T>[] = [];
      for (const k of x.only ?? g.members) {
        const b = body(k);
        if (knows.get(k.id) === g.mark) same.set(b, [...(same.get(b) ?? []), k]);
        else out.push({ from: k, reply: whole<T>(g, k, kind, { ...x.whole, ...b }, left) });
      }
      for (const [b, ks] of same) {
        const all = rpc.requestAll<Reply<T>>(
          ks.map((k) => k.at),
          kind,
          { group: g.mark, ...b },
          left,
        );
        for (const [i, k] of ks.entries()) {
          const reply = all[i]!.then((r) => {
            if (r.ok || r.why !== 'unknown') return r;
            // One that lost what it knew, or another one in its place.
            knows.delete(k.id);
            return whole<T>(g, k, kind, { ...x.whole, ...b }, Math.max(0, end - clock.now()));
          });
          out.push({ from: k, reply });
        }
      }
      return out;
    };
    /** How long a majority usually takes to accept. */
    let usual: Microseconds = 0;
    const well: Members['well'] = (g) => g.members.every((k) => (ill.get(k.id) ?? 0) <= clock.now());

    const gather: Members['gather'] = <T>(
      asked: Asked<T>[],
      enough: (ok: Good<T>[], failed: Keep[]) => boolean = () => true,
      within: (ok: Good<T>[]) => Microseconds = () => patience,
    ): Promise<Round<T>> =>
      new Promise((done) => {
        const ok: Good<T>[] = [];
        const no: Refusal[] = [];
        const failed: Keep[] = [];
        const need = majority(asked.length);
        let open = asked.length;
        let said = false;
        let waits: (() => void) | undefined;
        const late = (): Promise<Good<T>[]> => all.then((x) => x.flatMap((y) => (y ? [y] : [])));
        const say = (): void => {
          if (said) return;
          said = true;
          waits?.();
          done({ ok: [...ok], no: [...no], late: late() });
        };
        const waitFor = (t: Microseconds): (() => void) =>
          clock.schedule(t, () => {
            for (const a of asked)
              if (!ok.some((x) => x.from === a.from)) {
                slow.set(a.from.id, clock.now() + slowFor);
                if (t > patience) ill.set(a.from.id, clock.now() + illFor);
              }
            say();
          });
        const check = (): void => {
          if (said) return;
          if (open === 0 || ok.length + open < need) say();
          else if (ok.length < need) return;
          else if (enough(ok, failed)) say();
          else waits ??= waitFor(within(ok));
        };
        const one = async (a: Asked<T>): Promise<Good<T> | undefined> => {
          try {
            const r = await a.reply;
            open -= 1;
            if (r.ok) {
              floor = Math.max(floor, r.floor ?? 0);
              wallOf.set(a.from.id, { wall: r.wall, at: clock.now() });
              ok.push({ from: a.from, reply: r });
              return { from: a.from, reply: r };
            }
            no.push(r);
            failed.push(a.from);
            if (r.why === 'filling') ill.set(a.from.id, clock.now() + fillingFor);
          } catch {
            open -= 1;
            failed.push(a.from);
            slow.set(a.from.id, clock.now() + slowFor);
            ill.set(a.from.id, clock.now() + illFor);
          } finally {
            check();
          }
          return undefined;
        };
        const all = Promise.all(asked.map(one));
        if (asked.length === 0) say();
      });
    return {
      group: () => {
        const g = o.group();
        const best = ahead && (!g || ahead.mark > g.mark) ? ahead : g;
        if (!best) throw fault.make({ step: 'register', code: 'no-majority' }, 'no store group is known');
        return best;
      },
      known: () => ahead !== undefined || o.group() !== undefined,
      learn: (no) => {
        let top = ballot.zero;
        for (const r of no) {
          if (r.why === 'group' && (!ahead || r.group.mark > ahead.mark)) ahead = r.group;
          if (r.why === 'ballot') top = ballot.max(top, r.promised);
        }
        return top;
      },
      ask,
      gather,
      near: (g, key) => {
        const rank = (k: Keep): number => ((slow.get(k.id) ?? 0) > clock.now() ? Infinity : near(k.id));
        return [...g.members].sort(
          (a, b) => (rank(a) === rank(b) ? 0 : rank(a) - rank(b)) || hash.of(key + a.id) - hash.of(key + b.id),
        );
      },
      floor: () => floor,
      well,
      lastWithin: (g) =>
        well(g) ? Math.min(lastFor.most, Math.max(lastFor.least, Math.round(usual * lastFor.accepts))) : patience,
      took: (t) => void (usual += (t - usual) / 8),
      walls: (g) => {
        const now = clock.now();
        const all = g.members
          .map((k) => wallOf.get(k.id))
          .flatMap((x) => (x && now - x.at < wallsFor ? [x.wall + now - x.at] : []));
        return all.length < majority(g.members.length) ? undefined : { min: Math.min(...all), max: Math.max(...all) };
      },
    };
  },
};
