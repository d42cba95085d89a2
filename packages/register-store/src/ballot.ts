/** Ballots, the proposal numbers of Paxos: totally ordered, and each used by one proposer only (§6.2). */

/** A number, and the identity of the proposer, which breaks ties between equal numbers. */
export type Ballot = [n: number, proposer: string];

/** Marks the ballot of an opening, which is accepted without a prepare round and decided only by all members (§6.2). */
const openingPrefix = '!';
const compare = (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0);

/** Order and kinds of ballots. */
export const ballot = {
  /** Lower than every other ballot. */
  zero: [0, ''] as Ballot,
  /** Negative if the first ballot is lower, 0 if both are equal, positive otherwise. */
  compare,
  max: (a: Ballot, b: Ballot): Ballot => (compare(a, b) >= 0 ? a : b),
  equals: (a: Ballot, b: Ballot): boolean => a[0] === b[0] && a[1] === b[1],
  /** The ballot of one opening attempt: lower than every prepared ballot, and unique because the operation is. */
  opening: (operation: string): Ballot => [0, openingPrefix + operation],
  isOpening: (a: Ballot): boolean => a[0] === 0 && a[1].startsWith(openingPrefix),
};
