/**
 * Names of earlier releases that settings still take: roles, and keys of the options of a role. This is the only place
 * in the packages that knows them; the command line's own are in `programs/thornsail/src/deprecated-names.ts`.
 */
import type { Role } from './index.js';

/** The release that no longer takes these names. */
export const deprecatedNamesRemovedIn = '0.3.0';

const currentRoles: Readonly<Record<string, Role>> = {
  front: 'gateway',
  pilot: 'agent',
  tower: 'coordinator',
  keeper: 'store',
};
const currentKeys: Readonly<Partial<Record<Role, Readonly<Record<string, string>>>>> = {
  gateway: { pilot: 'agent' },
  coordinator: { leastKeepers: 'leastStores' },
};

/** What a name stands for now, and one line for the operator if it is a deprecated one. */
export type CurrentName = { name: string; warnings: string[] };
/** Settings with the current keys, and one line for the operator for each deprecated one. */
export type CurrentSettings = { settings: Record<string, unknown>; warnings: string[] };

/** The line that an operator reads when a deprecated name is used. */
export const deprecationWarning = (deprecated: string, current: string): string =>
  `${deprecated} is deprecated and goes in ${deprecatedNamesRemovedIn}: use ${current}`;

const currentNameIn = (names: Readonly<Record<string, string>>, name: string): string =>
  Object.hasOwn(names, name) ? names[name]! : name;

/** Translates names of earlier releases into those of this one; every other name is given back unchanged. */
export const deprecatedNames = {
  role: (name: string): CurrentName => {
    const current = currentNameIn(currentRoles, name);
    return { name: current, warnings: current === name ? [] : [deprecationWarning(name, current)] };
  },
  key: (role: Role, key: string): CurrentName => {
    const current = currentNameIn(currentKeys[role] ?? {}, key);
    return { name: current, warnings: current === key ? [] : [deprecationWarning(key, current)] };
  },
  /** A deprecated key stays as it is, and fails the check as unknown, if its current name is given beside it. */
  settings: (role: Role, given: Readonly<Record<string, unknown>>): CurrentSettings => {
    const settings: Record<string, unknown> = {};
    const warnings: string[] = [];
    for (const [key, value] of Object.entries(given)) {
      const current = deprecatedNames.key(role, key);
      const isGivenTwice = current.name !== key && Object.hasOwn(given, current.name);
      settings[isGivenTwice ? key : current.name] = value;
      if (!isGivenTwice) warnings.push(...current.warnings);
    }
    return { settings, warnings };
  },
};
