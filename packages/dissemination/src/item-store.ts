/** The newest version of each item that this node knows (§3.5). An older version never replaces a newer one. */
import { hash, invariant, type Clock } from '@thornsail/runtime';
import type { Digest, Item, Update } from './types.js';

/** What decides about updates, by their names. */
export type ItemRules = {
  admits: (name: string) => boolean;
  isValid: (update: Update) => boolean;
  /** Volatile items are in no digest. */
  isVolatile: (name: string) => boolean;
};
/** The items of one node. */
export type ItemStore = {
  /** Stores an update; false if it is not newer than what is known, or is not to be stored here. */
  accept: (update: Update) => boolean;
  get: (name: string) => Item | undefined;
  withPrefix: (prefix: string) => { name: string; item: Item }[];
  retain: (keep: (name: string) => boolean) => void;
  digest: () => Digest;
  /** A sum over the digest: two nodes with the same items need not list them. */
  checksum: () => number;
  /** The updates that a digest lacks. */
  newerThan: (digest: Digest) => Update[];
};

/** No items yet. */
export const openItemStore = (clock: Clock, { admits, isValid, isVolatile }: ItemRules): ItemStore => {
  const items = new Map<string, Item>();
  /** Computed anew only after an item has changed. */
  let knownChecksum: number | undefined;
  const compared = (): [name: string, item: Item][] => [...items].filter(([name]) => !isVolatile(name));
  const computeChecksum = (): number => {
    let sum = 0;
    for (const [name, item] of items) if (!isVolatile(name)) sum = (sum + hash.of(`${name} ${item.version}`)) >>> 0;
    return sum;
  };
  return {
    accept: (update) => {
      const { name, version, value } = update;
      const current = items.get(name);
      if ((current && current.version >= version) || !admits(name)) return false;
      if (!isValid(update)) return false;
      items.set(name, { version, value, at: clock.now() });
      if (!isVolatile(name)) knownChecksum = undefined;
      invariant.hold(!current || current.version < version, `the version of ${name} went back`);
      return true;
    },
    get: (name) => items.get(name),
    withPrefix: (prefix) =>
      [...items].filter(([name]) => name.startsWith(prefix)).map(([name, item]) => ({ name, item })),
    retain: (keep) => {
      for (const name of items.keys()) if (!keep(name)) items.delete(name);
      knownChecksum = undefined;
    },
    digest: () => Object.fromEntries(compared().map(([name, { version }]) => [name, version])),
    checksum: () => (knownChecksum ??= computeChecksum()),
    newerThan: (digest) =>
      compared()
        .filter(([name, { version }]) => (digest[name] ?? -1) < version)
        .map(([name, { version, value }]) => ({ name, version, value })),
  };
};
