// The shape of what a sibling sends (§3.1). It is checked where it would change what this node holds: a damaged
// message is refused, and never becomes state that all members have agreed on.
export type Shape = (u: unknown) => boolean;

const obj = (u: unknown): u is Record<string, unknown> => typeof u === 'object' && u !== null && !Array.isArray(u);
export const shape = {
  any: (): boolean => true,
  text: (u: unknown): boolean => typeof u === 'string',
  /** A number that can be counted with. */
  num: (u: unknown): boolean => typeof u === 'number' && Number.isFinite(u),
  /** A mark, a sequence number, a count. */
  whole: (u: unknown): boolean => Number.isSafeInteger(u),
  flag: (u: unknown): boolean => typeof u === 'boolean',
  one:
    (...all: unknown[]): Shape =>
    (u) =>
      all.includes(u),
  maybe:
    (s: Shape): Shape =>
    (u) =>
      u === undefined || u === null || s(u),
  list:
    (s: Shape): Shape =>
    (u) =>
      Array.isArray(u) && u.every(s),
  /** An object used as a table. */
  table:
    (s: Shape): Shape =>
    (u) =>
      obj(u) && Object.values(u).every(s),
  /** At least these fields. */
  has: (fields: Record<string, Shape>): Shape => {
    const all = Object.entries(fields);
    return (u) => obj(u) && all.every(([k, s]) => s(u[k]));
  },
  either:
    (...all: Shape[]): Shape =>
    (u) =>
      all.some((s) => s(u)),
  ballot: (u: unknown): boolean => Array.isArray(u) && Number.isSafeInteger(u[0]) && typeof u[1] === 'string',
};
