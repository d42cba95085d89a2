/** The public types of membership (§3.2). */
import type { CoreClient, NodeRole, AgreedState, Snapshot } from '@thornsail/consensus';
import type { Dissemination } from '@thornsail/dissemination';
import type { FailureDetector } from '@thornsail/failure-detector';
import type { Rpc } from '@thornsail/rpc';
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';

/** The dependencies of a membership and the description of its node. */
export type MembershipOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** The id of this process. */
  id: string;
  /** The node name that operators use. */
  name: string;
  role: NodeRole;
  /** The address of the HTTP API of this node. */
  http: Address;
  zone: string;
  /** The addresses at which the node looks for peers first. */
  seeds: Address[];
  /** The addresses that are known to be those of coordinators. */
  coordinators?: Address[];
  /** The address of the agent on the same machine, from which a gateway receives its updates. */
  localAgent?: Address;
  /** The time between two heartbeats; a node without one for five intervals is suspected. */
  heartbeatInterval?: Microseconds;
};

/** The membership of a node in the cluster. */
export type Membership = {
  id: string;
  dissemination: Dissemination;
  /** The client for requests to the coordinators. */
  core: CoreClient;
  failureDetector: FailureDetector;
  /** Returns the newest agreed state that this node has; undefined until it has one. */
  state: () => AgreedState | undefined;
  /** Returns the newest agreed state with its term, its index and the coordinators. */
  snapshot: () => Snapshot<AgreedState> | undefined;
  /** Returns the index of the newest agreed state; 0 until there is one. */
  index: () => number;
  /** Whether the agreed state lists this node as alive, with its current incarnation and leaving status. */
  isMember: () => boolean;
  /** How long another node has been known to be dead, by the clock of this node; 0 while it is not dead. */
  deadFor: (id: string) => Microseconds;
  /** Whether this process was frozen and has not refreshed its state since (§3.7). */
  stale: () => boolean;
  /** Returns the number of detected freezes of this process. */
  freezes: () => number;
  /** Compares with several peers; resolves to whether enough responded to have the newest state. Never rejects. */
  refresh: (timeout?: Microseconds) => Promise<boolean>;
  /** Adds addresses at which peers may be found. */
  addSeeds: (addresses: Address[]) => void;
  /** Registers a listener that is called with each newer agreed state and its index. */
  onState: (listener: (state: AgreedState, index: number) => void) => void;
  /** Announces to the coordinators that this node is leaving. Never rejects, even if they cannot be reached. */
  leave: () => Promise<void>;
  close: () => void;
};
