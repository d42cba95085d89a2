/** A store: the Paxos acceptor of registers, with its replicas on disk (§6.2). */
import { duration, type Microseconds, type Runtime } from '@thornsail/runtime';
import type { DurableStore, Limits } from '@thornsail/durable-files';
import type { Rpc } from '@thornsail/rpc';
import { serveAcceptor } from './acceptor.js';
import { registerErrors } from './errors.js';
import { serveExpiry } from './expiry-handlers.js';
import { serveReads } from './read-handlers.js';
import { openReplicaStorage } from './replica-storage.js';
import { openStoreContext, type HandlerCounts } from './store-context.js';
import { openStoreGroup } from './store-group.js';
import type { Group } from './types.js';
import { defaultValueLimits, type ValueLimits } from './value-account.js';
import { documents } from './wire.js';

/** Counters of a store, the messages that are waiting, and its files on disk. */
export type StoreCounts = HandlerCounts & {
  /** Messages that are waiting for the disk. */
  waiting: number;
  /** The highest number of replicas that one step has scanned. */
  longest: number;
  /** Batches of records written. */
  batches: number;
  /** Records written in batches. */
  batched: number;
  /** Merges of files. */
  merges: number;
  files: number;
  disk_bytes: number;
  /** The size of all values that are on disk only, in bytes. */
  value_bytes: number;
};
/** A running store. */
export type Store = {
  /** The identity of the store, which stays the same as long as its folder does. */
  id: string;
  /** The newest group that the store knows. */
  group: () => Group | undefined;
  /** Adopts a group that is newer than the known one; resolves once it is synced. */
  adoptGroup: (group: Group) => Promise<void>;
  /** The number of replicas. */
  size: () => number;
  counts: () => StoreCounts;
};
type StoreOptions = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  /** The identity to use if the folder has none yet; a random one by default. */
  freshId?: string;
  /** The number and sizes of the files (§6.1). */
  limits?: Partial<Limits>;
  /** The limits of the values in bytes (§6.1). */
  valueLimits?: Partial<ValueLimits>;
  /** How long a replica is kept after it has expired: at least 10 s, 60 s by default (§6.4). */
  grace?: Microseconds;
};

const defaultGrace = duration.s(60);
const minGrace = duration.s(10);

const validGrace = (grace: Microseconds): Microseconds => {
  if (Number.isSafeInteger(grace) && grace >= minGrace) return grace;
  const message = `grace is ${grace} us; it must be a whole number of at least ${minGrace} us`;
  throw registerErrors.create('invalid-grace', { step: 'store.open', message });
};
const valueLimitsOf = ({ valueLimits }: StoreOptions): ValueLimits => ({ ...defaultValueLimits, ...valueLimits });
const identityOf = async ({ durable, freshId, runtime }: StoreOptions): Promise<string> => {
  const document = await durable.read<{ id: string }>(documents.identity);
  if (document) return document.value.id;
  const id = freshId ?? `store-${runtime.rand.id()}`;
  await durable.write(documents.identity, 1, { id });
  return id;
};

/** Opens stores of registers. */
export const store = {
  /** Reads the folder and serves requests. Throws `invalid-grace`, `invalid-limits` (durable-files) and disk errors. */
  open: async (options: StoreOptions): Promise<Store> => {
    const { runtime, rpc, durable } = options;
    const grace = validGrace(options.grace ?? defaultGrace);
    const log = runtime.log('store');
    const storage = await openReplicaStorage(durable, options.limits ?? {}, valueLimitsOf(options), log);
    const id = await identityOf(options);
    const group = await openStoreGroup({ runtime, rpc, durable, storage, id, log });
    const context = openStoreContext({ runtime, rpc, id, storage, group, grace });
    serveAcceptor(context);
    serveReads(context);
    serveExpiry(context);
    const counts = (): StoreCounts => {
      const { batches, records: batched, merges, files, bytes: disk_bytes } = storage.counts();
      const { waiting } = context;
      const longest = storage.table.longest();
      return {
        ...context.counts,
        waiting: waiting(),
        longest,
        batches,
        batched,
        merges,
        files,
        disk_bytes,
        value_bytes: storage.valueBytes(),
      };
    };
    return { id, group: group.group, adoptGroup: group.adopt, size: storage.table.size, counts };
  },
};
