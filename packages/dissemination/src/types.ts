/** The public types of dissemination: named items, their versions, and the relays that forward them (§3.5). */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';

/** A new version of an item. The versions of a name increase; a newer one replaces all older ones. */
export type Update = { name: string; version: number; value: unknown };
/** The newest version of an item that this node has, and when it received it by its own clock. */
export type Item = { version: number; value: unknown; receivedAt: Microseconds };
/** A node that forwards updates. */
export type Relay = { id: string; address: Address };
/** The version of each item by its name. */
export type Digest = Record<string, number>;

/** The timing of dissemination, in microseconds, and the arity of its tree. */
export type DisseminationTiming = {
  /** The number of children of each relay in the tree. */
  arity: number;
  /** The time between two comparisons of a relay with a random peer. */
  digestInterval: Microseconds;
  /** The time between two comparisons of a leaf with its parent relay. */
  attachInterval: Microseconds;
  /** The timeout of each request of a comparison. */
  exchangeTimeout: Microseconds;
  /** The time for which each hop collects batched updates before it forwards them. */
  batchDelay: Microseconds;
};

/** The dependencies and settings of a dissemination node. */
export type DisseminationOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The id of this node. */
  self: string;
  /** Whether this node is a leaf: it receives updates from one relay and forwards nothing between relays. */
  isLeaf: boolean;
  /** Returns the current relays. A changed list must be a new array: results are cached by identity. */
  relays: () => Relay[];
  /** Whether an item of this name may be stored at present. */
  admits: (name: string) => boolean;
  /** Whether the value has the shape that its name requires; invalid updates are neither stored nor forwarded. */
  isValid?: (update: Update) => boolean;
  /** Whether the item is volatile: its updates are pushed, and left out of comparisons since new ones follow soon. */
  isVolatile?: (name: string) => boolean;
  /** Whether updates of the item may be delayed and, among many relays, forwarded in batches. */
  isBatched?: (name: string) => boolean;
  /** Returns the relay that a leaf attaches to, if there is one; not used by relays. */
  parent: () => Address | undefined;
  /** Returns further addresses that may be compared with: if no other relay is known, and occasionally otherwise. */
  fallbacks: () => Address[];
  timing?: Partial<DisseminationTiming>;
};

/** A running dissemination node. */
export type Dissemination = {
  /** Stores an update and sends it to all nodes, unless this node has the same or a newer version. */
  put: (name: string, version: number, value: unknown) => void;
  get: (name: string) => Item | undefined;
  /** Returns the items whose names start with `prefix`. */
  withPrefix: (prefix: string) => { name: string; item: Item }[];
  /** Removes the items whose names do not pass `keep`. */
  retain: (keep: (name: string) => boolean) => void;
  /** Registers a listener that is called with each update that this node stores. */
  onUpdate: (listener: (update: Update) => void) => void;
  /** The addresses of the leaves that are attached to this node. */
  leaves: () => Address[];
  /** Returns the time of the last exchange of updates or digests with another node. */
  lastContact: () => Microseconds;
  /** Compares with the given peer immediately; resolves to true if the peer responded. Never rejects. */
  refresh: (peer: Address, timeout?: Microseconds) => Promise<boolean>;
  /** Counts of updates received by push, updates received by comparison, and update messages sent. */
  counts: () => { pushed: number; pulled: number; relayed: number };
  close: () => void;
};
