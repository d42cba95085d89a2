// What an edge tells the other edges of its load, and hears of theirs (§4.4, §5.2): straight to them soon after a
// change, so that two edges seldom see the same slot free. The news (§3.5) carries it as well, seldom: for operators,
// for an edge that the straight way does not reach; and by itself which configuration is in use.
import { isLoad, type Mooring } from '@thornsail/mooring';
import { time, us, type Clock, type Us } from '@thornsail/lens';
import { shape, type Pipe } from '@thornsail/pipe';
import type { Admission, EdgeLoad } from './admission.js';

export type Report = {
  /** Something changed: the other edges hear of it within `soonest`. */
  changed: () => void;
  /** Puts out what is new, and takes in what the others said. */
  tick: () => void;
  /** A program was taken over from another edge; the others forget it. */
  tookOver: (program: string) => void;
  heard: () => void;
  /** When another edge was heard of last; -Infinity if never. */
  heardOf: (edge: string) => Us;
};
type Heard = { mark: number; at: Us; load: EdgeLoad };
type Message = { from: string; mark: number; load: EdgeLoad };
const soonest = us.ms(100);
const latest = us.ms(700);
const newsEvery = us.ms(1500);
/** What several edges say within this time is taken in together. */
const gather = us.ms(10);
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
    const live = (): { id: string; place: string }[] => {
      const s = o.mooring.state();
      return s ? Object.values(s.roster).filter((n) => n.role === 'front' && n.standing !== 'dead') : [];
    };
    const put = (): void => {
      const now = clock.now();
      for (const [k, at] of took) if (now - at > us.s(3) || took.size > 500) took.delete(k);
      const load: EdgeLoad = { ...o.adm().load(), took: [...took.keys()], uses: o.uses() };
      const text = JSON.stringify(load);
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
      const fresh = [...newest()].filter(([, h]) => now - h.at < forgetAfter);
      o.adm().siblings(fresh.map(([id, h]) => ({ ...h.load, id })));
    };
    pipe.on<Message>(
      'load',
      shape.has({ from: shape.text, mark: shape.whole, load: isLoad }),
      ({ from, mark: m, load }) => {
        if (from === me || (straight.get(from)?.mark ?? -1) >= m) return;
        straight.set(from, { mark: m, at: clock.now(), load });
        if (gathering) return;
        gathering = true;
        void time.sleep(clock, gather).then(() => {
          gathering = false;
          heard();
        });
      },
    );
    return {
      heard,
      heardOf: (edge) => Math.max(straight.get(edge)?.at ?? -Infinity, beam.get(`load/${edge}`)?.at ?? -Infinity),
      changed: () => {
        if (due) return;
        due = true;
        clock.tick(Math.max(0, lastPut + soonest - clock.now()), () => {
          due = false;
          put();
        });
      },
      tick: () => {
        heard();
        put();
      },
      tookOver: (program) => void took.set(program, clock.now()),
    };
  },
};
