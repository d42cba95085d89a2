/**
 * In which condition the members of a group are (§3.3, §6.5): read from the agreed list of nodes, and from how long
 * this leader has missed them by its own clock.
 */
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Condition } from './repair.js';
import { agreedState, type NodeEntry, type NodeRole, type AgreedState } from './agreed-state.js';
import type { Member } from './types.js';

const isAlive = (entry: NodeEntry | undefined): boolean => entry !== undefined && entry.status !== 'dead';

/** Whether another identity has taken a member's address since: a machine that lost its disk is not the one it was. */
export const isGone = (state: AgreedState, member: Member): boolean => {
  const entry = state.nodes[member.id];
  if (isAlive(entry)) return false;
  const at = entry?.place ?? member.at;
  return Object.values(state.nodes).some(
    (other) =>
      other.id !== member.id &&
      other.place === at &&
      (entry === undefined ? isAlive(other) : other.since >= entry.since),
  );
};
/** A spare that joined so shortly before a member was ruled dead, or after it, was started in that member's stead. */
const successorWithin = duration.s(10);
const hasSuccessor = (state: AgreedState, member: Member, spares: NodeEntry[]): boolean => {
  const entry = state.nodes[member.id];
  return entry !== undefined && spares.some((spare) => spare.since > entry.since - successorWithin);
};

/** Those whose zone holds no member yet come first. */
export const spreadOver = (nodes: NodeEntry[], zones: string[]): NodeEntry[] => {
  const seen = new Set(zones);
  const first = nodes.filter((node) => !seen.has(node.zone) && seen.add(node.zone) !== undefined);
  return [...first, ...nodes.filter((node) => !first.includes(node))];
};
/** Live nodes of a role that are no members and were not asked to leave, in the order in which they should join. */
export const sparesOf = (state: AgreedState, role: NodeRole, members: Member[]): NodeEntry[] => {
  const live = agreedState.liveNodes(state, role).filter((node) => node.status === 'live');
  const isMember = (node: NodeEntry): boolean => members.some((member) => member.id === node.id);
  const zones = live.filter(isMember).map((node) => node.zone);
  return spreadOver(
    live.filter((node) => !isMember(node) && !state.storeGroup.draining.includes(node.id)),
    zones,
  );
};

/** The leader's view of the members of the groups. */
export type Presence = {
  /** `spares` are those that could take the member's place, `size` is how many members there are. */
  condition: (state: AgreedState, member: Member, spares: NodeEntry[], size: number) => Condition;
};
/** Judges the conditions of members. What it remembers is lost with the process. */
export const presence = {
  /** Silent members are overdue after `replaceAfter`; walls may differ, so a new leader counts anew. */
  open: (options: { clock: Clock; replaceAfter: Microseconds }): Presence => {
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
          // One whose process ends in order stays a member unless a spare is there, or the group bears more without it:
          // it may start again with its disk.
          const ends = state.nodes[member.id]!.status === 'leaving' && (spares.length > 0 || size % 2 === 0);
          return ends || state.storeGroup.draining.includes(member.id) ? 'leaving' : 'serving';
        }
        if (isGone(state, member)) return 'gone';
        const waited = silentFor(member.id) > options.replaceAfter;
        return waited || hasSuccessor(state, member, spares) ? 'overdue' : 'silent';
      },
    };
  },
};
