// The keeper group as part of the agreed state (§6.5): pure changes of it, each of at most one member.
import { invariant } from '@thornsail/runtime';
import type { Ordered } from './order.js';
import type { Member } from './views.js';

/** `swept`: the newest mark under which every record was on a majority; `draining`: those asked to leave. */
export type KeeperGroup = { mark: number; members: Member[]; swept: number; draining: string[] };
export type GroupChange = { add: Member } | { remove: string };
type Outcome = { state: Ordered; result: boolean };

/** Fewer members than this hold no majority that survives a change. */
export const leastMembers = 2;

export const groups = {
  /** One member in or out; the next change waits until the sweep under this mark is complete (§6.5). */
  change: (s: Ordered, change: GroupChange): Outcome => {
    const group = s.keepers;
    if (group.mark !== 0 && group.swept !== group.mark) return { state: s, result: false };
    const has = (id: string): boolean => group.members.some((m) => m.id === id);
    if ('add' in change ? has(change.add.id) : !has(change.remove)) return { state: s, result: false };
    const members =
      'add' in change ? [...group.members, change.add] : group.members.filter((m) => m.id !== change.remove);
    invariant.hold(Math.abs(members.length - group.members.length) === 1, 'a keeper group changes by one');
    invariant.hold(
      members.length >= leastMembers || group.members.length < leastMembers,
      'a keeper group never falls to one',
    );
    return { state: { ...s, keepers: { ...group, mark: group.mark + 1, members } }, result: true };
  },
  form: (s: Ordered, members: Member[]): Outcome => {
    if (s.keepers.mark !== 0) return { state: s, result: false };
    return { state: { ...s, keepers: { mark: 1, members, swept: 1, draining: [] } }, result: true };
  },
  swept: (s: Ordered, mark: number): Outcome =>
    s.keepers.mark === mark && s.keepers.swept < mark
      ? { state: { ...s, keepers: { ...s.keepers, swept: mark } }, result: true }
      : { state: s, result: false },
  /** Refused if the group and its spares, without those that leave, would fall below `least`. */
  drain: (s: Ordered, id: string, on: boolean, least = 0): Outcome => {
    const { draining } = s.keepers;
    if (draining.includes(id) === on) return { state: s, result: true };
    const staying = Object.values(s.roster).filter(
      (n) => n.role === 'keeper' && n.standing === 'live' && n.id !== id && !draining.includes(n.id),
    );
    if (on && staying.length < least) return { state: s, result: false };
    const next = on ? [...draining, id] : draining.filter((x) => x !== id);
    return { state: { ...s, keepers: { ...s.keepers, draining: next } }, result: true };
  },
};
