/** What dissemination is about: items by name, their versions, and the relays that pass them on (§3.5). */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';

/** A new version of an item. Versions of one name only grow; a newer one replaces all older ones. */
export type Update = { name: string; version: number; value: unknown };
/** The newest version of an item that this node knows, and when it came here. */
export type Item = { version: number; value: unknown; at: Microseconds };
/** A node that passes updates on. */
export type Relay = { id: string; address: Address };
/** The version of each item by its name. */
export type Digest = Record<string, number>;

/** The timing of dissemination, and the form of its tree. */
export type DisseminationTiming = {
  /** How many children each relay has in the tree. */
  arity: number;
  /** Between two comparisons that a relay makes with a random peer. */
  digestInterval: Microseconds;
  /** Between two comparisons that a leaf makes with its relay. */
  attachInterval: Microseconds;
  /** The timeout of each request of a comparison. */
  exchangeTimeout: Microseconds;
  /** For how long updates are collected at each hop, where they go in batches. */
  batchDelay: Microseconds;
};

/** What a node works with. */
export type DisseminationOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The id of this node. */
  self: string;
  /** A leaf passes nothing on between relays; it gets its updates from one relay. */
  isLeaf: boolean;
  /** The relays of now. A new list must be a new array. */
  relays: () => Relay[];
  /** Whether an item of this name may be stored at all now. */
  admits: (name: string) => boolean;
  /** Whether the value has the form that its name asks for; others are neither stored nor passed on. */
  isValid?: (update: Update) => boolean;
  /** Items that are sent again and again anyway: they are pushed, and not compared. */
  isVolatile?: (name: string) => boolean;
  /** Items that many nodes send often and that may be late: among many relays, several go in one message. */
  isBatched?: (name: string) => boolean;
  /** For a leaf: the relay that it attaches to, if there is one. */
  parent: () => Address | undefined;
  /** Further addresses to compare with when no relay is known, and now and then. */
  fallbacks: () => Address[];
  timing?: Partial<DisseminationTiming>;
};

/** A node that takes part in dissemination. */
export type Dissemination = {
  /** Stores an update and sends it to all nodes, unless the same version or a newer one is known here. */
  put: (name: string, version: number, value: unknown) => void;
  get: (name: string) => Item | undefined;
  /** The items whose names begin with `prefix`. */
  all: (prefix: string) => { name: string; item: Item }[];
  /** Drops the items whose names do not pass. */
  retain: (keep: (name: string) => boolean) => void;
  /** Calls `listener` with each update that is new here. */
  onUpdate: (listener: (update: Update) => void) => void;
  /** Whether a leaf is attached to this relay. */
  hasLeaves: () => boolean;
  /** When another node last exchanged updates or digests with this one. */
  lastContact: () => Microseconds;
  /** Compares at once with a given peer; true if the peer took part. Never rejects. */
  refresh: (peer: Address, timeout?: Microseconds) => Promise<boolean>;
  /** Updates that came unasked, those that came by comparison, and messages that were passed on. */
  counts: () => { pushed: number; pulled: number; relayed: number };
  close: () => void;
};
