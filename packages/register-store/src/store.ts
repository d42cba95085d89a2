/** A store: the acceptor of registers with its replicas on disk (§6.2). */
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
import { documents } from './wire.js';

/** How often a store did what, what waits, and its files on disk. */
export type StoreCounts = HandlerCounts & {
  /** Messages that wait for the disk. */
  waiting: number;
  /** The most replicas that one step has looked at. */
  longest: number;
  batches: number;
  batched: number;
  merges: number;
  files: number;
  disk_bytes: number;
};
/** A running store. */
export type Store = {
  id: string;
  group: () => Group | undefined;
  learn: (group: Group) => Promise<void>;
  /** Replicas that it holds. */
  size: () => number;
  counts: () => StoreCounts;
};
type StoreOptions = {
  runtime: Runtime;
  rpc: Rpc;
  durable: DurableStore;
  /** Its identity if the folder has none. */
  freshId?: string;
  /** How many files, and how large (§6.1). */
  limits?: Partial<Limits>;
  /** How long a replica stays after it expired, 10 s at least (§6.4). */
  grace?: Microseconds;
};

const defaultGrace = duration.s(600);
const leastGrace = duration.s(10);

const checkedGrace = (grace: Microseconds): Microseconds => {
  if (Number.isSafeInteger(grace) && grace >= leastGrace) return grace;
  const message = `grace is ${grace} us, it is ${leastGrace} us at least`;
  throw registerErrors.create('invalid-grace', { step: 'store.open', message });
};
const identityOf = async ({ durable, freshId, runtime }: StoreOptions): Promise<string> => {
  const known = await durable.read<{ id: string }>(documents.identity);
  if (known) return known.value.id;
  const id = freshId ?? `store-${runtime.rand.id()}`;
  await durable.write(documents.identity, 1, { id });
  return id;
};

/** Stores of registers. */
export const store = {
  /** Reads the folder and serves. Throws `invalid-grace`, `invalid-limits` (durable-files), and as the disk does. */
  open: async (options: StoreOptions): Promise<Store> => {
    const { runtime, rpc, durable } = options;
    const grace = checkedGrace(options.grace ?? defaultGrace);
    const log = runtime.log('store');
    const storage = await openReplicaStorage(durable, options.limits ?? {}, log);
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
      return { ...context.counts, waiting: waiting(), longest, batches, batched, merges, files, disk_bytes };
    };
    return { id, group: group.group, learn: group.learn, size: storage.table.size, counts };
  },
};
