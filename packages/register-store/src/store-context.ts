/** What the handlers of a store share. */
import { lock, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { Rpc } from '@thornsail/rpc';
import type { Ballot } from './ballot.js';
import { registerErrors } from './errors.js';
import type { ReplicaStorage } from './replica-storage.js';
import type { StoreGroup } from './store-group.js';
import type { WireRefusal } from './wire.js';

/** How often a store did what; `refused` are messages beyond the bound, `rejected` those of too low a ballot. */
export type HandlerCounts = {
  prepares: number;
  accepts: number;
  opened: number;
  rejected: number;
  mended: number;
  extended: number;
  purged: number;
  refused: number;
};
/** What the handlers of a store share. */
export type StoreContext = {
  runtime: Runtime;
  rpc: Rpc;
  id: string;
  storage: ReplicaStorage;
  group: StoreGroup;
  /** How long a replica stays after it was needed last. */
  grace: Microseconds;
  counts: HandlerCounts;
  /** One at a time for each key. */
  exclusive: <T>(key: string, work: () => Promise<T>) => Promise<T>;
  /** Throws `busy` if too many messages wait for the disk. */
  bounded: <T>(work: () => Promise<T>) => Promise<T>;
  waiting: () => number;
  reject: (promised: Ballot) => WireRefusal;
};

/** So many messages may wait for the disk at once; those beyond are refused, as if this store were down (§8). */
const mostWaiting = 2000;

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
      if (waiting >= mostWaiting) {
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
