// The store group as part of the agreed state (§6.5): pure changes of it, each of at most one member.
import { invariant } from '@thornsail/runtime';
import type { Ordered } from './order.js';
import type { Member } from './types.js';

/** `swept`: the newest mark under which every record was on a majority; `draining`: those asked to leave. */
export type StoreGroup = { mark: number; members: Member[]; swept: number; draining: string[] };
/** A change of the store group by one member: `add` a new one, or `remove` one by its identity. */
export type GroupChange = { add: Member } | { remove: string };
type Outcome = { state: Ordered; result: boolean };

/** Fewer members than this hold no majority that survives a change. */
export const minimumMembers = 2;

/** Changes of the store group. Each gives the state after it; `result` is false where it was refused. */
export const groups = {
  /** One member in or out; the next change waits until the sweep under this mark is complete (§6.5). */
  change: (ordered: Ordered, change: GroupChange): Outcome => {
    const group = ordered.storeGroup;
    if (group.mark !== 0 && group.swept !== group.mark) return { state: ordered, result: false };
    const has = (id: string): boolean => group.members.some((member) => member.id === id);
    if ('add' in change ? has(change.add.id) : !has(change.remove)) return { state: ordered, result: false };
    const members =
      'add' in change ? [...group.members, change.add] : group.members.filter((member) => member.id !== change.remove);
    invariant.hold(Math.abs(members.length - group.members.length) === 1, 'a store group changes by one');
    invariant.hold(
      members.length >= minimumMembers || group.members.length < minimumMembers,
      'a store group never falls to one',
    );
    return { state: { ...ordered, storeGroup: { ...group, mark: group.mark + 1, members } }, result: true };
  },
  form: (ordered: Ordered, members: Member[]): Outcome => {
    if (ordered.storeGroup.mark !== 0) return { state: ordered, result: false };
    return { state: { ...ordered, storeGroup: { mark: 1, members, swept: 1, draining: [] } }, result: true };
  },
  swept: (ordered: Ordered, mark: number): Outcome =>
    ordered.storeGroup.mark === mark && ordered.storeGroup.swept < mark
      ? { state: { ...ordered, storeGroup: { ...ordered.storeGroup, swept: mark } }, result: true }
      : { state: ordered, result: false },
  /** Refused if the group and its spares, without those that leave, would fall below `least`. */
  drain: (ordered: Ordered, id: string, on: boolean, least = 0): Outcome => {
    const { draining } = ordered.storeGroup;
    if (draining.includes(id) === on) return { state: ordered, result: true };
    const staying = Object.values(ordered.roster).filter(
      (node) => node.role === 'store' && node.standing === 'live' && node.id !== id && !draining.includes(node.id),
    );
    if (on && staying.length < least) return { state: ordered, result: false };
    const next = on ? [...draining, id] : draining.filter((other) => other !== id);
    return { state: { ...ordered, storeGroup: { ...ordered.storeGroup, draining: next } }, result: true };
  },
};
