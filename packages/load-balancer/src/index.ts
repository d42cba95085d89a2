// load balancer: the workers (§5.2). Which of them may take a turn of a class now, and which one does.
import { serviceOf, type Config } from '@thornsail/config-schema';
import { invariant, duration, type Address, type Microseconds } from '@thornsail/runtime';
import { fair } from './fair.js';

export type Kind = 'model' | 'app';
export type WorkerEntry = {
  id: string;
  at: Address;
  kind: Kind;
  leaving: boolean;
  /** The service it belongs to; left out: it is one of all workers of its kind. */
  service?: string;
  /** Requests at once; left out: what the configuration says for its kind. */
  slots?: number;
  /** Capacity of its KV cache in tokens, where whoever lists it knows that already. */
  cacheTokens?: number;
  zone?: string;
};
/** The name under which classes find a worker. */
export const groupOf = (w: WorkerEntry): string => w.service ?? w.kind;
/** Running turns by worker and class, waiting turns by class. */
export type Load = { running: Record<string, Record<string, number>>; waiting: Record<string, number> };
export const load = { empty: (): Load => ({ running: {}, waiting: {} }) };

/** What several edges run and want together: added up once for each news of them, not for each turn that looks. */
type Totals = {
  /** By worker. */
  running: Map<string, { running: number; byClass: Map<string, number> }>;
  /** Running turns by class, at all workers. */
  byClass: Map<string, number>;
  /** Waiting turns by class. */
  waiting: Map<string, number>;
};
const addTo = (counts: Map<string, number>, name: string, n: number): void =>
  void counts.set(name, (counts.get(name) ?? 0) + n);
const totals = {
  of: (loads: Load[]): Totals => {
    const sums: Totals = { running: new Map(), byClass: new Map(), waiting: new Map() };
    for (const one of loads) {
      for (const [cls, n] of Object.entries(one.waiting)) addTo(sums.waiting, cls, n);
      for (const [worker, byClass] of Object.entries(one.running)) {
        const at = sums.running.get(worker) ?? { running: 0, byClass: new Map<string, number>() };
        sums.running.set(worker, at);
        for (const [cls, n] of Object.entries(byClass)) {
          at.running += n;
          addTo(at.byClass, cls, n);
          addTo(sums.byClass, cls, n);
        }
      }
    }
    return sums;
  },
};

type Sums = { slots: number; running: number; byClass: Map<string, number> };
export type Want = {
  hint?: string | null;
  not?: ReadonlySet<string>;
  force?: boolean;
  hungry?: Microseconds;
  /** The hint has the turn's context: anywhere else it would be read anew. */
  warm?: boolean;
  /** Another service than the class's own, for a route that is split. */
  service?: string;
};
/** How old an edge's news of its siblings' turns may be. */
export const newsLag = duration.ms(250);
export type LoadBalancer = {
  workers: (list: WorkerEntry[]) => void;
  config: (c: Config) => void;
  siblings: (l: { id: string; load: Load }[]) => void;
  /**
   * Picks a worker for a turn of a class, or null if none may take it now. `force` goes through in spite of shares;
   * `hungry` is for how long turns of the class have been waiting at this edge.
   */
  pick: (cls: string, o: Want) => WorkerEntry | null;
  take: (worker: string, cls: string) => void;
  leave: (worker: string, cls: string) => void;
  wait: (cls: string, by: 1 | -1) => void;
  load: () => Load;
  get: (id: string) => WorkerEntry | undefined;
  list: () => WorkerEntry[];
  /** Slots that a class may use at most while every other class wants its own. */
  entitled: (cls: string) => number;
  /** Turns of a class that wait, at all edges. */
  waiting: (cls: string) => number;
  /** Turns that run at a worker, at this edge and, as far as it has heard, at the others. */
  runningAt: (worker: string) => number;
  bad: (worker: string, until: Microseconds) => void;
};

export const loadBalancer = {
  /** `turn` counts up in step at all edges, as far as their clocks agree: it says whose slots come first. */
  open: (now: () => Microseconds, me = '', turn: () => number = () => 0): LoadBalancer => {
    let config: Config | undefined;
    const all = new Map<string, WorkerEntry>();
    let places = new Map<string, number>();
    const bad = new Map<string, Microseconds>();
    const mine = load.empty();
    let others = totals.of([]);
    const dealt = fair.open({ me, now, lag: newsLag });
    /** Among workers that are equally taken the choice goes round, or all edges would fill the same one. */
    let rounds = 0;
    let edges = { all: [me], busy: [me] };
    const ownService = (cls: string): string | undefined => {
      const c = config?.classes[cls];
      return c && serviceOf(c);
    };
    const classes = (service: string): [string, Config['classes'][string]][] =>
      Object.entries(config?.classes ?? {}).filter(([, c]) => serviceOf(c) === service);
    const slotsOf = (w: WorkerEntry | undefined): number => w?.slots ?? config?.slots[w?.kind ?? 'model'] ?? 1;
    const runningAt = (worker: string): Sums => {
      const theirs = others.running.get(worker);
      const byClass = new Map(theirs?.byClass);
      let running = theirs?.running ?? 0;
      for (const [cls, n] of Object.entries(mine.running[worker] ?? {})) {
        byClass.set(cls, (byClass.get(cls) ?? 0) + n);
        running += n;
      }
      return { slots: slotsOf(all.get(worker)), running, byClass };
    };
    const usable = (w: WorkerEntry, not?: ReadonlySet<string>): boolean =>
      !w.leaving && !not?.has(w.id) && (bad.get(w.id) ?? 0) <= now();
    const weights = (service: string): number => classes(service).reduce((a, [, c]) => a + c.weight, 0) || 1;
    const total = (service: string): number =>
      [...all.values()].reduce((a, w) => a + (groupOf(w) === service && !w.leaving ? slotsOf(w) : 0), 0);
    const entitled = (cls: string): number => {
      const c = config?.classes[cls];
      return c ? Math.max(1, (total(serviceOf(c)) * c.weight) / weights(serviceOf(c))) : 0;
    };
    const runs = (cls: string): number =>
      Object.values(mine.running).reduce((sum, byClass) => sum + (byClass[cls] ?? 0), others.byClass.get(cls) ?? 0);
    const waits = (cls: string): number => (mine.waiting[cls] ?? 0) + (others.waiting.get(cls) ?? 0);
    /** A class above its share gives way while another below its own is waiting: borrowed shares go back first. */
    const mustGiveWay = (cls: string, service: string): boolean => {
      if (runs(cls) < entitled(cls)) return false;
      return classes(service).some(([d]) => d !== cls && waits(d) > 0 && runs(d) < entitled(d));
    };
    const room = (s: Sums, cls: string, service: string): number => {
      let free = s.slots - s.running;
      const own = config?.classes[cls]?.reserve ?? 0;
      // Its own reserve is there for it even when forced turns have overfilled the worker.
      if (own > 0) free = Math.max(free, Math.ceil(own * s.slots) - (s.byClass.get(cls) ?? 0));
      // What urgent classes keep un-lent: a running turn is never cut, so they must not wait for one to end.
      for (const [d, c] of classes(service))
        if (d !== cls && c.reserve > 0) free -= Math.max(0, Math.ceil(c.reserve * s.slots) - (s.byClass.get(d) ?? 0));
      return free;
    };
    /** Whether this edge's part of a worker's free slots has one left (§5.2). */
    const mayTake = (w: WorkerEntry, free: number, hungry: Microseconds): boolean => {
      // Once its siblings have had the time to show that they want none, their parts are free.
      const over = hungry >= newsLag ? edges.busy : edges.all;
      const recent = dealt.recent(w.id);
      const part = dealt.part(free + recent, over, (places.get(w.id) ?? 0) + turn());
      return recent < Math.max(part, config?.limits.leastPart ?? 0);
    };
    /** All workers, beginning at another one each time where edges have a least part. */
    const inTurn = (): WorkerEntry[] => {
      const list = [...all.values()];
      if (!config?.limits.leastPart || list.length === 0) return list;
      const start = (rounds++ + edges.all.indexOf(me)) % list.length;
      return [...list.slice(start), ...list.slice(0, start)];
    };
    return {
      workers: (list) => {
        all.clear();
        for (const w of list) all.set(w.id, w);
        places = new Map([...all.keys()].sort().map((id, i) => [id, i]));
      },
      config: (c) => {
        config = c;
      },
      siblings: (l) => {
        others = totals.of(l.map((x) => x.load));
        const busy = l.filter(({ load: x }) => Object.keys(x.running).length + Object.keys(x.waiting).length > 0);
        edges = { all: [me, ...l.map((x) => x.id)].sort(), busy: [me, ...busy.map((x) => x.id)].sort() };
      },
      pick: (cls, o) => {
        const own = ownService(cls);
        if (own === undefined) return null;
        const service = o.service ?? own;
        if (!o.force && mustGiveWay(cls, own)) return null;
        let best: WorkerEntry | null = null;
        let least = Infinity;
        for (const w of inTurn()) {
          if (groupOf(w) !== service || !usable(w, o.not)) continue;
          const s = runningAt(w.id);
          const free = room(s, cls, own);
          // Its free slots are dealt among those that may go anywhere: this one would cost a read of all its context.
          if (o.warm && w.id === o.hint && free >= 1) return w;
          if (!o.force && (free < 1 || !mayTake(w, free, o.hungry ?? 0))) continue;
          if (w.id === o.hint && free >= 1) return w;
          const l = s.running / s.slots;
          if (l < least) {
            best = w;
            least = l;
          }
        }
        return best;
      },
      take: (worker, cls) => {
        const r = (mine.running[worker] ??= {});
        r[cls] = (r[cls] ?? 0) + 1;
        dealt.took(worker, cls);
      },
      leave: (worker, cls) => {
        const r = mine.running[worker];
        dealt.left(worker, cls);
        const n = (r?.[cls] ?? 0) - 1;
        invariant.hold(n >= 0, `more turns left ${worker} than it took`);
        if (r) {
          if (n === 0) delete r[cls];
          else r[cls] = n;
          if (Object.keys(r).length === 0) delete mine.running[worker];
        }
      },
      wait: (cls, by) => {
        const n = (mine.waiting[cls] ?? 0) + by;
        invariant.hold(n >= 0, `more turns of ${cls} left the buffer than entered it`);
        if (n === 0) delete mine.waiting[cls];
        else mine.waiting[cls] = n;
      },
      load: () => structuredClone(mine),
      get: (id) => all.get(id),
      list: () => [...all.values()].sort((a, b) => (a.id < b.id ? -1 : 1)),
      entitled,
      waiting: waits,
      runningAt: (worker) => runningAt(worker).running,
      bad: (worker, until) => void bad.set(worker, until),
    };
  },
};
export { formats, type ChatTurn, type Piece } from './formats.js';
