/** Quorum arithmetic and the order of versions (§3.3). */
import type { Member, Snapshot } from './types.js';

/** The smallest number that is more than half of `size`. */
export const majority = (size: number): number => Math.floor(size / 2) + 1;
/** Whether the given identities include a majority of the members; identities of non-members do not count. */
export const hasQuorum = (members: readonly Member[], agreeing: readonly string[]): boolean =>
  members.filter((member) => agreeing.includes(member.id)).length >= majority(members.length);
/** Whether `a` is newer than `b`: by term, then by index. */
export const isNewer = <S>(a: Snapshot<S>, b: Snapshot<S>): boolean =>
  a.term > b.term || (a.term === b.term && a.index > b.index);
/** The number of members added plus the number removed. */
export const membersChanged = (before: readonly Member[], after: readonly Member[]): number => {
  const previous = new Set(before.map((member) => member.id));
  const current = new Set(after.map((member) => member.id));
  const removed = [...previous].filter((id) => !current.has(id)).length;
  const added = [...current].filter((id) => !previous.has(id)).length;
  return removed + added;
};
