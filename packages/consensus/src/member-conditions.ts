/**
 * The conditions of the members of a group (§3.3, §6.5), derived from the agreed list of nodes and from how long a
 * member has been dead by this leader's own clock.
 */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Condition } from './repair.js';
import { agreedState, type NodeEntry, type NodeRole, type AgreedState } from './agreed-state.js';
import type { Member } from './types.js';

const isAlive = (entry: NodeEntry | undefined): boolean => entry !== undefined && entry.status !== 'dead';

/**
 * Whether another identity has taken over a member's address since. A machine that lost its disk returns with a new
 * identity, so the former member can never come back.
 */
export const isReplaced = (state: AgreedState, member: Member): boolean => {
  const entry = state.nodes[member.id];
  if (isAlive(entry)) return false;
  const address = entry?.place ?? member.at;
  return Object.values(state.nodes).some(
    (other) =>
      other.id !== member.id &&
      other.place === address &&
      (entry === undefined ? isAlive(other) : other.since >= entry.since),
  );
};
/**
 * A spare that joined at most this long before a member was declared dead, or later, is taken to have been started as
 * that member's replacement.
 */
const successorWindow = duration.s(10);
const hasSuccessor = (state: AgreedState, member: Member, spares: NodeEntry[]): boolean => {
  const entry = state.nodes[member.id];
  return entry !== undefined && spares.some((spare) => spare.since > entry.since - successorWindow);
};

/** Orders nodes so that one node of each zone that is not in `zones` comes first. */
export const spreadOver = (nodes: NodeEntry[], zones: string[]): NodeEntry[] => {
  const seen = new Set(zones);
  const first = nodes.filter((node) => !seen.has(node.zone) && seen.add(node.zone) !== undefined);
  return [...first, ...nodes.filter((node) => !first.includes(node))];
};
/** The live nodes of a role that are neither members nor draining, in the order in which they should join. */
export const sparesOf = (state: AgreedState, role: NodeRole, members: Member[]): NodeEntry[] => {
  const live = agreedState.liveNodes(state, role).filter((node) => node.status === 'live');
  const isMember = (node: NodeEntry): boolean => members.some((member) => member.id === node.id);
  const zones = live.filter(isMember).map((node) => node.zone);
  return spreadOver(
    live.filter((node) => !isMember(node) && !state.storeGroup.draining.includes(node.id)),
    zones,
  );
};

/** Tracks the conditions of members on the leader. */
export type ConditionTracker = {
  /** `spares` are the nodes that could replace the member, `size` is the current number of members. */
  condition: (state: AgreedState, member: Member, spares: NodeEntry[], size: number) => Condition;
};
/** Determines the conditions of members. The times at which members fell silent are kept in memory only. */
export const conditionTracker = {
  /**
   * A silent member is overdue after `replaceAfter` microseconds. Each leader counts from the beginning by its own
   * clock, because the wall clocks of the nodes may differ.
   */
  open: (options: { clock: Clock; replaceAfter: Microseconds }): ConditionTracker => {
    const silentSince = new Map<string, Microseconds>();
    const silentFor = (id: string): Microseconds => {
      const since = silentSince.get(id) ?? options.clock.now();
      silentSince.set(id, since);
      return options.clock.now() - since;
    };
    return {
      condition: (state, member, spares, size) => {
        if (isAlive(state.nodes[member.id])) {
          silentSince.delete(member.id);
          // A member that shuts down cleanly may start again with its disk. It stays a member unless there is
          // a spare, or the group has an even size and tolerates as many failures without it.
          const shouldLeave = state.nodes[member.id]!.status === 'leaving' && (spares.length > 0 || size % 2 === 0);
          return shouldLeave || state.storeGroup.draining.includes(member.id) ? 'leaving' : 'serving';
        }
        if (isReplaced(state, member)) return 'replaced';
        const isOverdue = silentFor(member.id) > options.replaceAfter;
        return isOverdue || hasSuccessor(state, member, spares) ? 'overdue' : 'silent';
      },
    };
  },
};
