// The core (§3.3): serves the operations that change what the towers order, and the duties of its head:
// forming the keeper group, ruling on suspicions, replacing lost members one at a time.
import { fault, time, us, type Lens, type Place, type Us } from '@thornsail/runtime';
import type { Logbook } from '@thornsail/durable-files';
import { shape, type Pipe } from '@thornsail/rpc';
import type { Push, PushResult } from './configuration.js';
import { isNode, order, type NodeEntry, type Ordered } from './order.js';
import { views, type Marked, type Views } from './views.js';

export type Suspicion = { by: string; id: string; inc: number };
export type CoreAsk =
  | { op: 'push'; push: Push }
  | { op: 'read' }
  | { op: 'join'; node: Omit<NodeEntry, 'standing' | 'since'> & { leaving?: boolean } }
  | { op: 'suspect'; list: Suspicion[] }
  | { op: 'swept'; mark: number }
  | { op: 'drain'; id: string; on: boolean };
export type CoreResult =
  | { ok: true; seq: number; value: unknown }
  | { ok: false; why: 'moved' | 'unknown'; head: Place | null; towers: Place[] };

/** The fronts at which a configuration is not yet in use, and whether enough of them could be asked at all. */
export type Confirmed = { ok: true } | { ok: false; fronts: string[] };
/**
 * A configuration is in use when every front that the roster has alive says so, and more than half of all that were
 * alive lately: if the core is cut off from most of them, they may be serving on without it (§7.2).
 */
export const confirmed = (s: Ordered, at: Us, mark: number, uses: (id: string) => number): Confirmed => {
  const fronts = Object.values(s.roster).filter((n) => n.role === 'front');
  const live = fronts.filter((n) => n.standing === 'live');
  // One whose address a new process has taken is gone for good.
  const behindACut = (n: NodeEntry): boolean =>
    n.standing === 'dead' && at - n.since < goneForGood && !live.some((x) => x.place === n.place);
  const lately = [...live, ...fronts.filter(behindACut)];
  const slow = lately.filter((n) => uses(n.id) < mark);
  const need = slow.filter((n) => n.standing === 'live');
  if (need.length) return { ok: false, fronts: slow.map((n) => n.name).sort() };
  const enough = lately.length === 0 || (lately.length - slow.length) * 2 > lately.length;
  return enough ? { ok: true } : { ok: false, fronts: slow.map((n) => n.name).sort() };
};
/** One dead for so long is not waited for: it is not serving on behind a cut. */
const goneForGood = us.s(600);
/** Shorter than a node waits for a tower's answer; whoever asked repeats the same push until its own time is out. */
const confirmWithin = us.ms(300);

const isAsk = shape.either(
  shape.has({ op: shape.one('read') }),
  shape.has({
    op: shape.one('push'),
    push: shape.has({
      id: shape.text,
      base: shape.whole,
      revision: shape.maybe(shape.whole),
      how: shape.one('whole', 'merge', 'patch'),
      body: shape.any,
    }),
  }),
  shape.has({ op: shape.one('join'), node: isNode }),
  shape.has({
    op: shape.one('suspect'),
    list: shape.list(shape.has({ by: shape.text, id: shape.text, inc: shape.whole })),
  }),
  shape.has({ op: shape.one('swept'), mark: shape.whole }),
  shape.has({ op: shape.one('drain'), id: shape.text, on: shape.flag }),
);

export type Core = { views: Views<Ordered>; close: () => void };
/** `keepers` and `towers` are the sizes of the groups; a drain never leaves fewer than `leastKeepers`. */
export type CoreTimes = {
  suspectFor: Us;
  replaceAfter: Us;
  keepers: number;
  towers: number;
  leastKeepers: number;
};

/** Those whose zone holds none yet come first. */
const spreadOver = (nodes: NodeEntry[], zones: string[]): NodeEntry[] => {
  const seen = new Set(zones);
  const first = nodes.filter((n) => !seen.has(n.zone) && seen.add(n.zone) !== undefined);
  return [...first, ...nodes.filter((n) => !first.includes(n))];
};

export const core = {
  open: async (o: {
    lens: Lens;
    pipe: Pipe;
    book: Logbook;
    founders: Place[];
    onDone: (v: Marked<Ordered>) => void;
    news?: () => unknown;
    /** The mark of the configuration that a front says it uses. */
    uses?: (front: string) => number;
    /** Told now and then while a majority confirms this head. */
    onLead?: (mark: number) => void;
    times?: Partial<CoreTimes>;
  }): Promise<Core> => {
    const { lens, pipe } = o;
    const T: CoreTimes = {
      suspectFor: us.ms(1500),
      replaceAfter: us.s(3),
      keepers: 3,
      towers: 3,
      leastKeepers: 0,
      ...o.times,
    };
    const log = lens.log('tower');
    const v = await views.open<Ordered>({
      lens,
      pipe,
      book: o.book,
      founders: o.founders,
      initial: order.initial(),
      onDone: o.onDone,
      sound: order.soundState,
    });
    const suspicions = new Map<string, Map<string, { inc: number; at: Us }>>();

    /** Acknowledged once a majority of towers has it and the fronts use it; otherwise its outcome is not known. */
    const push = async (p: Push): Promise<{ seq: number; result: PushResult }> => {
      const r = await v.propose<PushResult>((s) => order.push(s, p, lens.clock.wall()));
      const { result } = r;
      if (!result.ok || !o.uses || v.done()?.state.config.value?.acknowledge === 'agreed') return r;
      const end = lens.clock.now() + confirmWithin;
      for (;;) {
        const s = v.done()?.state;
        const c = s ? confirmed(s, lens.clock.wall(), result.mark, o.uses) : { ok: false as const, fronts: [] };
        if (c.ok) return r;
        if (lens.clock.now() >= end)
          return { seq: r.seq, result: { ok: false, why: 'unconfirmed', mark: result.mark, fronts: c.fronts } };
        await time.sleep(lens.clock, us.ms(20));
      }
    };
    const run = async (ask: CoreAsk): Promise<{ seq: number; result: unknown }> => {
      switch (ask.op) {
        case 'push':
          return push(ask.push);
        case 'join':
          return v.propose((s) => order.join(s, ask.node, lens.clock.wall()));
        case 'swept':
          return v.propose((s) => order.swept(s, ask.mark));
        case 'drain':
          return v.propose((s) => order.drain(s, ask.id, ask.on, T.leastKeepers));
        case 'read': {
          const d = await v.agreed();
          return { seq: d.seq, result: { state: d.state, view: d.view, members: d.members, news: o.news?.() ?? null } };
        }
        case 'suspect': {
          if (v.standing() !== 'lead') throw fault.make({ step: 'suspect', code: 'moved' }, 'not the head');
          for (const x of ask.list) {
            const by = suspicions.get(x.id) ?? new Map<string, { inc: number; at: Us }>();
            by.set(x.by, { inc: x.inc, at: lens.clock.now() });
            suspicions.set(x.id, by);
          }
          return { seq: v.done()?.seq ?? 0, result: true };
        }
      }
    };
    pipe.on<CoreAsk>('core', isAsk, async (ask): Promise<CoreResult> => {
      try {
        const r = await run(ask);
        return { ok: true, seq: r.seq, value: r.result };
      } catch (e) {
        const code = fault.info(e).code;
        if (code !== 'moved' && code !== 'unknown') throw e;
        return {
          ok: false,
          why: code,
          head: v.standing() === 'lead' ? null : (v.head() ?? null),
          towers: v.done()?.members.map((m) => m.at) ?? o.founders,
        };
      }
    });

    /** Dead only when two watchers that are themselves in the roster agree about the same incarnation (§3.2). */
    const rule = async (): Promise<void> => {
      const d = v.done();
      if (v.standing() !== 'lead' || !d) return;
      const now = lens.clock.now();
      for (const [id, by] of suspicions) {
        for (const [w, x] of by) if (now - x.at > T.suspectFor) by.delete(w);
        if (by.size === 0) {
          suspicions.delete(id);
          continue;
        }
        const n = d.state.roster[id];
        if (!n || n.standing === 'dead') {
          suspicions.delete(id);
          continue;
        }
        const agree = [...by].filter(
          ([w, x]) => x.inc === n.inc && d.state.roster[w] !== undefined && d.state.roster[w].standing !== 'dead',
        );
        if (agree.length < Math.min(2, order.live(d.state).length - 1)) continue;
        suspicions.delete(id);
        log(`${n.name} is dead: ${agree.length} watchers agree.`);
        await v.propose((s) => order.dead(s, id, n.inc, lens.clock.wall()));
      }
    };
    const aliveIn = (s: Ordered, id: string): boolean => s.roster[id] !== undefined && s.roster[id].standing !== 'dead';
    /** By this head's own clock: walls may differ, and a new head counts anew. */
    const goneSince = new Map<string, Us>();
    const goneFor = (s: Ordered, id: string): Us => {
      if (aliveIn(s, id)) {
        goneSince.delete(id);
        return 0;
      }
      const at = goneSince.get(id) ?? lens.clock.now();
      goneSince.set(id, at);
      return lens.clock.now() - at;
    };

    /** Keeper group: formed once, then changed by one member at a time, each change swept before the next. */
    const keepers = async (): Promise<void> => {
      const d = v.done();
      if (v.standing() !== 'lead' || !d) return;
      const s = d.state;
      const k = s.keepers;
      const live = order.live(s, 'keeper').filter((n) => n.standing === 'live');
      const member = (n: NodeEntry): { id: string; at: Place } => ({ id: n.id, at: n.place });
      if (k.mark === 0) {
        if (live.length >= T.keepers)
          await v.propose((x) => order.firstGroup(x, spreadOver(live, []).slice(0, T.keepers).map(member)));
        return;
      }
      if (k.swept !== k.mark) return;
      const here = live.filter((n) => k.members.some((m) => m.id === n.id)).map((n) => n.zone);
      const spare = spreadOver(
        live.filter((n) => !k.members.some((m) => m.id === n.id) && !k.draining.includes(n.id)),
        here,
      )[0];
      const lost = k.members.find((m) => goneFor(s, m.id) > T.replaceAfter);
      const leaving = k.members.find((m) => k.draining.includes(m.id) && aliveIn(s, m.id));
      // A lost one goes before the spare comes: the two that are left hold all there is, so both changes are complete
      // at once; the other way round every record has to be written to three of four. One that leaves stays until then.
      const restLive = k.members.every((m) => m === lost || aliveIn(s, m.id));
      const out = lost && restLive && (spare || k.members.length > T.keepers) ? lost : undefined;
      if (out && k.members.length >= T.keepers) {
        log(`keeper ${out.id} is taken out of the group.`);
        await v.propose((x) => order.regroup(x, { remove: out.id }));
      } else if (spare && !lost && k.members.length < T.keepers + (leaving ? 1 : 0)) {
        log(`keeper ${spare.name} joins the group.`);
        await v.propose((x) => order.regroup(x, { add: member(spare) }));
      } else if (leaving && !lost && k.members.length >= T.keepers) {
        log(`keeper ${leaving.id} leaves the group.`);
        await v.propose((x) => order.regroup(x, { remove: leaving.id }));
      }
    };
    /** Tower group: an empty newcomer is added (its state comes with the order), then the lost one is taken out. */
    const towers = async (): Promise<void> => {
      const d = v.done();
      if (v.standing() !== 'lead' || !d) return;
      const s = d.state;
      const size = T.towers;
      const lost = d.members.find((m) => goneFor(s, m.id) > T.replaceAfter);
      const spare = order.live(s, 'tower').find((n) => n.standing === 'live' && !d.members.some((m) => m.id === n.id));
      if (spare && d.members.length < size + (lost ? 1 : 0)) {
        log(`tower ${spare.name} joins the view.`);
        await v.propose((x, members) => ({
          state: x,
          members: members.some((m) => m.id === spare.id) ? undefined : [...members, { id: spare.id, at: spare.place }],
          result: true,
        }));
      } else if (lost && d.members.length > size) {
        log(`tower ${lost.id} leaves the view.`);
        await v.propose((x, members) => ({ state: x, members: members.filter((m) => m.id !== lost.id), result: true }));
      }
    };
    const safely = (fn: () => Promise<void>) => async (): Promise<void> => {
      try {
        await fn();
      } catch (e) {
        if (!['moved', 'unknown'].includes(fault.info(e).code ?? '')) log(`a duty failed: ${fault.text(e)}.`);
      }
    };
    let told = 0;
    /** Says that the core is there: a front that hears it gets every configuration in time (§7.2). */
    const say = (): void => {
      if (v.led() && o.onLead) o.onLead((v.done()?.view ?? 0) * 1e9 + ++told);
    };
    const stops = [
      time.every(lens.clock, us.ms(500), say),
      time.every(lens.clock, us.ms(200), safely(rule)),
      time.every(
        lens.clock,
        us.ms(500),
        safely(async () => {
          await keepers();
          await towers();
        }),
      ),
    ];
    return {
      views: v,
      close: () => {
        for (const s of stops) s();
        v.close();
      },
    };
  },
};
