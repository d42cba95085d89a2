/** The state that the request handlers of a store share, and their bound and locks. */
import { lock, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import type { ReplicaStorage } from './replica-storage.js';
import type { StoreGroup } from './store-group.js';
import type { WireRefusal } from './wire.js';

/** Counters of the handlers. */
export type HandlerCounts = {
  /** Ballots promised. */
  prepares: number;
  /** Values accepted. */
  accepts: number;
  /** Openings accepted. */
  opened: number;
  /** Requests rejected because their ballot was too low. */
  rejected: number;
  /** Replicas replaced by a newer value in a repair. */
  mended: number;
  /** Extensions written. */
  extended: number;
  /** Replicas dropped after their grace period. */
  purged: number;
  /** Requests refused because too many were waiting for the disk. */
  refused: number;
};
/** The state that the request handlers of a store share. */
export type StoreContext = {
  runtime: Runtime;
  rpc: Rpc;
  id: string;
  storage: ReplicaStorage;
  group: StoreGroup;
  /** How long a replica is kept after it was last needed. */
  grace: Microseconds;
  counts: HandlerCounts;
  /** Runs one operation at a time for each key. */
  exclusive: <T>(key: string, work: () => Promise<T>) => Promise<T>;
  /** Runs work that waits for the disk; throws `busy` if too many messages are waiting already. */
  bounded: <T>(work: () => Promise<T>) => Promise<T>;
  /** How many messages are waiting for the disk. */
  waiting: () => number;
  /** The refusal of a ballot that is too low, with the ballot that was promised; counted. */
  reject: (promised: Ballot) => WireRefusal;
};

/** The maximum number of messages that wait for the disk; further ones are refused, as if this store were down (§8). */
const maxWaiting = 2000;

/** Opens the context of a store. */
export const openStoreContext = (
  parts: Pick<StoreContext, 'runtime' | 'rpc' | 'id' | 'storage' | 'group' | 'grace'>,
): StoreContext => {
  const counts: HandlerCounts = {
    prepares: 0,
    accepts: 0,
    opened: 0,
    rejected: 0,
    mended: 0,
    extended: 0,
    purged: 0,
    refused: 0,
  };
  let waiting = 0;
  return {
    ...parts,
    counts,
    exclusive: lock.keyed(),
    bounded: async (work) => {
      if (waiting >= maxWaiting) {
        counts.refused += 1;
        throw registerErrors.create('busy', { step: 'store' });
      }
      waiting += 1;
      try {
        return await work();
      } finally {
        waiting -= 1;
      }
    },
    waiting: () => waiting,
    reject: (promised) => {
      counts.rejected += 1;
      return { ok: false, why: 'ballot', promised };
    },
  };
};
