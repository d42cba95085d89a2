/**
 * Validators for the bodies of messages between nodes (§3.1). They are applied where a message would change what this
 * node holds: a damaged one is rejected, and never becomes state that all members have agreed on.
 */

/** Whether a value has the expected form. Validators never throw. */
export type Validator = (value: unknown) => boolean;

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Validators of single values, and the ways to compose them. Fields that a validator does not name are ignored. */
export const validate = {
  anything: (): boolean => true,
  string: (value: unknown): boolean => typeof value === 'string',
  finiteNumber: (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value),
  /** A version, a sequence number, a count. */
  integer: (value: unknown): boolean => Number.isSafeInteger(value),
  boolean: (value: unknown): boolean => typeof value === 'boolean',
  /** One of the literal values given. */
  oneOf:
    (...literals: unknown[]): Validator =>
    (value) =>
      literals.includes(value),
  /** Also accepts `undefined` and `null`. */
  optional:
    (inner: Validator): Validator =>
    (value) =>
      value === undefined || value === null || inner(value),
  arrayOf:
    (item: Validator): Validator =>
    (value) =>
      Array.isArray(value) && value.every(item),
  /** An object whose values all pass, whatever its keys. */
  recordOf:
    (item: Validator): Validator =>
    (value) =>
      isRecord(value) && Object.values(value).every(item),
  /** An object with at least these fields. */
  object: (fields: Record<string, Validator>): Validator => {
    const entries = Object.entries(fields);
    return (value) => isRecord(value) && entries.every(([key, field]) => field(value[key]));
  },
  anyOf:
    (...alternatives: Validator[]): Validator =>
    (value) =>
      alternatives.some((alternative) => alternative(value)),
  /** A proposal number of the register store: a counter, and the proposer that breaks ties. */
  ballot: (value: unknown): boolean =>
    Array.isArray(value) && Number.isSafeInteger(value[0]) && typeof value[1] === 'string',
};
