/**
 * The state that the coordinators agree on (§3.3): the configuration, the nodes of the fleet and the store group, with
 * the changes of the list of nodes. All changes are pure: they give a new state, and what the caller is told.
 */
import type { Config } from '@thornsail/config-schema';
import type { Address, Microseconds } from '@thornsail/runtime';
import type { Member } from './types.js';

/** What a node does in the fleet. */
export type NodeRole = 'coordinator' | 'store' | 'agent' | 'gateway';
/** A node as the coordinators know it. */
export type NodeEntry = {
  id: string;
  name: string;
  role: NodeRole;
  /** Where other nodes reach it. */
  place: Address;
  /** Where operators and callers reach it. */
  http: Address;
  zone: string;
  /** Grows with each return of the node after it was taken for dead. */
  incarnation: number;
  status: 'live' | 'leaving' | 'dead';
  /** When it got its status, by the wall clock of the leader then. */
  since: Microseconds;
};
/** A node that joins, returns, or tells that it leaves. */
export type JoiningNode = Omit<NodeEntry, 'status' | 'since'> & { leaving?: boolean };

/** An earlier configuration as it was pushed; the last few are kept so that one can be gone back to (§7.2). */
export type PastConfig = { mark: number; at: Microseconds; push: string; raw: unknown };
/** The configuration with its history. `mark` is its version, which grows by one with each accepted push. */
export type ConfigurationState = {
  mark: number;
  /** The document as operators pushed and merged it: what the next change is applied to. */
  raw: unknown;
  /** `raw` checked and with its defaults filled in: what nodes work by; null before the first push. */
  value: Config | null;
  history: PastConfig[];
  /** An operator's own number of this configuration, where he numbers changes himself. */
  revision?: number;
  /** The document from which an operator's program made `raw`; it is kept and given back as it came (§7.2). */
  source?: unknown;
};

/** The base, the version that came of it, and the digest of the push's id, separated by spaces: short when encoded. */
export type Receipt = string;
/**
 * Which push replaced which base. `accepted` holds the last ones, oldest first; of what lies at or below `forgotten`
 * and isn't among them nothing is known. `refused` holds pushes on bases above the newest: none may be accepted later.
 */
export type Receipts = {
  /** The version of the newest configuration that is counted in here; an older release doesn't write receipts. */
  mark: number;
  forgotten: { base: number; mark: number };
  accepted: Receipt[];
  refused: string[];
};

/** The group of stores that holds the registers (§6.5). */
export type StoreGroup = {
  /** The version of the group: it grows by one with each change, and is 0 before the group is formed. */
  mark: number;
  members: Member[];
  /** The newest version under which every record was on a majority. */
  swept: number;
  /** Identities of those that were asked to leave. */
  draining: string[];
};

/** All that the coordinators agree on. It is replicated and stored whole with each change. */
export type AgreedState = {
  config: ConfigurationState;
  /** The ids of the newest pushes, as the release before reads them. */
  pushes: { id: string; mark: number }[];
  receipts?: Receipts;
  /** By identity. */
  nodes: Record<string, NodeEntry>;
  storeGroup: StoreGroup;
  /** Always empty: a release before kept the coordinators here, and reads the field. */
  coordinators: Member[];
};
/** The state after a change, and what the caller is told; the same state where the change was refused. */
export type StateChange<Result> = { state: AgreedState; result: Result };

/** So many dead nodes are remembered; those that are dead for longest are forgotten first. */
const deadRemembered = 64;
const pruned = (nodes: Record<string, NodeEntry>): Record<string, NodeEntry> => {
  const dead = Object.values(nodes)
    .filter((node) => node.status === 'dead')
    .sort((a, b) => a.since - b.since);
  const remaining = { ...nodes };
  for (const node of dead.slice(0, Math.max(0, dead.length - deadRemembered))) delete remaining[node.id];
  return remaining;
};

const entryOf = (node: JoiningNode, known: NodeEntry | undefined, now: Microseconds): NodeEntry => {
  const status = node.leaving ? 'leaving' : 'live';
  const { id, name, role, place, http, zone, incarnation } = node;
  const since = known?.status === status ? known.since : now;
  return { id, name, role, place, http, zone, incarnation, status, since };
};
const isUnchanged = (entry: NodeEntry, known: NodeEntry | undefined): boolean =>
  known !== undefined &&
  known.incarnation === entry.incarnation &&
  known.status === entry.status &&
  known.place === entry.place &&
  known.http === entry.http;

/** The agreed state: how it begins, and the changes of its nodes. Times are by the wall clock. */
export const agreedState = {
  initial: (): AgreedState => ({
    config: { mark: 0, raw: null, value: null, history: [] },
    pushes: [],
    nodes: {},
    storeGroup: { mark: 0, members: [], swept: 0, draining: [] },
    coordinators: [],
  }),

  /**
   * A node joins, or refutes its death, with an incarnation above any known one (§3.2). The result has the newest
   * incarnation known of it.
   */
  join: (
    state: AgreedState,
    node: JoiningNode,
    now: Microseconds,
  ): StateChange<{ ok: boolean; incarnation: number }> => {
    const known = state.nodes[node.id];
    const isOutdated =
      known !== undefined &&
      (node.incarnation < known.incarnation || (node.incarnation === known.incarnation && known.status === 'dead'));
    if (isOutdated) return { state, result: { ok: false, incarnation: known.incarnation } };
    const entry = entryOf(node, known, now);
    const result = { ok: true, incarnation: node.incarnation };
    if (isUnchanged(entry, known)) return { state, result };
    const nodes = { ...state.nodes };
    // A new identity at an address replaces the old one there: an emptied machine is not the one it was.
    for (const other of Object.values(nodes))
      if (other.id !== node.id && other.place === node.place && other.status !== 'dead')
        nodes[other.id] = { ...other, status: 'dead', since: now };
    nodes[node.id] = entry;
    return { state: { ...state, nodes: pruned(nodes) }, result };
  },

  /** Rules this incarnation of a node dead; refused where a newer one is known. */
  markDead: (state: AgreedState, id: string, incarnation: number, now: Microseconds): StateChange<boolean> => {
    const known = state.nodes[id];
    if (!known || known.incarnation !== incarnation || known.status === 'dead') return { state, result: false };
    const nodes = pruned({ ...state.nodes, [id]: { ...known, status: 'dead', since: now } });
    return { state: { ...state, nodes }, result: true };
  },

  /** Nodes that are not dead, of one role or of all, in the order of their identities. */
  liveNodes: (state: AgreedState, role?: NodeRole): NodeEntry[] =>
    Object.values(state.nodes)
      .filter((node) => node.status !== 'dead' && (!role || node.role === role))
      .sort((a, b) => (a.id < b.id ? -1 : 1)),
};
