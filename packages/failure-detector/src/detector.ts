/**
 * The failure detector (§3.2): each node sends heartbeats to its watchers, the next few nodes on a ring. A watcher only
 * reports suspicions; the coordinators declare a node dead, and only when two watchers suspect it.
 */
import { time, duration, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { openNeighbours, type Peer } from './neighbours.js';
import { decodeHeartbeat, encodeHeartbeat, heartbeatName, isHeartbeat } from './wire.js';

/** The timing of a failure detector, in microseconds. */
export type FailureDetectorTiming = {
  /** The time between two heartbeats. */
  heartbeatInterval: Microseconds;
  /** The time without a heartbeat after which a node is suspected. */
  suspectAfter: Microseconds;
  /** The number of nodes that watch each node. */
  watchers: number;
};
/** The dependencies and settings of a failure detector. */
export type FailureDetectorOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** Returns this node with its current incarnation. */
  self: () => Peer;
  /** Returns the members that are not dead. A changed list must be a new array: results are cached by identity. */
  members: () => Peer[];
  /** Called with all current suspects, in each heartbeat interval in which there are any. */
  onSuspected: (suspects: Peer[]) => void;
  timing?: Partial<FailureDetectorTiming>;
};
/** A running failure detector. */
export type FailureDetector = {
  /** Returns the watched nodes that were suspected in the last round. */
  suspects: () => Peer[];
  close: () => void;
};

const defaultTiming: FailureDetectorTiming = {
  heartbeatInterval: duration.ms(200),
  suspectAfter: duration.ms(1000),
  watchers: 3,
};
/** This node was frozen if its previous round was more than this many heartbeat intervals ago. */
const freezeThresholdIntervals = 3;

/** The last heartbeat of a watched node, or the time from which its silence counts. */
type Contact = { incarnation: number; silentSince: Microseconds };

/** Factory of failure detectors. */
export const failureDetector = {
  /** Starts to send heartbeats and to watch the preceding nodes on the ring. */
  open: (options: FailureDetectorOptions): FailureDetector => {
    const { rpc, self } = options;
    const { clock } = options.runtime;
    const timing = { ...defaultTiming, ...options.timing };
    const neighboursOf = openNeighbours(options.members, timing.watchers);
    const lastContact = new Map<string, Contact>();
    let lastRound = clock.now();
    let suspects: Peer[] = [];

    rpc.on(heartbeatName, isHeartbeat, (body) => {
      const { id, incarnation } = decodeHeartbeat(body);
      const contact = lastContact.get(id);
      if (!contact || incarnation >= contact.incarnation)
        lastContact.set(id, { incarnation, silentSince: clock.now() });
    });
    /** Restarts the timeout of newly watched nodes, and of all nodes after a freeze, which missed heartbeats. */
    const updateWatched = (watched: Peer[], now: Microseconds, wasFrozen: boolean): void => {
      const ids = new Set(watched.map(({ id }) => id));
      for (const id of lastContact.keys()) if (!ids.has(id)) lastContact.delete(id);
      for (const { id, incarnation } of watched) {
        const contact = lastContact.get(id);
        if (contact && !wasFrozen) continue;
        lastContact.set(id, { incarnation: Math.max(contact?.incarnation ?? 0, incarnation), silentSince: now });
      }
    };
    const runRound = (): void => {
      const now = clock.now();
      const node = self();
      const { watchers, watched } = neighboursOf(node.id);
      const addresses = watchers.map(({ address }) => address);
      rpc.notifyAll(addresses, heartbeatName, encodeHeartbeat(node));
      const wasFrozen = now - lastRound > timing.heartbeatInterval * freezeThresholdIntervals;
      lastRound = now;
      updateWatched(watched, now, wasFrozen);
      suspects = watched.filter(({ id }) => now - lastContact.get(id)!.silentSince > timing.suspectAfter);
      if (suspects.length) options.onSuspected(suspects);
    };

    const close = time.every(clock, timing.heartbeatInterval, runRound);
    return { suspects: () => suspects, close };
  },
};
