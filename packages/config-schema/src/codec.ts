/** io-ts codecs for settings: strict objects that report every unknown key, and numbers with ranges (§7.1). */
import * as io from 'io-ts';
import { isLeft } from 'fp-ts/lib/Either.js';
import { address } from '@thornsail/runtime';

/** One error of a check: the path of the value, with dots, and what was expected there. */
export type Problem = { path: string; text: string };

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** A finite number from `min` to `max`, both included. */
export const range = (min: number, max: number): io.Type<number> =>
  new io.Type<number>(
    `a number from ${min} to ${max}`,
    (value): value is number => typeof value === 'number' && value >= min && value <= max,
    (value, context) =>
      typeof value === 'number' && Number.isFinite(value) && value >= min && value <= max
        ? io.success(value)
        : io.failure(value, context),
    io.identity,
  );
/** An integer from `min` to `max`, both included. */
export const integer = (min: number, max: number): io.Type<number> =>
  new io.Type<number>(
    `a whole number from ${min} to ${max}`,
    (value): value is number => Number.isInteger(value),
    (value, context) =>
      Number.isInteger(value) && (value as number) >= min && (value as number) <= max
        ? io.success(value as number)
        : io.failure(value, context),
    io.identity,
  );
/** A string that matches a pattern; `description` names it in error messages. */
export const pattern = (regExp: RegExp, description: string): io.Type<string> =>
  new io.Type<string>(
    description,
    (value): value is string => typeof value === 'string',
    (value, context) =>
      typeof value === 'string' && regExp.test(value) ? io.success(value) : io.failure(value, context),
    io.identity,
  );
/** A name of a node, zone, class, route or service. */
export const label = pattern(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$/, 'a name of letters, digits and ._:-');
/** An address "ip:port". */
export const addressCodec = new io.Type<string>(
  'an address "ip:port"',
  (value): value is string => address.ok(value),
  (value, context) => (address.ok(value) ? io.success(value) : io.failure(value, context)),
  io.identity,
);
/** One of the given strings. */
export const oneOf = <Text extends string>(...values: Text[]): io.Type<Text> =>
  new io.Type<Text>(
    `one of ${values.join(', ')}`,
    (value): value is Text => values.includes(value as Text),
    (value, context) => (values.includes(value as Text) ? io.success(value as Text) : io.failure(value, context)),
    io.identity,
  );

/** An object of exactly these fields; fields with a default may be left out. Every other key is an error. */
export const strictObject = <Fields extends Record<string, io.Mixed>>(
  name: string,
  fields: Fields,
  defaults: { [K in keyof Fields]?: io.TypeOf<Fields[K]> } = {},
): io.Type<{ [K in keyof Fields]: io.TypeOf<Fields[K]> }> => {
  type Value = { [K in keyof Fields]: io.TypeOf<Fields[K]> };
  return new io.Type<Value>(
    name,
    (value): value is Value => isObject(value),
    (value, context) => {
      if (!isObject(value)) return io.failure(value, context, 'expected an object');
      const errors: io.Errors = [];
      const decoded: Record<string, unknown> = {};
      for (const key of Object.keys(value))
        if (!(key in fields))
          errors.push({
            value: value[key],
            context: io.appendContext(context, key, io.never),
            message: 'unknown key',
          });
      for (const [key, codec] of Object.entries(fields)) {
        if (value[key] === undefined && key in defaults) {
          decoded[key] = defaults[key];
          continue;
        }
        const fieldContext = io.appendContext(context, key, codec, value[key]);
        if (value[key] === undefined && !codec.is(undefined)) {
          errors.push({ value: undefined, context: fieldContext, message: `missing, expected ${codec.name}` });
          continue;
        }
        const result = codec.validate(value[key], fieldContext);
        if (isLeft(result)) errors.push(...result.left);
        else if (result.right !== undefined) decoded[key] = result.right;
      }
      return errors.length ? io.failures(errors) : io.success(decoded as Value);
    },
    io.identity,
  );
};

/** Decodes a value and lists all its problems; the path of a problem of the whole value is `(all)`. */
export const check = <Value>(
  codec: io.Type<Value>,
  value: unknown,
): { ok: true; value: Value } | { ok: false; problems: Problem[] } => {
  const result = codec.decode(value);
  if (!isLeft(result)) return { ok: true, value: result.right };
  return {
    ok: false,
    problems: result.left.map((error) => {
      const last = error.context[error.context.length - 1];
      return {
        path:
          error.context
            .map((entry) => entry.key)
            .filter((key) => key !== '')
            .join('.') || '(all)',
        text: error.message ?? `expected ${last?.type.name ?? 'another value'}`,
      };
    }),
  };
};
