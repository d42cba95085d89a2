/** Joining the agreed membership, refuting a wrong death, and leaving (§3.2). */
import type { CoreClient, NodeEntry, NodeRole, AgreedState } from '@thornsail/consensus';
import { duration, type Address, type Log } from '@thornsail/runtime';

const joinTimeout = duration.s(2);

/** What a node says of itself when it joins. */
export type NodeDescription = {
  id: string;
  name: string;
  role: NodeRole;
  /** Where peers reach it. */
  address: Address;
  /** Where its HTTP API is. */
  http: Address;
  zone: string;
};
/** What joining works with. */
export type JoiningOptions = {
  node: NodeDescription;
  core: CoreClient;
  state: () => AgreedState | undefined;
  /** The join is in the agreed state from this index on. */
  onJoined: (index: number) => Promise<void>;
  log: Log;
};
/** The status of this node among the members. */
export type Joining = {
  /** Rises when the coordinators know a later one, or that this node is dead. */
  incarnation: () => number;
  /** Whether the agreed state lists this node as it is. */
  isMember: () => boolean;
  /** Asks the coordinators to list this node as it is now. */
  join: () => Promise<void>;
  /** From now on this node is listed as leaving. */
  leave: () => Promise<void>;
};

/** Not a member yet, in the first incarnation. */
export const openJoining = ({ node, core, state, onJoined, log }: JoiningOptions): Joining => {
  let incarnation = 1;
  let isLeaving = false;
  const ownEntry = (): NodeEntry | undefined => state()?.nodes[node.id];
  const refuteDeath = (): void => {
    const entry = ownEntry();
    if (entry?.status !== 'dead' || entry.incarnation < incarnation) return;
    incarnation = entry.incarnation + 1;
    log(`was taken for dead; refutes with incarnation ${incarnation}.`);
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
