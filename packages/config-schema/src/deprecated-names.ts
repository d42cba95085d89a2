/**
 * Deprecated names that settings still accept: roles, and option keys of a role. No other module of the packages knows
 * them; those of the command line alone are in `programs/thornsail/src/deprecated-names.ts`.
 */
import type { Role } from './index.js';

/** The release that no longer accepts these names. */
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

/** The current name for a given name, with one warning for the operator if the given name is deprecated. */
export type CurrentName = { name: string; warnings: string[] };
/** Settings under their current keys, with one warning for the operator for each deprecated key. */
export type CurrentSettings = { settings: Record<string, unknown>; warnings: string[] };

/** The warning for the operator that a deprecated name is used. */
export const deprecationWarning = (deprecated: string, current: string): string =>
  `${deprecated} is deprecated and goes in ${deprecatedNamesRemovedIn}: use ${current}`;

const currentNameIn = (names: Readonly<Record<string, string>>, name: string): string =>
  Object.hasOwn(names, name) ? names[name]! : name;

/** Translates deprecated names into current ones; every other name is returned unchanged. */
export const deprecatedNames = {
  /** The current name of a role. */
  role: (name: string): CurrentName => {
    const current = currentNameIn(currentRoles, name);
    return { name: current, warnings: current === name ? [] : [deprecationWarning(name, current)] };
  },
  /** The current name of an option key of a role. */
  key: (role: Role, key: string): CurrentName => {
    const current = currentNameIn(currentKeys[role] ?? {}, key);
    return { name: current, warnings: current === key ? [] : [deprecationWarning(key, current)] };
  },
  /**
   * The settings of a role under current keys. If a setting is given under both names, the deprecated key is left as it
   * is, so that the check rejects it as unknown.
   */
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
