// dissemination: news goes down a tree of relays that the nodes form among themselves (§3.5).
// Every node computes the same tree from the roster. A digest exchanged with a random sibling
// makes up for a dead relay; an older mark never replaces a newer one.
import { hash, invariant, time, us, type Runtime, type Place, type Us } from '@thornsail/runtime';
import { ring } from '@thornsail/failure-detector';
import { shape, type Rpc } from '@thornsail/rpc';

export type News = { name: string; mark: number; value: unknown };
export type Item = { mark: number; value: unknown; at: Us };
type Digest = Record<string, number>;
export type Relay = { id: string; place: Place };
export type Dissemination = {
  put: (name: string, mark: number, value: unknown) => void;
  get: (name: string) => Item | undefined;
  all: (prefix: string) => { name: string; item: Item }[];
  drop: (keep: (name: string) => boolean) => void;
  on: (fn: (n: News) => void) => void;
  /** Whether a leaf still hangs on this relay. */
  hasLeaves: () => boolean;
  /** When a sibling last exchanged news with this node. */
  heardAt: () => Us;
  /** Exchanges digests at once with a given sibling; true if it did. */
  refresh: (with_: Place, timeLeft?: Us) => Promise<boolean>;
  counts: () => { pushed: number; pulled: number; relayed: number };
  close: () => void;
};
const isNews = shape.has({ name: shape.text, mark: shape.whole, value: shape.any });
export type DisseminationTiming = {
  arity: number;
  digest: Us;
  attach: Us;
  exchange: Us;
  /** For how long gathered items are kept back, at each hop. */
  gather: Us;
};
const times: DisseminationTiming = {
  arity: 3,
  digest: us.ms(700),
  attach: us.ms(400),
  exchange: us.ms(250),
  gather: us.ms(200),
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
    attachTo: () => Place | undefined;
    /** Further places to try when the relays do not answer. */
    others: () => Place[];
    times?: Partial<DisseminationTiming>;
  }): Dissemination => {
    const { runtime, rpc } = o;
    const { clock, rand } = runtime;
    const T = { ...times, ...o.times };
    const items = new Map<string, Item>();
    const leaves = new Map<Place, Us>();
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
    let placed: { relays: Relay[]; near: Place[] } | undefined;
    const nearRelays = (): Place[] => {
      const relays = o.relays();
      if (placed?.relays !== relays) placed = { relays, near: tree.near(relays, o.self, T.arity).map((r) => r.place) };
      return placed.near;
    };
    const near = (): Place[] => {
      const now = clock.now();
      for (const [p, at] of leaves) if (now - at > T.attach * 4) leaves.delete(p);
      const up = o.leaf ? [o.attachTo()].filter((p): p is Place => p !== undefined) : nearRelays();
      return [...new Set([...up, ...leaves.keys()])];
    };
    /** Gathered items that are still to be passed on, and where each came from. */
    const gathered = new Map<string, { news: News; from: Place | undefined }>();
    const passOn = (list: News[], from: Place | undefined): void => {
      const to = near().filter((p) => p !== from);
      c.relayed += to.length;
      rpc.tellAll(to, 'beam.news', list);
    };
    const passGathered = (): void => {
      const all = [...gathered.values()];
      gathered.clear();
      for (const to of near()) {
        const list = all.filter((g) => g.from !== to).map((g) => g.news);
        if (list.length === 0) continue;
        c.relayed += 1;
        rpc.tell(to, 'beam.news', list);
      }
    };
    const gather = (list: News[], from: Place | undefined): void => {
      if (list.length === 0) return;
      if (gathered.size === 0) clock.tick(T.gather, passGathered);
      for (const news of list) gathered.set(news.name, { news, from });
    };
    const relayOn = (list: News[], from: Place | undefined): void => {
      const waits = (n: News): boolean => (o.gathers?.(n.name) ?? false) && o.relays().length >= gatherFrom;
      const now = list.filter((n) => !waits(n));
      if (now.length) passOn(now, from);
      gather(list.filter(waits), from);
    };
    const take = (list: News[], from: Place | undefined, relay: boolean): void => {
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
    rpc.on<News[]>('beam.news', shape.list(isNews), (list, from) => {
      heard = clock.now();
      c.pushed += list.length;
      take(list, from, true);
    });
    rpc.on<{ sum: number; leaf: boolean }>('beam.sum', shape.has({ sum: shape.whole, leaf: shape.flag }), (m, from) => {
      if (m.leaf) leaves.set(from, clock.now());
      heard = clock.now();
      return m.sum === sum();
    });
    rpc.on<{ digest: Digest; leaf: boolean }>(
      'beam.digest',
      shape.has({ digest: shape.table(shape.whole), leaf: shape.flag }),
      ({ digest: d, leaf }, from) => {
        if (leaf) leaves.set(from, clock.now());
        heard = clock.now();
        return { news: newerThan(d), digest: digest() };
      },
    );
    const refresh = async (to: Place, left: Us = T.exchange): Promise<boolean> => {
      try {
        if (await rpc.ask<boolean>(to, 'beam.sum', { sum: sum(), leaf: o.leaf }, left)) {
          heard = clock.now();
          return true;
        }
        const r = await rpc.ask<{ news: News[]; digest: Digest }>(
          to,
          'beam.digest',
          { digest: digest(), leaf: o.leaf },
          left,
        );
        heard = clock.now();
        c.pulled += r.news.length;
        take(r.news.filter(isNews), to, true);
        const lacks = newerThan(r.digest);
        if (lacks.length) rpc.tell(to, 'beam.news', lacks);
        return true;
      } catch {
        return false;
      }
    };
    const pick = (): Place | undefined => {
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
