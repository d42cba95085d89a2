/** The store group as part of the agreed state (§6.5): pure changes of it, each of at most one member. */
import { invariant } from '@thornsail/runtime';
import type { AgreedState, StateChange } from './agreed-state.js';
import type { Member } from './types.js';

/** A change of the store group by one member: `add` a new one, or `remove` one by its identity. */
export type GroupChange = { add: Member } | { remove: string };

/** Fewer members than this hold no majority that survives a change. */
export const minimumMembers = 2;

/** Changes of the store group. Each gives the state after it; `result` is false where it was refused. */
export const storeGroup = {
  /** One member in or out; the next change waits until the sweep under this mark is complete (§6.5). */
  change: (state: AgreedState, change: GroupChange): StateChange<boolean> => {
    const group = state.storeGroup;
    if (group.mark !== 0 && group.swept !== group.mark) return { state, result: false };
    const has = (id: string): boolean => group.members.some((member) => member.id === id);
    if ('add' in change ? has(change.add.id) : !has(change.remove)) return { state, result: false };
    const members =
      'add' in change ? [...group.members, change.add] : group.members.filter((member) => member.id !== change.remove);
    invariant.hold(Math.abs(members.length - group.members.length) === 1, 'a store group changes by one');
    invariant.hold(
      members.length >= minimumMembers || group.members.length < minimumMembers,
      'a store group never falls to one',
    );
    return { state: { ...state, storeGroup: { ...group, mark: group.mark + 1, members } }, result: true };
  },
  form: (state: AgreedState, members: Member[]): StateChange<boolean> => {
    if (state.storeGroup.mark !== 0) return { state, result: false };
    return { state: { ...state, storeGroup: { mark: 1, members, swept: 1, draining: [] } }, result: true };
  },
  swept: (state: AgreedState, mark: number): StateChange<boolean> =>
    state.storeGroup.mark === mark && state.storeGroup.swept < mark
      ? { state: { ...state, storeGroup: { ...state.storeGroup, swept: mark } }, result: true }
      : { state, result: false },
  /** Refused if the group and its spares, without those that leave, would fall below `least`. */
  drain: (state: AgreedState, id: string, on: boolean, least = 0): StateChange<boolean> => {
    const { draining } = state.storeGroup;
    if (draining.includes(id) === on) return { state, result: true };
    const staying = Object.values(state.nodes).filter(
      (node) => node.role === 'store' && node.status === 'live' && node.id !== id && !draining.includes(node.id),
    );
    if (on && staying.length < least) return { state, result: false };
    const next = on ? [...draining, id] : draining.filter((other) => other !== id);
    return { state: { ...state, storeGroup: { ...state.storeGroup, draining: next } }, result: true };
  },
};
