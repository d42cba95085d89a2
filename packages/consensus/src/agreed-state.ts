/**
 * The state that the coordinators agree on (§3.3): the configuration, the nodes of the fleet and the store group; and
 * the changes of the list of nodes. All changes are pure: they return a new state and the result for the caller.
 */
import type { Config } from '@thornsail/config-schema';
import type { Address, Microseconds } from '@thornsail/runtime';
import type { Member } from './types.js';

/** The role of a node in the fleet. */
export type NodeRole = 'coordinator' | 'store' | 'agent' | 'gateway';
/** A node in the agreed list of nodes. */
export type NodeEntry = {
  id: string;
  name: string;
  role: NodeRole;
  /** The address for requests from other nodes. */
  place: Address;
  /** The address for HTTP requests of operators and callers. */
  http: Address;
  zone: string;
  /** Incremented each time the node returns after it was declared dead. */
  incarnation: number;
  status: 'live' | 'leaving' | 'dead';
  /** When the node got its status, by the wall clock of the leader at that time. */
  since: Microseconds;
};
/** A node that joins, returns, or announces that it is leaving. */
export type JoiningNode = Omit<NodeEntry, 'status' | 'since'> & { leaving?: boolean };

/**
 * An accepted configuration (`raw`) with its version (`mark`), time (`at`) and push id. The last few are stored so that
 * an operator can revert to one of them (§7.2).
 */
export type PastConfig = { mark: number; at: Microseconds; push: string; raw: unknown };
/** The configuration with its history. `mark` is its version, incremented with each accepted push. */
export type ConfigurationState = {
  mark: number;
  /** The document as pushed and merged by operators; the next change is applied to it. */
  raw: unknown;
  /** `raw`, validated and with defaults filled in, as nodes use it; null before the first push. */
  value: Config | null;
  history: PastConfig[];
  /** The operator's own revision number of this configuration, if the operator numbers changes. */
  revision?: number;
  /** The source document from which an operator's program derived `raw`; stored and returned unchanged (§7.2). */
  source?: unknown;
};

/**
 * The record of an accepted push: its base, the resulting version and the digest of the push id, separated by spaces to
 * keep the encoded form short.
 */
export type Receipt = string;
/**
 * Records which push replaced which base. `accepted` holds the newest receipts, oldest first. Nothing is known of
 * pushes at or below `forgotten` that are not in `accepted`. `refused` holds digests of pushes whose base was above the
 * newest version when they were refused: none of them may be accepted later.
 */
export type Receipts = {
  /** The newest configuration version covered. It lags if a release without receipts has accepted pushes since. */
  mark: number;
  forgotten: { base: number; mark: number };
  accepted: Receipt[];
  refused: string[];
};

/** The group of stores that replicates the registers (§6.5). */
export type StoreGroup = {
  /** The version of the group: incremented with each change, 0 before the group is formed. */
  mark: number;
  members: Member[];
  /** The newest version of the group for which every record is known to be on a majority of the members. */
  swept: number;
  /** Identities of the stores that an operator is draining. */
  draining: string[];
};

/** The whole state that the coordinators agree on; replicated and stored in full with each change. */
export type AgreedState = {
  config: ConfigurationState;
  /** The ids of the newest pushes, in the form that the previous release reads. */
  pushes: { id: string; mark: number }[];
  receipts?: Receipts;
  /** The nodes by identity. */
  nodes: Record<string, NodeEntry>;
  storeGroup: StoreGroup;
  /** Always empty: an earlier release stored the coordinators here and still reads the field. */
  coordinators: Member[];
};
/** The state after a change and the result for the caller; the same state object if the change was refused. */
export type StateChange<Result> = { state: AgreedState; result: Result };

/** The number of dead nodes that stay in the list; those that have been dead for longest are removed first. */
const maximumDeadNodes = 64;
const withoutOldestDead = (nodes: Record<string, NodeEntry>): Record<string, NodeEntry> => {
  const dead = Object.values(nodes)
    .filter((node) => node.status === 'dead')
    .sort((a, b) => a.since - b.since);
  const remaining = { ...nodes };
  for (const node of dead.slice(0, Math.max(0, dead.length - maximumDeadNodes))) delete remaining[node.id];
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

/** The initial agreed state and the changes of its nodes. Times are wall-clock times. */
export const agreedState = {
  initial: (): AgreedState => ({
    config: { mark: 0, raw: null, value: null, history: [] },
    pushes: [],
    nodes: {},
    storeGroup: { mark: 0, members: [], swept: 0, draining: [] },
    coordinators: [],
  }),

  /**
   * Adds or updates a node. A node that was declared dead returns with an incarnation above the known one (§3.2). An
   * outdated incarnation is refused; the result has the newest known incarnation of the node.
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
    // A new identity at an address replaces the old one, which is declared dead: a machine that lost its disk returns
    // as another node.
    for (const other of Object.values(nodes))
      if (other.id !== node.id && other.place === node.place && other.status !== 'dead')
        nodes[other.id] = { ...other, status: 'dead', since: now };
    nodes[node.id] = entry;
    return { state: { ...state, nodes: withoutOldestDead(nodes) }, result };
  },

  /** Declares this incarnation of a node dead; refused if another incarnation is known or the node is dead already. */
  markDead: (state: AgreedState, id: string, incarnation: number, now: Microseconds): StateChange<boolean> => {
    const known = state.nodes[id];
    if (!known || known.incarnation !== incarnation || known.status === 'dead') return { state, result: false };
    const nodes = withoutOldestDead({ ...state.nodes, [id]: { ...known, status: 'dead', since: now } });
    return { state: { ...state, nodes }, result: true };
  },

  /** The nodes that are not dead, of one role or of all roles, sorted by identity. */
  liveNodes: (state: AgreedState, role?: NodeRole): NodeEntry[] =>
    Object.values(state.nodes)
      .filter((node) => node.status !== 'dead' && (!role || node.role === role))
      .sort((a, b) => (a.id < b.id ? -1 : 1)),
};
