/**
 * The failure detector (§3.2): each node sends heartbeats to its watchers, the next few nodes on a ring. A watcher only
 * suspects; whether a node is dead is ruled by the coordinators, and only when two watchers agree.
 */
import { time, duration, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import { openNeighbours, type Peer } from './neighbours.js';
import { decodeHeartbeat, encodeHeartbeat, heartbeatName, isHeartbeat } from './wire.js';

/** The timing of a failure detector. */
export type FailureDetectorTiming = {
  /** Between two heartbeats. */
  heartbeatInterval: Microseconds;
  /** A node is suspected after this time without a heartbeat. */
  suspectAfter: Microseconds;
  /** How many nodes watch each node. */
  watchers: number;
};
/** What a failure detector works with. */
export type FailureDetectorOptions = {
  runtime: Runtime;
  rpc: Rpc;
  /** This node, as it is now. */
  self: () => Peer;
  /** The members that are expected to live. A new list must be a new array. */
  members: () => Peer[];
  /** Called after each interval in which there is a suspect, with all of them. */
  onSuspected: (suspects: Peer[]) => void;
  timing?: Partial<FailureDetectorTiming>;
};
/** A running failure detector. */
export type FailureDetector = {
  /** The watched nodes that were silent for too long in the last round. */
  suspects: () => Peer[];
  close: () => void;
};

const defaultTiming: FailureDetectorTiming = {
  heartbeatInterval: duration.ms(200),
  suspectAfter: duration.ms(1000),
  watchers: 3,
};
/** A node that did not run for this many intervals was frozen. */
const frozenIntervals = 3;

type Contact = { incarnation: number; at: Microseconds };

/** Opens failure detectors. */
export const failureDetector = {
  /** Sends heartbeats and watches from now on. */
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
      if (!contact || incarnation >= contact.incarnation) lastContact.set(id, { incarnation, at: clock.now() });
    });
    /** A watcher that was frozen, or has only begun to watch a node, knows nothing about the time before. */
    const startWatching = (watched: Peer[], now: Microseconds, wasFrozen: boolean): void => {
      const ids = new Set(watched.map(({ id }) => id));
      for (const id of lastContact.keys()) if (!ids.has(id)) lastContact.delete(id);
      for (const { id, incarnation } of watched) {
        const contact = lastContact.get(id);
        if (contact && !wasFrozen) continue;
        lastContact.set(id, { incarnation: Math.max(contact?.incarnation ?? 0, incarnation), at: now });
      }
    };
    const runRound = (): void => {
      const now = clock.now();
      const node = self();
      const { watchers, watched } = neighboursOf(node.id);
      const addresses = watchers.map(({ address }) => address);
      rpc.notifyAll(addresses, heartbeatName, encodeHeartbeat(node));
      const wasFrozen = now - lastRound > timing.heartbeatInterval * frozenIntervals;
      lastRound = now;
      startWatching(watched, now, wasFrozen);
      suspects = watched.filter(({ id }) => now - lastContact.get(id)!.at > timing.suspectAfter);
      if (suspects.length) options.onSuspected(suspects);
    };

    const close = time.every(clock, timing.heartbeatInterval, runRound);
    return { suspects: () => suspects, close };
  },
};
