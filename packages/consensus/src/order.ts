// What the coordinators order (§3.3): the configuration, the roster of nodes and the store group; pure changes on it.
import type { Address, Microseconds } from '@thornsail/runtime';
import { configuration, type ConfigurationState, type Receipts } from './configuration.js';
import type { StoreGroup } from './groups.js';
import type { Member } from './types.js';

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
  storeGroup: StoreGroup;
  /** Always empty: a release before kept the coordinators here, and reads the field. */
  coordinators: Member[];
};

const deadKept = 64;

export const order = {
  initial: (): Ordered => ({
    config: { mark: 0, raw: null, value: null, history: [] },
    pushes: [],
    roster: {},
    storeGroup: { mark: 0, members: [], swept: 0, draining: [] },
    coordinators: [],
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
