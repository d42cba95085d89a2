/** Joins and leaves the agreed membership, and rejoins if this node was wrongly declared dead (§3.2). */
import type { CoreClient, NodeEntry, NodeRole, AgreedState } from '@thornsail/consensus';
import { duration, type Address, type Log } from '@thornsail/runtime';

const joinTimeout = duration.s(2);

/** The description of a node in its join request. */
export type NodeDescription = {
  id: string;
  name: string;
  role: NodeRole;
  /** The RPC address of the node. */
  address: Address;
  /** The address of its HTTP API. */
  http: Address;
  zone: string;
};
/** The dependencies of joining. */
export type JoiningOptions = {
  node: NodeDescription;
  core: CoreClient;
  state: () => AgreedState | undefined;
  /** Called with the index from which on the agreed state contains the join. */
  onJoined: (index: number) => Promise<void>;
  log: Log;
};
/** The membership status of this node, and the ways to change it. */
export type Joining = {
  /** Increases if the coordinators have recorded a later incarnation or declared this node dead. */
  incarnation: () => number;
  /** Whether the agreed state lists this node as alive, with its current incarnation and leaving status. */
  isMember: () => boolean;
  /** Sends the current description of this node to the coordinators. Rejects if they cannot be reached. */
  join: () => Promise<void>;
  /** Announces that this node is leaving; later joins repeat it. Never rejects. */
  leave: () => Promise<void>;
};

/** Starts as a non-member with incarnation 1. */
export const openJoining = ({ node, core, state, onJoined, log }: JoiningOptions): Joining => {
  let incarnation = 1;
  let isLeaving = false;
  const ownEntry = (): NodeEntry | undefined => state()?.nodes[node.id];
  const refuteDeath = (): void => {
    const entry = ownEntry();
    if (entry?.status !== 'dead' || entry.incarnation < incarnation) return;
    incarnation = entry.incarnation + 1;
    log(`this node was declared dead; rejoining with incarnation ${incarnation}.`);
  };
  const join = async (): Promise<void> => {
    refuteDeath();
    const { id, name, role, address, http, zone } = node;
    const entry = { id, name, role, place: address, http, zone, incarnation, leaving: isLeaving };
    const { value, index } = await core.request({ type: 'join', node: entry }, joinTimeout);
    if (!value.ok) incarnation = Math.max(incarnation, value.incarnation + 1);
    await onJoined(index);
  };
  return {
    incarnation: () => incarnation,
    isMember: () => {
      const entry = ownEntry();
      if (!entry || entry.status === 'dead') return false;
      return entry.incarnation === incarnation && (entry.status === 'leaving') === isLeaving;
    },
    join,
    leave: async () => {
      isLeaving = true;
      await join().catch(() => undefined);
    },
  };
};
