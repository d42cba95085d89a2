// What the towers order (§3.3): the configuration, the roster of nodes and the keeper group; pure changes on it.
import { chart, type Config, type Problem } from '@thornsail/config-schema';
import { place, type Place, type Us } from '@thornsail/runtime';
import { shape } from '@thornsail/rpc';
import type { KeeperGroup } from './groups.js';
import { isMarked, type Marked, type Member } from './views.js';

export type NodeRole = 'tower' | 'keeper' | 'pilot' | 'front';
export type NodeEntry = {
  id: string;
  name: string;
  role: NodeRole;
  place: Place;
  http: Place;
  zone: string;
  inc: number;
  standing: 'live' | 'leaving' | 'dead';
  since: Us;
};
/** An earlier configuration as it was pushed; the last few are kept so that one can be gone back to (§7.2). */
export type PastConfig = { mark: number; at: Us; push: string; raw: unknown };
export type Ordered = {
  /**
   * `mark` is ours and grows by one. An operator may number changes by a `revision` of his own, and hand in the
   * `source` from which `raw` was made: it is kept and given back as it came (§7.2).
   */
  config: {
    mark: number;
    raw: unknown;
    value: Config | null;
    history: PastConfig[];
    revision?: number;
    source?: unknown;
  };
  pushes: { id: string; mark: number }[];
  roster: Record<string, NodeEntry>;
  keepers: KeeperGroup;
  towers: Member[];
};
/** With a `revision`, `base` is the operator's own number of what is changed; else it is our mark. */
export type Push = {
  id: string;
  base: number;
  how: 'whole' | 'merge' | 'patch';
  body: unknown;
  revision?: number;
  source?: unknown;
};
export type PushResult =
  | { ok: true; mark: number; repeated?: boolean }
  | { ok: false; why: 'collision'; mark: number }
  /** Ordered and durable, and not yet in use at these fronts. */
  | { ok: false; why: 'unconfirmed'; mark: number; fronts: string[] }
  | { ok: false; why: 'invalid'; mark: number; problems: Problem[] };

const pushesKept = 512;
const deadKept = 64;
const historyKept = 8;
const historyBytes = 65_536;

const isMember = shape.has({ id: shape.text, at: place.ok });
export const isNode = shape.has({
  id: shape.text,
  name: shape.text,
  role: shape.one('tower', 'keeper', 'pilot', 'front'),
  place: place.ok,
  http: place.ok,
  zone: shape.text,
  inc: shape.whole,
});
const isOrdered = shape.has({
  config: shape.has({ mark: shape.whole, history: shape.list(shape.has({ mark: shape.whole })) }),
  pushes: shape.list(shape.has({ id: shape.text, mark: shape.whole })),
  roster: shape.table(isNode),
  keepers: shape.has({
    mark: shape.whole,
    members: shape.list(isMember),
    swept: shape.whole,
    draining: shape.list(shape.text),
  }),
});
const isMarkedOrder = (u: unknown): boolean => isMarked(u) && isOrdered((u as Marked<unknown>).state);

const invalid = (s: Ordered, problems: Problem[]): PushResult => ({
  ok: false,
  why: 'invalid',
  mark: s.config.mark,
  problems,
});

export const order = {
  initial: (): Ordered => ({
    config: { mark: 0, raw: null, value: null, history: [] },
    pushes: [],
    roster: {},
    keepers: { mark: 0, members: [], swept: 0, draining: [] },
    towers: [],
  }),

  /** A push is judged against its base mark and has one effect however often it is repeated (§7.2). */
  push: (s: Ordered, p: Push, at: Us): { state: Ordered; result: PushResult } => {
    const before = s.pushes.find((x) => x.id === p.id);
    if (before) return { state: s, result: { ok: true, mark: before.mark, repeated: true } };
    const present = p.revision === undefined ? s.config.mark : (s.config.revision ?? 0);
    if (p.base !== present) return { state: s, result: { ok: false, why: 'collision', mark: s.config.mark } };
    if (p.revision !== undefined && p.revision <= present)
      return { state: s, result: invalid(s, [{ path: 'revision', text: `must be above ${present}` }]) };
    const next = chart.change(s.config.raw ?? {}, p.how, p.body);
    if (!next.ok)
      return { state: s, result: { ok: false, why: 'invalid', mark: s.config.mark, problems: next.problems } };
    const raw = next.value;
    const c = chart.check(raw);
    if (!c.ok) return { state: s, result: { ok: false, why: 'invalid', mark: s.config.mark, problems: c.problems } };
    const mark = s.config.mark + 1;
    return {
      state: {
        ...s,
        config: {
          mark,
          raw,
          value: c.value,
          history: past([...s.config.history, { mark, at, push: p.id, raw }]),
          revision: p.revision ?? s.config.revision ?? 0,
          source: p.source ?? null,
        },
        pushes: [...s.pushes, { id: p.id, mark }].slice(-pushesKept),
      },
      result: { ok: true, mark },
    };
  },

  /** A node joins, or refutes its death, with an incarnation above any known one (§3.2). */
  join: (
    s: Ordered,
    n: Omit<NodeEntry, 'standing' | 'since'> & { leaving?: boolean },
    at: Us,
  ): { state: Ordered; result: { ok: boolean; inc: number } } => {
    const cur = s.roster[n.id];
    if (cur && (n.inc < cur.inc || (n.inc === cur.inc && cur.standing === 'dead')))
      return { state: s, result: { ok: false, inc: cur.inc } };
    const standing = n.leaving ? ('leaving' as const) : ('live' as const);
    if (cur && cur.inc === n.inc && cur.standing === standing && cur.place === n.place && cur.http === n.http)
      return { state: s, result: { ok: true, inc: n.inc } };
    const roster = { ...s.roster };
    // A new identity at an address replaces the old one there: an emptied machine is not the one it was.
    for (const o of Object.values(roster))
      if (o.id !== n.id && o.place === n.place && o.standing !== 'dead')
        roster[o.id] = { ...o, standing: 'dead', since: at };
    roster[n.id] = {
      id: n.id,
      name: n.name,
      role: n.role,
      place: n.place,
      http: n.http,
      zone: n.zone,
      inc: n.inc,
      standing,
      since: cur?.standing === standing ? cur.since : at,
    };
    return { state: { ...s, roster: prune(roster) }, result: { ok: true, inc: n.inc } };
  },

  dead: (s: Ordered, id: string, inc: number, at: Us): { state: Ordered; result: boolean } => {
    const cur = s.roster[id];
    if (!cur || cur.inc !== inc || cur.standing === 'dead') return { state: s, result: false };
    return {
      state: { ...s, roster: prune({ ...s.roster, [id]: { ...cur, standing: 'dead', since: at } }) },
      result: true,
    };
  },

  /** Whether something that came over a pipe has the shape of agreed state under its marks. */
  sound: (u: unknown): boolean => isMarkedOrder(u),
  soundState: (u: unknown): boolean => isOrdered(u),

  live: (s: Ordered, role?: NodeRole): NodeEntry[] =>
    Object.values(s.roster)
      .filter((n) => n.standing !== 'dead' && (!role || n.role === role))
      .sort((a, b) => (a.id < b.id ? -1 : 1)),
};

/** The newest few, and no more than the ordered state can carry: it goes whole with every version. */
const past = (all: PastConfig[]): PastConfig[] => {
  const out: PastConfig[] = [];
  let size = 0;
  for (const x of [...all].reverse()) {
    size += JSON.stringify(x.raw).length;
    if (out.length === historyKept || (out.length > 0 && size > historyBytes)) break;
    out.unshift(x);
  }
  return out;
};

const prune = (roster: Record<string, NodeEntry>): Record<string, NodeEntry> => {
  const gone = Object.values(roster)
    .filter((n) => n.standing === 'dead')
    .sort((a, b) => a.since - b.since);
  const out = { ...roster };
  for (const n of gone.slice(0, Math.max(0, gone.length - deadKept))) delete out[n.id];
  return out;
};
