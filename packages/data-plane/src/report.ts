// What an edge tells the other edges of its load, and hears of theirs (§4.4, §5.2): straight to them soon after a
// change, so that two edges seldom see the same slot free. The news (§3.5) carries it as well, seldom: for operators,
// for an edge that the straight way does not reach; and by itself which configuration is in use.
import { isLoad, type Mooring } from '@thornsail/membership';
import { us, type Clock, type Us } from '@thornsail/runtime';
import { shape, type Pipe } from '@thornsail/rpc';
import type { Admission, EdgeLoad } from './admission.js';

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
  heardOf: (edge: string) => Us;
};
type Heard = { mark: number; at: Us; load: EdgeLoad };
type Message = { from: string; mark: number; load: EdgeLoad };
/** So long after the last time; sooner while turns wait anywhere, since slots are scarce then. */
const soonest = us.ms(200);
const soonestWhileWaiting = us.ms(100);
const latest = us.ms(700);
const newsEvery = us.ms(1500);
/** What several edges say within this time is taken in together. */
const gather = us.ms(25);
const ageEvery = us.ms(200);
const waits = (l: EdgeLoad): boolean => Object.keys(l.load.waiting).length > 0;
/** Totals age out with their owner: by the roster, or by silence. */
const forgetAfter = us.s(5);

export const report = {
  open: (o: {
    clock: Clock;
    pipe: Pipe;
    mooring: Mooring;
    me: string;
    adm: () => Admission;
    uses: () => number;
  }): Report => {
    const { clock, me, pipe } = o;
    const { beam } = o.mooring;
    const took = new Map<string, Us>();
    const straight = new Map<string, Heard>();
    let mark = 0;
    let last = '';
    let lastPut = -soonest;
    let lastNews = -newsEvery;
    let lastUses = -1;
    let due = false;
    let gathering = false;
    let lastTaken = -latest;
    type Roster = ReturnType<Mooring['state']>;
    let fronts: { of: Roster; live: { id: string; place: string }[] } = { of: undefined, live: [] };
    /** Made anew only with a new state. */
    const live = (): { id: string; place: string }[] => {
      const s = o.mooring.state();
      if (s !== fronts.of) {
        const all = s ? Object.values(s.roster) : [];
        fronts = { of: s, live: all.filter((n) => n.role === 'front' && n.standing !== 'dead') };
      }
      return fronts.live;
    };
    const pause = (): Us => {
      const scarce = o.adm().waits() || [...straight.values()].some((h) => waits(h.load));
      return scarce ? soonestWhileWaiting : soonest;
    };
    const put = (): void => {
      const now = clock.now();
      for (const [k, at] of took) if (now - at > us.s(3) || took.size > 500) took.delete(k);
      const load: EdgeLoad = { ...o.adm().load(), took: [...took.keys()], uses: o.uses() };
      // Tokens grow with every event of every stream: that alone is told by the slower measure.
      const text = JSON.stringify({ ...load, tokens: null });
      if (text === last && now - lastPut < latest) return;
      last = text;
      lastPut = now;
      mark += 1;
      const others = live().filter((n) => n.id !== me);
      pipe.tellAll(
        others.map((n) => n.place),
        'load',
        { from: me, mark, load } satisfies Message,
      );
      // What is in use is told by itself: it lasts, so it finds its way round a relay that hangs.
      // It is put again now and then, since whoever took this edge for dead has dropped it.
      if (now - lastNews >= newsEvery || load.uses > lastUses) beam.put(`uses/${me}`, load.uses, {});
      lastUses = load.uses;
      if (now - lastNews < newsEvery) return;
      lastNews = now;
      beam.put(`load/${me}`, mark, load);
    };
    /** The newest of each edge, by whichever way it came. */
    const newest = (): Map<string, Heard> => {
      const now = clock.now();
      const all = new Map<string, Heard>();
      for (const x of beam.all('load/'))
        all.set(x.name.slice(5), { mark: x.item.mark, at: x.item.at, load: x.item.value as EdgeLoad });
      const known = new Set(live().map((n) => n.id));
      for (const [id, h] of straight)
        if (!known.has(id) || now - h.at > forgetAfter) straight.delete(id);
        else if (h.mark >= (all.get(id)?.mark ?? -1)) all.set(id, h);
      all.delete(me);
      return all;
    };
    const heard = (): void => {
      const now = clock.now();
      lastTaken = now;
      const fresh = [...newest()].filter(([, h]) => now - h.at < forgetAfter);
      o.adm().siblings(fresh.map(([id, h]) => ({ ...h.load, id })));
    };
    const soon = (): void => {
      if (gathering) return;
      gathering = true;
      clock.tick(gather, () => {
        gathering = false;
        heard();
      });
    };
    pipe.on<Message>(
      'load',
      shape.has({ from: shape.text, mark: shape.whole, load: isLoad }),
      ({ from, mark: m, load }) => {
        if (from === me || (straight.get(from)?.mark ?? -1) >= m) return;
        straight.set(from, { mark: m, at: clock.now(), load });
        soon();
      },
    );
    return {
      heard,
      told: (edge, m) => {
        if (edge !== me && (straight.get(edge)?.mark ?? -1) < m) soon();
      },
      heardOf: (edge) => Math.max(straight.get(edge)?.at ?? -Infinity, beam.get(`load/${edge}`)?.at ?? -Infinity),
      changed: () => {
        if (due) return;
        due = true;
        clock.tick(Math.max(0, lastPut + pause() - clock.now()), () => {
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
