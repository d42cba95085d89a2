/** Random source (§2.1). Injected through the runtime, so that simulated runs are reproducible. */

/** A source of random values. */
export type Random = {
  /** Returns a number in [0, 1). */
  next: () => number;
  /** Returns an integer in [0, `limit`). */
  int: (limit: number) => number;
  /** Returns a globally unique identifier. */
  id: () => string;
};
