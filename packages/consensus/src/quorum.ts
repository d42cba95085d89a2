/** Quorums and the order of versions (§3.3). */
import type { Member, Snapshot } from './types.js';

/** The smallest number that is more than half of `size`. */
export const majority = (size: number): number => Math.floor(size / 2) + 1;
/** True when those that agree are a majority of the members; only members count. */
export const hasQuorum = (members: readonly Member[], agreeing: readonly string[]): boolean =>
  members.filter((member) => agreeing.includes(member.id)).length >= majority(members.length);
/** Whether `a` is newer than `b`: by term, then by index. */
export const isNewer = <S>(a: Snapshot<S>, b: Snapshot<S>): boolean =>
  a.term > b.term || (a.term === b.term && a.index > b.index);
/** How many members were added or removed. */
export const membersChanged = (before: readonly Member[], after: readonly Member[]): number => {
  const old = new Set(before.map((member) => member.id));
  const current = new Set(after.map((member) => member.id));
  const removed = [...old].filter((id) => !current.has(id)).length;
  const added = [...current].filter((id) => !old.has(id)).length;
  return removed + added;
};
