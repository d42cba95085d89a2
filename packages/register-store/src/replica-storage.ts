/**
 * The replicas of a store and its floor (§6.1, §6.4). All are on disk; values of some size are in memory only while
 * they are written or read.
 */
import { lock } from '@thornsail/runtime';
import {
  recordStore,
  recoverFolder,
  type DurableStore,
  type Limits,
  type RecordEntry,
  type RecordIndex,
  type RecordStore,
  type Residency,
  type ValueCodec,
} from '@thornsail/durable-files';
import { ballot, type Ballot } from './ballot.js';
import { rangeCount, replicaTable, type ReplicaTable } from './replica-table.js';
import { isOnDisk, type Replica, type ResidentReplica } from './types.js';
import { minValueOnDisk, openValueAccount, type ValueAccount, type ValueLimits } from './value-account.js';
import { decodeReplica, documents, encodeReplica, type WireReplica } from './wire.js';

/** The replicas of a store. Writes fail with the disk errors `full` and `failed`. */
export type ReplicaStorage = {
  table: ReplicaTable;
  get: (key: string) => ResidentReplica | undefined;
  /** The replica of a key, or an empty one without promise or value. */
  getOrEmpty: (key: string) => ResidentReplica;
  /**
   * The replicas of keys with their values, empty ones for absent keys; waits until there is memory for them. Fails
   * with the disk's code `failed` and with `damaged-record` (durable-files).
   */
  read: (keys: string[]) => Promise<Replica[]>;
  /**
   * The highest ballot promised for a key. For an absent key it is the floor, because the replica may have been
   * dropped.
   */
  promisedOf: (key: string) => Ballot;
  /** Writes a replica; resolves once it is synced. Throws `no-memory` and `no-space` as well. */
  write: (key: string, replica: Replica) => Promise<void>;
  /** Removes a replica; resolves once the removal is synced. */
  remove: (key: string) => Promise<void>;
  /** The highest promised ballot number of all replicas that were dropped; 0 if none was. */
  floor: () => number;
  /** Raises the floor; resolves once it is synced. A lower floor than the current one is ignored. */
  raiseFloor: (newFloor: number) => Promise<void>;
  /** Removes all replicas, including those whose write is in progress. */
  removeAll: () => Promise<void>;
  counts: RecordStore<Replica>['counts'];
  /** The size of all values that are on disk only, in bytes. */
  valueBytes: () => number;
  /** Whether new values are about to be refused. */
  isNearlyFull: () => boolean;
};

/** The key of the record that holds the floor; no register has this key. */
const floorKey = '';
/** No record has this key; once its removal is synced, so are all earlier batches. */
const barrierKey = '\n';
const emptyReplica: Replica & ResidentReplica = {
  promised: ballot.zero,
  accepted: ballot.zero,
  stored: null,
  touched: 0,
};
/** The proposer in a promise made by the floor: it sorts after every proposer's identity. */
const afterAllProposers = '~';
const codec: ValueCodec<Replica> = {
  encode: encodeReplica,
  decode: (stored) => decodeReplica(stored as WireReplica),
};
const isWhole = (replica: ResidentReplica): replica is Replica => !isOnDisk(replica.stored);
const residency: Residency<Replica, ResidentReplica> = {
  toResident: (replica, bytes) =>
    replica.stored === null || bytes < minValueOnDisk
      ? replica
      : { ...replica, stored: { expiresAt: replica.stored.expiresAt, bytes } },
  toWhole: (replica) => (isWhole(replica) ? replica : undefined),
};
/** The size of the value of a replica that is on disk only, in bytes. */
const bytesOnDisk = (replica: ResidentReplica | undefined): number =>
  replica && isOnDisk(replica.stored) ? replica.stored.bytes : 0;

/** Combines the replica table with the record of the floor. */
const withFloor = (
  table: ReplicaTable,
  account: ValueAccount,
): { index: RecordIndex<ResidentReplica>; floor: () => number } => {
  let floorEntry: RecordEntry<ResidentReplica> | undefined;
  return {
    floor: () => floorEntry?.value.promised[0] ?? 0,
    index: {
      get: (key) => (key === floorKey ? floorEntry : table.get(key)),
      set: (key, next) => {
        if (key === floorKey) floorEntry = next;
        else {
          account.replace(bytesOnDisk(table.get(key)?.value), bytesOnDisk(next.value));
          table.set(key, next);
        }
      },
      delete: (key) => {
        if (key === floorKey) floorEntry = undefined;
        else {
          account.replace(bytesOnDisk(table.get(key)?.value), 0);
          table.delete(key);
        }
      },
      clear: () => {
        floorEntry = undefined;
        table.clear();
        account.clear();
      },
    },
  };
};

const removeAllOf = async (records: RecordStore<Replica>, table: ReplicaTable): Promise<void> => {
  do {
    await records.remove(barrierKey);
    const keys = Array.from({ length: rangeCount }, (_, range) => table.keys(range, '', Infinity)).flat();
    await Promise.all(keys.map((key) => records.remove(key)));
    await records.remove(barrierKey);
  } while (table.size() > 0);
};

/** Reads the folder of a store; a damaged folder is erased (§6.1). Throws `invalid-limits` of durable-files. */
export const openReplicaStorage = async (
  durable: DurableStore,
  limits: Partial<Limits>,
  valueLimits: ValueLimits,
  log: (text: string) => void,
): Promise<ReplicaStorage> => {
  const table = replicaTable.open();
  const account = openValueAccount(valueLimits);
  const { index, floor } = withFloor(table, account);
  const prefix = documents.legacyPrefix;
  const records = recordStore.openPartlyResident<Replica, ResidentReplica>({
    durable,
    index,
    prefix,
    limits,
    codec,
    residency,
  });
  const onDocument = (name: string, { value }: { value: unknown }): void => {
    if (name.startsWith(prefix)) records.addLegacy(name.slice(prefix.length), value);
  };
  // An acknowledged record that cannot be read shows that the disk is damaged (§6.1).
  if (!(await recoverFolder(durable, log, onDocument, records.load))) records.clear();
  const exclusive = lock.single();
  const get = (key: string): ResidentReplica | undefined => table.get(key)?.value;
  const readOne = async (key: string): Promise<Replica> => (await records.read(key)) ?? emptyReplica;
  return {
    table,
    get,
    getOrEmpty: (key) => get(key) ?? emptyReplica,
    read: (keys) => {
      const bytes = keys.reduce((total, key) => total + bytesOnDisk(get(key)), 0);
      return account.read(bytes, () => Promise.all(keys.map(readOne)));
    },
    promisedOf: (key) => get(key)?.promised ?? (floor() > 0 ? [floor(), afterAllProposers] : ballot.zero),
    write: (key, replica) => account.write(replica, bytesOnDisk(get(key)), () => records.write(key, replica)),
    remove: records.remove,
    floor,
    raiseFloor: (newFloor) =>
      exclusive(async () => {
        if (newFloor > floor()) await records.write(floorKey, { ...emptyReplica, promised: [newFloor, ''] });
      }),
    removeAll: () => removeAllOf(records, table),
    counts: records.counts,
    valueBytes: account.stored,
    isNearlyFull: account.isNearlyFull,
  };
};
