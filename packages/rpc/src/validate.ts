/**
 * Validators for the bodies of messages between nodes (§3.1). They run before a message can change the state of this
 * node, so that a malformed message is rejected and never becomes part of the agreed state.
 */

/** Returns whether a value has the expected shape. Validators never throw. */
export type Validator = (value: unknown) => boolean;

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Validators of single values, and combinators of validators. Fields that a validator does not name are ignored. */
export const validate = {
  anything: (): boolean => true,
  string: (value: unknown): boolean => typeof value === 'string',
  finiteNumber: (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value),
  /** An integer that a double represents exactly, such as a version, a sequence number or a count. */
  integer: (value: unknown): boolean => Number.isSafeInteger(value),
  boolean: (value: unknown): boolean => typeof value === 'boolean',
  /** Accepts exactly the given literal values. */
  oneOf:
    (...literals: unknown[]): Validator =>
    (value) =>
      literals.includes(value),
  /** Accepts what `inner` accepts, and `undefined` and `null`. */
  optional:
    (inner: Validator): Validator =>
    (value) =>
      value === undefined || value === null || inner(value),
  arrayOf:
    (item: Validator): Validator =>
    (value) =>
      Array.isArray(value) && value.every(item),
  /** Accepts an object with any keys whose values all pass `item`. */
  recordOf:
    (item: Validator): Validator =>
    (value) =>
      isRecord(value) && Object.values(value).every(item),
  /** Accepts an object in which each named field passes its validator. */
  object: (fields: Record<string, Validator>): Validator => {
    const entries = Object.entries(fields);
    return (value) => isRecord(value) && entries.every(([key, field]) => field(value[key]));
  },
  anyOf:
    (...alternatives: Validator[]): Validator =>
    (value) =>
      alternatives.some((alternative) => alternative(value)),
  /** Accepts a proposal number of the register store: a pair of a counter and a proposer id that breaks ties. */
  ballot: (value: unknown): boolean =>
    Array.isArray(value) && Number.isSafeInteger(value[0]) && typeof value[1] === 'string',
};
