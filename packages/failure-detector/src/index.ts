// failure detector: each node sends heartbeats to the few watchers that its place on a ring names (§3.2).
// A watcher only suspects; the core rules, and only when two agree.
import { hash, time, duration, type Runtime, type Address, type Microseconds } from '@thornsail/runtime';
import { validate, type Rpc } from '@thornsail/rpc';

export type Sibling = { id: string; place: Address; inc: number };
export type FailureDetector = { suspects: () => Sibling[]; watched: () => string[]; close: () => void };
export type FailureDetectorTiming = { beat: Microseconds; silent: Microseconds; watchers: number };
const times: FailureDetectorTiming = { beat: duration.ms(200), silent: duration.ms(1000), watchers: 3 };

const after = <T extends { id: string }>(r: T[], id: string, n: number): T[] => {
  const i = r.findIndex((x) => x.id === id);
  if (i < 0) return [];
  return Array.from({ length: Math.min(n, r.length - 1) }, (_, k) => r[(i + 1 + k) % r.length]!);
};
export const ring = {
  sorted: <T extends { id: string }>(all: T[]): T[] =>
    [...all].sort((a, b) => hash.of(a.id) - hash.of(b.id) || (a.id < b.id ? -1 : 1)),
  /** The watchers of a node: the next few on the ring after it. */
  watchers: <T extends { id: string }>(all: T[], id: string, n: number): T[] => after(ring.sorted(all), id, n),
  /** Whom a node watches: the few before it. */
  watched: <T extends { id: string }>(all: T[], id: string, n: number): T[] => after(ring.sorted(all).reverse(), id, n),
};

export const failureDetector = {
  open: (o: {
    runtime: Runtime;
    rpc: Rpc;
    self: () => Sibling;
    roster: () => Sibling[];
    report: (s: Sibling[]) => void;
    times?: Partial<FailureDetectorTiming>;
  }): FailureDetector => {
    const { runtime, rpc } = o;
    const { clock } = runtime;
    const T = { ...times, ...o.times };
    const heard = new Map<string, { inc: number; at: Microseconds }>();
    let lastRound = clock.now();
    let suspects: Sibling[] = [];
    rpc.on<{ id: string; inc: number }>(
      'beat',
      validate.object({ id: validate.string, inc: validate.integer }),
      ({ id, inc }) => {
        const h = heard.get(id);
        if (!h || inc >= h.inc) heard.set(id, { inc, at: clock.now() });
      },
    );
    type Around = { roster: Sibling[]; id: string; watchers: Sibling[]; watched: Sibling[] };
    let known: Around | undefined;
    /** Who watches this node and whom it watches: the few after and before it on the ring, until the roster changes. */
    const around = (): Around => {
      const { id } = o.self();
      const roster = o.roster();
      if (known?.roster === roster && known.id === id) return known;
      const mine = new Set(ring.watched(roster, id, T.watchers).map((n) => n.id));
      const watchers = ring.watchers(roster, id, T.watchers);
      return (known = { roster, id, watchers, watched: roster.filter((n) => mine.has(n.id)) });
    };
    const round = (): void => {
      const now = clock.now();
      const self = o.self();
      const { watchers, watched: mine } = around();
      rpc.notifyAll(
        watchers.map((w) => w.place),
        'beat',
        { id: self.id, inc: self.inc },
      );
      const frozen = now - lastRound > T.beat * 3;
      lastRound = now;
      const ids = new Set(mine.map((n) => n.id));
      for (const id of heard.keys()) if (!ids.has(id)) heard.delete(id);
      for (const n of mine) {
        const h = heard.get(n.id);
        // After a freeze of its own, or on first watching, a watcher knows nothing about the silence.
        if (!h || frozen) heard.set(n.id, { inc: Math.max(h?.inc ?? 0, n.inc), at: now });
      }
      suspects = mine.filter((n) => now - heard.get(n.id)!.at > T.silent);
      if (suspects.length) o.report(suspects);
    };
    const stop = time.every(clock, T.beat, round);
    return { suspects: () => suspects, watched: () => around().watched.map((n) => n.id), close: stop };
  },
};
