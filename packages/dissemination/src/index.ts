// dissemination: news goes down a tree of relays that the nodes form among themselves (§3.5).
// Every node computes the same tree from the roster. A digest exchanged with a random sibling
// makes up for a dead relay; an older mark never replaces a newer one.
import { hash, invariant, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { ring } from '@thornsail/failure-detector';
import { validate, type Rpc } from '@thornsail/rpc';

export type News = { name: string; mark: number; value: unknown };
export type Item = { mark: number; value: unknown; at: Microseconds };
type Digest = Record<string, number>;
export type Relay = { id: string; place: Address };
export type Dissemination = {
  put: (name: string, mark: number, value: unknown) => void;
  get: (name: string) => Item | undefined;
  all: (prefix: string) => { name: string; item: Item }[];
  drop: (keep: (name: string) => boolean) => void;
  on: (fn: (n: News) => void) => void;
  /** Whether a leaf still hangs on this relay. */
  hasLeaves: () => boolean;
  /** When a sibling last exchanged news with this node. */
  heardAt: () => Microseconds;
  /** Exchanges digests at once with a given sibling; true if it did. */
  refresh: (with_: Address, timeLeft?: Microseconds) => Promise<boolean>;
  counts: () => { pushed: number; pulled: number; relayed: number };
  close: () => void;
};
const isNews = validate.object({ name: validate.string, mark: validate.integer, value: validate.anything });
export type DisseminationTiming = {
  arity: number;
  digest: Microseconds;
  attach: Microseconds;
  exchange: Microseconds;
  /** For how long gathered items are kept back, at each hop. */
  gather: Microseconds;
};
const times: DisseminationTiming = {
  arity: 3,
  digest: duration.ms(700),
  attach: duration.ms(400),
  exchange: duration.ms(250),
  gather: duration.ms(200),
};
/** With fewer relays each item is passed on by itself, at once. */
const gatherFrom = 24;

export const tree = {
  near: (relays: Relay[], id: string, arity: number): Relay[] => {
    const r = ring.sorted(relays);
    const i = r.findIndex((x) => x.id === id);
    if (i < 0) return [];
    const out: Relay[] = [];
    if (i > 0) out.push(r[Math.floor((i - 1) / arity)]!);
    for (let k = 1; k <= arity; k++) if (r[arity * i + k]) out.push(r[arity * i + k]!);
    return out;
  },
};

export const dissemination = {
  open: (o: {
    runtime: Runtime;
    rpc: Rpc;
    self: string;
    leaf: boolean;
    relays: () => Relay[];
    admits: (name: string) => boolean;
    /** Whether an item has the shape that its name asks for; others are neither kept nor passed on. */
    sound?: (n: News) => boolean;
    /** Items that are said again and again anyway: they are pushed, and not compared. */
    volatile?: (name: string) => boolean;
    /** Items that many nodes say often and that may be late: among many relays, several go in one frame. */
    gathers?: (name: string) => boolean;
    /** For a leaf: the relay it hangs on. */
    attachTo: () => Address | undefined;
    /** Further places to try when the relays do not answer. */
    others: () => Address[];
    times?: Partial<DisseminationTiming>;
  }): Dissemination => {
    const { runtime, rpc } = o;
    const { clock, rand } = runtime;
    const T = { ...times, ...o.times };
    const items = new Map<string, Item>();
    const leaves = new Map<Address, Microseconds>();
    const watchers: ((n: News) => void)[] = [];
    const c = { pushed: 0, pulled: 0, relayed: 0 };
    let heard = clock.now();
    const lasting = (name: string): boolean => !o.volatile?.(name);
    const digest = (): Digest =>
      Object.fromEntries([...items].filter(([k]) => lasting(k)).map(([k, v]) => [k, v.mark]));
    /** A sum over the digest, kept until an item changes: two nodes that hold the same need not list it. */
    let summed: number | undefined;
    const sum = (): number => {
      if (summed !== undefined) return summed;
      let h = 0;
      for (const [k, v] of items) if (lasting(k)) h = (h + hash.of(`${k} ${v.mark}`)) >>> 0;
      return (summed = h);
    };
    let placed: { relays: Relay[]; near: Address[] } | undefined;
    const nearRelays = (): Address[] => {
      const relays = o.relays();
      if (placed?.relays !== relays) placed = { relays, near: tree.near(relays, o.self, T.arity).map((r) => r.place) };
      return placed.near;
    };
    const near = (): Address[] => {
      const now = clock.now();
      for (const [p, at] of leaves) if (now - at > T.attach * 4) leaves.delete(p);
      const up = o.leaf ? [o.attachTo()].filter((p): p is Address => p !== undefined) : nearRelays();
      return [...new Set([...up, ...leaves.keys()])];
    };
    /** Gathered items that are still to be passed on, and where each came from. */
    const gathered = new Map<string, { news: News; from: Address | undefined }>();
    const passOn = (list: News[], from: Address | undefined): void => {
      const to = near().filter((p) => p !== from);
      c.relayed += to.length;
      rpc.notifyAll(to, 'beam.news', list);
    };
    const passGathered = (): void => {
      const all = [...gathered.values()];
      gathered.clear();
      for (const to of near()) {
        const list = all.filter((g) => g.from !== to).map((g) => g.news);
        if (list.length === 0) continue;
        c.relayed += 1;
        rpc.notify(to, 'beam.news', list);
      }
    };
    const gather = (list: News[], from: Address | undefined): void => {
      if (list.length === 0) return;
      if (gathered.size === 0) clock.schedule(T.gather, passGathered);
      for (const news of list) gathered.set(news.name, { news, from });
    };
    const relayOn = (list: News[], from: Address | undefined): void => {
      const waits = (n: News): boolean => (o.gathers?.(n.name) ?? false) && o.relays().length >= gatherFrom;
      const now = list.filter((n) => !waits(n));
      if (now.length) passOn(now, from);
      gather(list.filter(waits), from);
    };
    const take = (list: News[], from: Address | undefined, relay: boolean): void => {
      const fresh = list.filter((n) => {
        const cur = items.get(n.name);
        if ((cur && cur.mark >= n.mark) || !o.admits(n.name)) return false;
        if (o.sound && !o.sound(n)) return false;
        items.set(n.name, { mark: n.mark, value: n.value, at: clock.now() });
        if (lasting(n.name)) summed = undefined;
        invariant.hold(!cur || cur.mark < n.mark, `news ${n.name} slipped back`);
        return true;
      });
      if (fresh.length === 0) return;
      if (relay) relayOn(fresh, from);
      for (const n of fresh) for (const w of watchers) w(n);
    };
    const newerThan = (d: Digest): News[] =>
      [...items]
        .filter(([k, v]) => lasting(k) && (d[k] ?? -1) < v.mark)
        .map(([name, v]) => ({ name, mark: v.mark, value: v.value }));
    rpc.on<News[]>('beam.news', validate.arrayOf(isNews), (list, from) => {
      heard = clock.now();
      c.pushed += list.length;
      take(list, from, true);
    });
    rpc.on<{ sum: number; leaf: boolean }>(
      'beam.sum',
      validate.object({ sum: validate.integer, leaf: validate.boolean }),
      (m, from) => {
        if (m.leaf) leaves.set(from, clock.now());
        heard = clock.now();
        return m.sum === sum();
      },
    );
    rpc.on<{ digest: Digest; leaf: boolean }>(
      'beam.digest',
      validate.object({ digest: validate.recordOf(validate.integer), leaf: validate.boolean }),
      ({ digest: d, leaf }, from) => {
        if (leaf) leaves.set(from, clock.now());
        heard = clock.now();
        return { news: newerThan(d), digest: digest() };
      },
    );
    const refresh = async (to: Address, left: Microseconds = T.exchange): Promise<boolean> => {
      try {
        if (await rpc.request<boolean>(to, 'beam.sum', { sum: sum(), leaf: o.leaf }, left)) {
          heard = clock.now();
          return true;
        }
        const r = await rpc.request<{ news: News[]; digest: Digest }>(
          to,
          'beam.digest',
          { digest: digest(), leaf: o.leaf },
          left,
        );
        heard = clock.now();
        c.pulled += r.news.length;
        take(r.news.filter(isNews), to, true);
        const lacks = newerThan(r.digest);
        if (lacks.length) rpc.notify(to, 'beam.news', lacks);
        return true;
      } catch {
        return false;
      }
    };
    const pick = (): Address | undefined => {
      const all = o
        .relays()
        .filter((r) => r.id !== o.self)
        .map((r) => r.place);
      // Now and then, or with no relay known, ask a place outside the roster: it may be stale.
      const use = all.length === 0 || rand.int(8) === 0 ? [...all, ...o.others()] : all;
      return use.length ? use[rand.int(use.length)] : undefined;
    };
    const stop = time.every(clock, o.leaf ? T.attach : T.digest, async () => {
      const up = o.leaf ? o.attachTo() : undefined;
      if (up && (await refresh(up))) return;
      const p = pick();
      if (p && p !== rpc.at) await refresh(p);
    });
    return {
      put: (name, mark, value) => take([{ name, mark, value }], undefined, true),
      get: (name) => items.get(name),
      all: (prefix) => [...items].filter(([k]) => k.startsWith(prefix)).map(([name, item]) => ({ name, item })),
      drop: (keep) => {
        for (const k of items.keys()) if (!keep(k)) items.delete(k);
        summed = undefined;
      },
      on: (fn) => void watchers.push(fn),
      hasLeaves: () => [...leaves.values()].some((at) => clock.now() - at <= T.attach * 4),
      heardAt: () => heard,
      refresh,
      counts: () => ({ ...c }),
      close: stop,
    };
  },
};
