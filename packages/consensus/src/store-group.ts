/** Pure changes of the store group in the agreed state (§6.5). Each adds or removes at most one member. */
import { invariant } from '@thornsail/runtime';
import type { AgreedState, StateChange } from './agreed-state.js';
import type { Member } from './types.js';

/** A change of the store group by one member: `add` a new member, or `remove` a member by its identity. */
export type GroupChange = { add: Member } | { remove: string };

/** The smallest size that a change may leave: a smaller group has no majority that survives a change. */
export const minimumMembers = 2;

/** Changes of the store group. Each returns the new state; `result` is false if the change was refused. */
export const storeGroup = {
  /**
   * Adds or removes one member. Refused until the sweep of the group's present version is complete, i.e. every record
   * is on a majority of its members (§6.5).
   */
  change: (state: AgreedState, change: GroupChange): StateChange<boolean> => {
    const group = state.storeGroup;
    if (group.mark !== 0 && group.swept !== group.mark) return { state, result: false };
    const isMember = (id: string): boolean => group.members.some((member) => member.id === id);
    if ('add' in change ? isMember(change.add.id) : !isMember(change.remove)) return { state, result: false };
    const members =
      'add' in change ? [...group.members, change.add] : group.members.filter((member) => member.id !== change.remove);
    invariant.hold(
      Math.abs(members.length - group.members.length) === 1,
      'a change of the store group must add or remove exactly one member',
    );
    invariant.hold(
      members.length >= minimumMembers || group.members.length < minimumMembers,
      'a change of the store group must leave at least two members',
    );
    return { state: { ...state, storeGroup: { ...group, mark: group.mark + 1, members } }, result: true };
  },
  /** Forms the group with its first members; refused if there is one already. */
  form: (state: AgreedState, members: Member[]): StateChange<boolean> => {
    if (state.storeGroup.mark !== 0) return { state, result: false };
    return { state: { ...state, storeGroup: { mark: 1, members, swept: 1, draining: [] } }, result: true };
  },
  /** Records that the sweep of the group's present version, `mark`, is complete (§6.5). */
  swept: (state: AgreedState, mark: number): StateChange<boolean> =>
    state.storeGroup.mark === mark && state.storeGroup.swept < mark
      ? { state: { ...state, storeGroup: { ...state.storeGroup, swept: mark } }, result: true }
      : { state, result: false },
  /**
   * Marks a store as draining, or no longer draining if `on` is false. Refused if fewer than `minimumStores` live
   * stores, members and spares together, would be left that are not draining.
   */
  drain: (state: AgreedState, id: string, on: boolean, minimumStores = 0): StateChange<boolean> => {
    const { draining } = state.storeGroup;
    if (draining.includes(id) === on) return { state, result: true };
    const remaining = Object.values(state.nodes).filter(
      (node) => node.role === 'store' && node.status === 'live' && node.id !== id && !draining.includes(node.id),
    );
    if (on && remaining.length < minimumStores) return { state, result: false };
    const next = on ? [...draining, id] : draining.filter((other) => other !== id);
    return { state: { ...state, storeGroup: { ...state.storeGroup, draining: next } }, result: true };
  },
};
