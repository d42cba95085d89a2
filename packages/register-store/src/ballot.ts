/** Ballots, the proposal numbers of Paxos: ordered, and of one proposer alone (§6.2). */

/** A number, and the proposer whose it is. */
export type Ballot = [n: number, by: string];

/** Openings were accepted without a prepare, so only all members together decide them (§6.2). */
const openingPrefix = '!';
const compare = (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0);

/** Order and kinds of ballots. */
export const ballot = {
  /** Below every other ballot. */
  zero: [0, ''] as Ballot,
  /** Negative if the first is the lower one, 0 if they are equal. */
  compare,
  max: (a: Ballot, b: Ballot): Ballot => (compare(a, b) >= 0 ? a : b),
  equals: (a: Ballot, b: Ballot): boolean => a[0] === b[0] && a[1] === b[1],
  /** Below every ballot that was prepared, and of one attempt alone: two of them are never equal. */
  opening: (operation: string): Ballot => [0, openingPrefix + operation],
  isOpening: (a: Ballot): boolean => a[0] === 0 && a[1].startsWith(openingPrefix),
};
