/** The replicas of a store, on disk and in memory, and its floor (§6.1, §6.4). */
import { lock } from '@thornsail/runtime';
import {
  recordStore,
  recoverFolder,
  type DurableStore,
  type Limits,
  type RecordEntry,
  type RecordIndex,
  type RecordStore,
  type ValueCodec,
} from '@thornsail/durable-files';
import { ballot, type Ballot } from './ballot.js';
import { rangeCount, replicaTable, type ReplicaTable } from './replica-table.js';
import { openLargeValues, type LargeValues } from './large-values.js';
import type { Replica } from './types.js';
import { decodeReplica, documents, encodeReplica, type WireReplica } from './wire.js';

/** The replicas of a store. Writes fail with the disk errors `full` and `failed`. */
export type ReplicaStorage = {
  table: ReplicaTable;
  get: (key: string) => Replica | undefined;
  /** The replica of a key, or an empty one without promise or value. */
  getOrEmpty: (key: string) => Replica;
  /**
   * The highest ballot promised for a key. For an absent key it is the floor, because the replica may have been
   * dropped.
   */
  promisedOf: (key: string) => Ballot;
  /** Writes a replica; resolves once it is synced. */
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
  /** The approximate size of all large values, in characters. */
  largeValues: () => number;
};

/** The key of the record that holds the floor; no register has this key. */
const floorKey = '';
/** No record has this key; once its removal is synced, so are all earlier batches. */
const barrierKey = '\n';
const emptyReplica: Replica = { promised: ballot.zero, accepted: ballot.zero, stored: null, touched: 0 };
/** The proposer in a promise made by the floor: it sorts after every proposer's identity. */
const afterAllProposers = '~';
const codec: ValueCodec<Replica> = {
  encode: encodeReplica,
  decode: (stored) => decodeReplica(stored as WireReplica),
};

/** Combines the replica table with the record of the floor. */
const withFloor = (table: ReplicaTable, large: LargeValues): { index: RecordIndex<Replica>; floor: () => number } => {
  let floorEntry: RecordEntry<Replica> | undefined;
  return {
    floor: () => floorEntry?.value.promised[0] ?? 0,
    index: {
      get: (key) => (key === floorKey ? floorEntry : table.get(key)),
      set: (key, next) => {
        if (key === floorKey) floorEntry = next;
        else {
          table.set(key, next);
          large.record(key, next.value);
        }
      },
      delete: (key) => {
        if (key === floorKey) floorEntry = undefined;
        else {
          table.delete(key);
          large.record(key, undefined);
        }
      },
      clear: () => {
        floorEntry = undefined;
        table.clear();
        large.clear();
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
  log: (text: string) => void,
): Promise<ReplicaStorage> => {
  const table = replicaTable.open();
  const large = openLargeValues();
  const { index, floor } = withFloor(table, large);
  const prefix = documents.legacyPrefix;
  const records = recordStore.open<Replica>({ durable, index, prefix, limits, codec });
  const onDocument = (name: string, { value }: { value: unknown }): void => {
    if (name.startsWith(prefix)) records.addLegacy(name.slice(prefix.length), value);
  };
  // An acknowledged record that cannot be read shows that the disk is damaged (§6.1).
  if (!(await recoverFolder(durable, log, onDocument, records.load))) records.clear();
  const exclusive = lock.single();
  const get = (key: string): Replica | undefined => table.get(key)?.value;
  return {
    table,
    get,
    getOrEmpty: (key) => get(key) ?? emptyReplica,
    promisedOf: (key) => get(key)?.promised ?? (floor() > 0 ? [floor(), afterAllProposers] : ballot.zero),
    write: (key, replica) => large.write(key, replica, () => records.write(key, replica)),
    remove: records.remove,
    floor,
    raiseFloor: (newFloor) =>
      exclusive(async () => {
        if (newFloor > floor()) await records.write(floorKey, { ...emptyReplica, promised: [newFloor, ''] });
      }),
    removeAll: () => removeAllOf(records, table),
    counts: records.counts,
    largeValues: large.size,
  };
};
