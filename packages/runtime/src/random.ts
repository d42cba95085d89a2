/** Randomness (§2.1): parts take it from their runtime, so that a simulated run can be repeated. */

/** A source of random values. */
export type Random = {
  /** A number from 0 to below 1. */
  next: () => number;
  /** A whole number from 0 to below `below`. */
  int: (below: number) => number;
  /** An identifier that no other process makes. */
  id: () => string;
};
