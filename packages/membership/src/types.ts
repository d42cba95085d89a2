/** What a node needs to be one of the fleet, and what it then knows (§3.2). */
import type { CoreClient, NodeRole, AgreedState, Snapshot } from '@thornsail/consensus';
import type { Dissemination } from '@thornsail/dissemination';
import type { FailureDetector } from '@thornsail/failure-detector';
import type { Rpc } from '@thornsail/rpc';
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';

/** What a node works with. */
export type MembershipOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The identity of this process. */
  id: string;
  /** The operators' name of the node. */
  name: string;
  role: NodeRole;
  /** Where the HTTP API of this node is. */
  http: Address;
  zone: string;
  /** Addresses at which to look for peers first. */
  seeds: Address[];
  /** Addresses that are known to be coordinators'. */
  coordinators?: Address[];
  /** The agent on the same machine, from which a gateway gets its updates. */
  localAgent?: Address;
  /** Between two heartbeats; a node that misses five is suspected. */
  heartbeatInterval?: Microseconds;
};

/** A node among the others. */
export type Membership = {
  id: string;
  dissemination: Dissemination;
  /** Reaches the coordinators. */
  core: CoreClient;
  failureDetector: FailureDetector;
  /** The newest agreed state that this node has; undefined until it has one. */
  state: () => AgreedState | undefined;
  /** The same with its term, its index and the coordinators. */
  snapshot: () => Snapshot<AgreedState> | undefined;
  /** The index of the newest agreed state; 0 until there is one. */
  index: () => number;
  /** Whether the agreed state lists this node as it is. */
  isMember: () => boolean;
  /** For how long this node has known another one to be dead; 0 while it is not. By its own clock: walls may differ. */
  deadFor: (id: string) => Microseconds;
  /** True when this process has been frozen and has not yet refreshed what it knows (§3.7). */
  stale: () => boolean;
  /** How often this process was found to have been frozen. */
  freezes: () => number;
  /** Compares with several peers; true if enough of them took part to know the newest state. Never rejects. */
  refresh: (timeout?: Microseconds) => Promise<boolean>;
  /** Further addresses at which a peer may be found. */
  addSeeds: (addresses: Address[]) => void;
  /** Calls `listener` with each newer agreed state and its index. */
  onState: (listener: (state: AgreedState, index: number) => void) => void;
  /** Has this node listed as leaving, as far as the coordinators can be reached. */
  leave: () => Promise<void>;
  close: () => void;
};
