// When an edge tells the other edges of its load, and when it takes in theirs (§4.4, §5.2): soon after a change, so
// that two edges seldom see the same slot free. The news (§3.5) carries it as well, seldom: for operators, for an edge
// that the exchange does not reach; and by itself which configuration is in use.
import type { Membership } from '@thornsail/membership';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { Admission, EdgeLoad } from './admission.js';
import { loadExchange, type ReceivedLoad } from './load-exchange.js';
import { directUpTo, loadPaths, type EdgePeer, type LoadPaths } from './load-paths.js';

export type Report = {
  /** Something changed: the other edges hear of it within `soonest`. */
  changed: () => void;
  /** Puts out what is new, and takes in what the others said. */
  tick: () => void;
  /** A program was taken over from another edge; the others forget it. */
  tookOver: (program: string) => void;
  heard: () => void;
  /** News of an edge's load has come down the tree: it is taken in soon, unless the edge itself has told it. */
  told: (edge: string, mark: number) => void;
  /** When another edge was heard of last; -Infinity if never. */
  heardOf: (edge: string) => Microseconds;
};
/** So long after the last time; sooner while turns wait anywhere, since slots are scarce then. */
const soonest = duration.ms(200);
const soonestWhileWaiting = duration.ms(100);
const latest = duration.ms(700);
const newsEvery = duration.ms(1500);
/** What several edges say within this time is taken in together. */
const gather = duration.ms(25);
/** The same where load comes in bundles, from many edges: taking it in looks at all of them. */
const gatherOfMany = duration.ms(50);
const ageEvery = duration.ms(200);
const waits = (l: EdgeLoad): boolean => Object.keys(l.load.waiting).length > 0;
/** Totals age out with their owner: by the roster, or by silence. */
const forgetAfter = duration.s(5);

export const report = {
  open: (o: {
    clock: Clock;
    rpc: Rpc;
    membership: Membership;
    me: string;
    adm: () => Admission;
    uses: () => number;
  }): Report => {
    const { clock, me, rpc } = o;
    const { dissemination } = o.membership;
    const took = new Map<string, Microseconds>();
    let mark = 0;
    let last = '';
    let lastPut = -soonest;
    let lastNews = -newsEvery;
    let lastUses = -1;
    let due = false;
    let gathering = false;
    let lastTaken = -latest;
    type Roster = ReturnType<Membership['state']>;
    let edges: { of: Roster; live: EdgePeer[]; paths: LoadPaths } = {
      of: undefined,
      live: [],
      paths: { row: [], otherRows: [] },
    };
    /** Made anew only with a new state. */
    const current = (): typeof edges => {
      const state = o.membership.state();
      if (state === edges.of) return edges;
      const all = Object.values(state?.nodes ?? {});
      const live = all.filter((n) => n.role === 'gateway' && n.status !== 'dead');
      return (edges = { of: state, live, paths: loadPaths.of(live, me) });
    };
    const pause = (): Microseconds => {
      const scarce = o.adm().hasWaitingTurns() || [...exchange.received.values()].some((h) => waits(h.load));
      return scarce ? soonestWhileWaiting : soonest;
    };
    const put = (): void => {
      const now = clock.now();
      for (const [k, at] of took) if (now - at > duration.s(3) || took.size > 500) took.delete(k);
      const load: EdgeLoad = { ...o.adm().load(), took: [...took.keys()], uses: o.uses() };
      // Tokens grow with every event of every stream: that alone is told by the slower measure.
      const text = JSON.stringify({ ...load, tokens: null });
      if (text === last && now - lastPut < latest) return;
      last = text;
      lastPut = now;
      mark += 1;
      exchange.send({ from: me, mark, load });
      // What is in use is told by itself: it lasts, so it finds its way round a relay that hangs.
      // It is put again now and then, since whoever took this edge for dead has dropped it.
      if (now - lastNews >= newsEvery || load.uses > lastUses) dissemination.put(`uses/${me}`, load.uses, {});
      lastUses = load.uses;
      if (now - lastNews < newsEvery) return;
      lastNews = now;
      dissemination.put(`load/${me}`, mark, load);
    };
    /** The newest of each edge, by whichever way it came. */
    const newest = (): Map<string, ReceivedLoad> => {
      const now = clock.now();
      const all = new Map<string, ReceivedLoad>();
      for (const x of dissemination.all('load/'))
        all.set(x.name.slice(5), { mark: x.item.version, at: x.item.at, load: x.item.value as EdgeLoad });
      const known = new Set(current().live.map((n) => n.id));
      for (const [id, h] of exchange.received)
        if (!known.has(id) || now - h.at > forgetAfter) exchange.received.delete(id);
        else if (h.mark >= (all.get(id)?.mark ?? -1)) all.set(id, h);
      all.delete(me);
      return all;
    };
    const heard = (): void => {
      const now = clock.now();
      lastTaken = now;
      const fresh = [...newest()].filter(([, h]) => now - h.at < forgetAfter);
      o.adm().setPeerLoads(fresh.map(([id, h]) => ({ ...h.load, id })));
    };
    const soon = (): void => {
      if (gathering) return;
      gathering = true;
      clock.schedule(current().live.length > directUpTo ? gatherOfMany : gather, () => {
        gathering = false;
        heard();
      });
    };
    const exchange = loadExchange.open({
      clock,
      rpc,
      me,
      paths: () => current().paths,
      pause,
      onReceived: soon,
    });
    return {
      heard,
      told: (edge, m) => {
        if (edge !== me && (exchange.received.get(edge)?.mark ?? -1) < m) soon();
      },
      heardOf: (edge) =>
        Math.max(exchange.received.get(edge)?.at ?? -Infinity, dissemination.get(`load/${edge}`)?.at ?? -Infinity),
      changed: () => {
        if (due) return;
        due = true;
        clock.schedule(Math.max(0, lastPut + pause() - clock.now()), () => {
          due = false;
          put();
        });
      },
      tick: () => {
        // What is gathered is taken in by itself; this is for what has aged.
        if (clock.now() - lastTaken >= ageEvery) heard();
        put();
      },
      tookOver: (program) => void took.set(program, clock.now()),
    };
  },
};
