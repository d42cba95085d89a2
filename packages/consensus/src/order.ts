// What the coordinators order (§3.3): the configuration, the roster of nodes and the store group; pure changes on it.
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import { validate } from '@thornsail/rpc';
import { configuration, isReceipts, type ConfigurationState, type Receipts } from './configuration.js';
import type { StoreGroup } from './groups.js';
import { isMarked, type Marked, type Member } from './views.js';

export type NodeRole = 'coordinator' | 'store' | 'agent' | 'gateway';
export type NodeEntry = {
  id: string;
  name: string;
  role: NodeRole;
  place: Address;
  http: Address;
  zone: string;
  inc: number;
  standing: 'live' | 'leaving' | 'dead';
  since: Microseconds;
};
export type Ordered = {
  config: ConfigurationState;
  /** The ids of the newest pushes, as the release before reads them. */
  pushes: { id: string; mark: number }[];
  receipts?: Receipts;
  roster: Record<string, NodeEntry>;
  keepers: StoreGroup;
  towers: Member[];
};

const deadKept = 64;

const isMember = validate.object({ id: validate.string, at: address.ok });
export const isNode = validate.object({
  id: validate.string,
  name: validate.string,
  role: validate.oneOf('coordinator', 'store', 'agent', 'gateway'),
  place: address.ok,
  http: address.ok,
  zone: validate.string,
  inc: validate.integer,
});
const isOrdered = validate.object({
  config: validate.object({
    mark: validate.integer,
    history: validate.arrayOf(validate.object({ mark: validate.integer })),
  }),
  pushes: validate.arrayOf(validate.object({ id: validate.string, mark: validate.integer })),
  receipts: isReceipts,
  roster: validate.recordOf(isNode),
  keepers: validate.object({
    mark: validate.integer,
    members: validate.arrayOf(isMember),
    swept: validate.integer,
    draining: validate.arrayOf(validate.string),
  }),
});
const isMarkedOrder = (u: unknown): boolean => isMarked(u) && isOrdered((u as Marked<unknown>).state);

export const order = {
  initial: (): Ordered => ({
    config: { mark: 0, raw: null, value: null, history: [] },
    pushes: [],
    roster: {},
    keepers: { mark: 0, members: [], swept: 0, draining: [] },
    towers: [],
  }),

  push: configuration.push,

  /** A node joins, or refutes its death, with an incarnation above any known one (§3.2). */
  join: (
    s: Ordered,
    n: Omit<NodeEntry, 'standing' | 'since'> & { leaving?: boolean },
    at: Microseconds,
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

  dead: (s: Ordered, id: string, inc: number, at: Microseconds): { state: Ordered; result: boolean } => {
    const cur = s.roster[id];
    if (!cur || cur.inc !== inc || cur.standing === 'dead') return { state: s, result: false };
    return {
      state: { ...s, roster: prune({ ...s.roster, [id]: { ...cur, standing: 'dead', since: at } }) },
      result: true,
    };
  },

  /** Whether something that came over a connection has the shape of agreed state under its marks. */
  sound: (u: unknown): boolean => isMarkedOrder(u),
  soundState: (u: unknown): boolean => isOrdered(u),

  live: (s: Ordered, role?: NodeRole): NodeEntry[] =>
    Object.values(s.roster)
      .filter((n) => n.standing !== 'dead' && (!role || n.role === role))
      .sort((a, b) => (a.id < b.id ? -1 : 1)),
};

const prune = (roster: Record<string, NodeEntry>): Record<string, NodeEntry> => {
  const gone = Object.values(roster)
    .filter((n) => n.standing === 'dead')
    .sort((a, b) => a.since - b.since);
  const out = { ...roster };
  for (const n of gone.slice(0, Math.max(0, gone.length - deadKept))) delete out[n.id];
  return out;
};
