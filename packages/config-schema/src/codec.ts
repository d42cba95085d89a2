// Checked shapes on io-ts: sealed objects name every unknown key, numbers have ranges (§7.1).
import * as t from 'io-ts';
import { isLeft } from 'fp-ts/lib/Either.js';

export type Problem = { path: string; text: string };

const isObject = (u: unknown): u is Record<string, unknown> => typeof u === 'object' && u !== null && !Array.isArray(u);

export const range = (min: number, max: number): t.Type<number> =>
  new t.Type<number>(
    `a number from ${min} to ${max}`,
    (u): u is number => typeof u === 'number' && u >= min && u <= max,
    (u, c) => (typeof u === 'number' && Number.isFinite(u) && u >= min && u <= max ? t.success(u) : t.failure(u, c)),
    t.identity,
  );
export const whole = (min: number, max: number): t.Type<number> =>
  new t.Type<number>(
    `a whole number from ${min} to ${max}`,
    (u): u is number => Number.isInteger(u),
    (u, c) =>
      Number.isInteger(u) && (u as number) >= min && (u as number) <= max ? t.success(u as number) : t.failure(u, c),
    t.identity,
  );
export const match = (re: RegExp, what: string): t.Type<string> =>
  new t.Type<string>(
    what,
    (u): u is string => typeof u === 'string',
    (u, c) => (typeof u === 'string' && re.test(u) ? t.success(u) : t.failure(u, c)),
    t.identity,
  );
export const oneOf = <T extends string>(...all: T[]): t.Type<T> =>
  new t.Type<T>(
    `one of ${all.join(', ')}`,
    (u): u is T => all.includes(u as T),
    (u, c) => (all.includes(u as T) ? t.success(u as T) : t.failure(u, c)),
    t.identity,
  );

/** An object of exactly these fields; those with a default may be left out. */
export const sealed = <P extends Record<string, t.Mixed>>(
  name: string,
  fields: P,
  defaults: { [K in keyof P]?: t.TypeOf<P[K]> } = {},
): t.Type<{ [K in keyof P]: t.TypeOf<P[K]> }> => {
  type A = { [K in keyof P]: t.TypeOf<P[K]> };
  return new t.Type<A>(
    name,
    (u): u is A => isObject(u),
    (u, c) => {
      if (!isObject(u)) return t.failure(u, c, 'expected an object');
      const errs: t.Errors = [];
      const out: Record<string, unknown> = {};
      for (const k of Object.keys(u))
        if (!(k in fields)) errs.push({ value: u[k], context: t.appendContext(c, k, t.never), message: 'unknown key' });
      for (const [k, f] of Object.entries(fields)) {
        if (u[k] === undefined && k in defaults) {
          out[k] = defaults[k];
          continue;
        }
        const at = t.appendContext(c, k, f, u[k]);
        if (u[k] === undefined && !f.is(undefined)) {
          errs.push({ value: undefined, context: at, message: `missing, expected ${f.name}` });
          continue;
        }
        const r = f.validate(u[k], at);
        if (isLeft(r)) errs.push(...r.left);
        else if (r.right !== undefined) out[k] = r.right;
      }
      return errs.length ? t.failures(errs) : t.success(out as A);
    },
    t.identity,
  );
};

export const check = <A>(codec: t.Type<A>, u: unknown): { ok: true; value: A } | { ok: false; problems: Problem[] } => {
  const r = codec.decode(u);
  if (!isLeft(r)) return { ok: true, value: r.right };
  return {
    ok: false,
    problems: r.left.map((e) => {
      const ctx = e.context[e.context.length - 1];
      return {
        path:
          e.context
            .map((x) => x.key)
            .filter((k) => k !== '')
            .join('.') || '(all)',
        text: e.message ?? `expected ${ctx?.type.name ?? 'another value'}`,
      };
    }),
  };
};
