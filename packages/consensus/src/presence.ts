// In which condition the members of a group are (§3.3, §6.5): read from the roster, and from how long this leader has
// missed them by its own clock.
import { us, type Clock, type Us } from '@thornsail/runtime';
import type { Condition } from './repair.js';
import { order, type NodeEntry, type NodeRole, type Ordered } from './order.js';
import type { Member } from './views.js';

const isAlive = (entry: NodeEntry | undefined): boolean => entry !== undefined && entry.standing !== 'dead';

/** Whether another identity has taken a member's address since: a machine that lost its disk is not the one it was. */
export const isGone = (s: Ordered, member: Member): boolean => {
  const entry = s.roster[member.id];
  if (isAlive(entry)) return false;
  const at = entry?.place ?? member.at;
  return Object.values(s.roster).some(
    (other) =>
      other.id !== member.id &&
      other.place === at &&
      (entry === undefined ? isAlive(other) : other.since >= entry.since),
  );
};
/** A spare that joined so shortly before a member was ruled dead, or after it, was started in that member's stead. */
const successorWithin = us.s(10);
const hasSuccessor = (s: Ordered, member: Member, spares: NodeEntry[]): boolean => {
  const entry = s.roster[member.id];
  return entry !== undefined && spares.some((spare) => spare.since > entry.since - successorWithin);
};

/** Those whose zone holds no member yet come first. */
export const spreadOver = (nodes: NodeEntry[], zones: string[]): NodeEntry[] => {
  const seen = new Set(zones);
  const first = nodes.filter((n) => !seen.has(n.zone) && seen.add(n.zone) !== undefined);
  return [...first, ...nodes.filter((n) => !first.includes(n))];
};
/** Live nodes of a role that are no members and were not asked to leave, in the order in which they should join. */
export const sparesOf = (s: Ordered, role: NodeRole, members: Member[]): NodeEntry[] => {
  const live = order.live(s, role).filter((n) => n.standing === 'live');
  const isMember = (n: NodeEntry): boolean => members.some((m) => m.id === n.id);
  const zones = live.filter(isMember).map((n) => n.zone);
  return spreadOver(
    live.filter((n) => !isMember(n) && !s.keepers.draining.includes(n.id)),
    zones,
  );
};

export type Presence = {
  /** `spares` are those that could take the member's place, `size` is how many members there are. */
  condition: (s: Ordered, member: Member, spares: NodeEntry[], size: number) => Condition;
};
export const presence = {
  /** Silent members are overdue after `replaceAfter`; walls may differ, so a new leader counts anew. */
  open: (o: { clock: Clock; replaceAfter: Us }): Presence => {
    const silentSince = new Map<string, Us>();
    const silentFor = (id: string): Us => {
      const since = silentSince.get(id) ?? o.clock.now();
      silentSince.set(id, since);
      return o.clock.now() - since;
    };
    return {
      condition: (s, member, spares, size) => {
        if (isAlive(s.roster[member.id])) {
          silentSince.delete(member.id);
          // One whose process ends in order stays a member unless a spare is there, or the group bears more without it:
          // it may start again with its disk.
          const ends = s.roster[member.id]!.standing === 'leaving' && (spares.length > 0 || size % 2 === 0);
          return ends || s.keepers.draining.includes(member.id) ? 'leaving' : 'serving';
        }
        if (isGone(s, member)) return 'gone';
        const waited = silentFor(member.id) > o.replaceAfter;
        return waited || hasSuccessor(s, member, spares) ? 'overdue' : 'silent';
      },
    };
  },
};
