/** The newest version of each item that this node has received (§3.5). An older version never replaces a newer one. */
import { hash, invariant, type Clock } from '@thornsail/runtime';
import type { Digest, Item, Update } from './types.js';

/** The rules for accepting and comparing updates. */
export type ItemRules = {
  /** Whether an item of this name may be stored at present. */
  admits: (name: string) => boolean;
  /** Whether the value has the shape that its name requires. */
  isValid: (update: Update) => boolean;
  /** Whether the item is volatile; volatile items are left out of digests and checksums. */
  isVolatile: (name: string) => boolean;
};
/** The items of one node. */
export type ItemStore = {
  /** Stores an update; returns false if it is not newer than the stored version, not admitted or not valid. */
  accept: (update: Update) => boolean;
  get: (name: string) => Item | undefined;
  withPrefix: (prefix: string) => { name: string; item: Item }[];
  /** Removes the items whose names do not pass `keep`. */
  retain: (keep: (name: string) => boolean) => void;
  digest: () => Digest;
  /** A checksum of the digest. Nodes with equal checksums need not exchange digests. */
  checksum: () => number;
  /** Returns the updates that are missing or older in the given digest. */
  newerThan: (digest: Digest) => Update[];
};

/** Creates an empty item store. */
export const openItemStore = (clock: Clock, { admits, isValid, isVolatile }: ItemRules): ItemStore => {
  const items = new Map<string, Item>();
  /** Undefined after an item has changed, until the checksum is requested again. */
  let cachedChecksum: number | undefined;
  const comparedItems = (): [name: string, item: Item][] => [...items].filter(([name]) => !isVolatile(name));
  const computeChecksum = (): number => {
    let checksum = 0;
    for (const [name, item] of items)
      if (!isVolatile(name)) checksum = (checksum + hash.of(`${name} ${item.version}`)) >>> 0;
    return checksum;
  };
  return {
    accept: (update) => {
      const { name, version, value } = update;
      const current = items.get(name);
      if ((current && current.version >= version) || !admits(name)) return false;
      if (!isValid(update)) return false;
      items.set(name, { version, value, receivedAt: clock.now() });
      if (!isVolatile(name)) cachedChecksum = undefined;
      invariant.hold(!current || current.version < version, `the version of ${name} decreased`);
      return true;
    },
    get: (name) => items.get(name),
    withPrefix: (prefix) =>
      [...items].filter(([name]) => name.startsWith(prefix)).map(([name, item]) => ({ name, item })),
    retain: (keep) => {
      for (const name of items.keys()) if (!keep(name)) items.delete(name);
      cachedChecksum = undefined;
    },
    digest: () => Object.fromEntries(comparedItems().map(([name, { version }]) => [name, version])),
    checksum: () => (cachedChecksum ??= computeChecksum()),
    newerThan: (digest) =>
      comparedItems()
        .filter(([name, { version }]) => (digest[name] ?? -1) < version)
        .map(([name, { version, value }]) => ({ name, version, value })),
  };
};
