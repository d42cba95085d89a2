/** The replicas of a store on its disk and in memory, and its floor (§6.1, §6.4). */
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
import type { Replica } from './types.js';
import { decodeReplica, documents, encodeReplica, type WireReplica } from './wire.js';

/** The replicas of a store. Writes fail with the disk's codes `full` and `failed`. */
export type ReplicaStorage = {
  table: ReplicaTable;
  get: (key: string) => Replica | undefined;
  /** The replica of a key, or the one that nothing was ever promised or written to. */
  getOrEmpty: (key: string) => Replica;
  /** What was promised for a key. Of one that was dropped only this is known: no ballot of it was above the floor. */
  promisedOf: (key: string) => Ballot;
  /** Resolve once synced. */
  write: (key: string, replica: Replica) => Promise<void>;
  remove: (key: string) => Promise<void>;
  /** The highest ballot number of any replica that was dropped; 0 if none was. */
  floor: () => number;
  raiseFloor: (to: number) => Promise<void>;
  /** Removes all replicas, also those whose write is under way. */
  removeAll: () => Promise<void>;
  counts: RecordStore<Replica>['counts'];
};

/** The record of the floor; no register has this key. */
const floorKey = '';
/** Nothing is ever stored under this: its removal shows that all batches before are synced. */
const barrierKey = '\n';
const empty: Replica = { promised: ballot.zero, accepted: ballot.zero, stored: null, touched: 0 };
/** In a promise of the floor, so that it is above every ballot of that number. */
const afterAllProposers = '~';
const codec: ValueCodec<Replica> = {
  encode: encodeReplica,
  decode: (stored) => decodeReplica(stored as WireReplica),
};

/** The replica table, and beside it the record of the floor. */
const withFloor = (table: ReplicaTable): { index: RecordIndex<Replica>; floor: () => number } => {
  let entry: RecordEntry<Replica> | undefined;
  return {
    floor: () => entry?.value.promised[0] ?? 0,
    index: {
      get: (key) => (key === floorKey ? entry : table.get(key)),
      set: (key, next) => (key === floorKey ? void (entry = next) : table.set(key, next)),
      delete: (key) => (key === floorKey ? void (entry = undefined) : table.delete(key)),
      clear: () => {
        entry = undefined;
        table.clear();
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

/** Reads the folder of a store; a damaged one is erased (§6.1). Throws `invalid-limits` of durable-files. */
export const openReplicaStorage = async (
  durable: DurableStore,
  limits: Partial<Limits>,
  log: (text: string) => void,
): Promise<ReplicaStorage> => {
  const table = replicaTable.open();
  const { index, floor } = withFloor(table);
  const prefix = documents.legacyPrefix;
  const records = recordStore.open<Replica>({ durable, index, prefix, limits, codec });
  const onDocument = (name: string, { value }: { value: unknown }): void => {
    if (name.startsWith(prefix)) records.addLegacy(name.slice(prefix.length), value);
  };
  // What does not read back, and was acknowledged, shows that the disk is damaged (§6.1).
  if (!(await recoverFolder(durable, log, onDocument, records.load))) records.clear();
  const exclusive = lock.single();
  const get = (key: string): Replica | undefined => table.get(key)?.value;
  return {
    table,
    get,
    getOrEmpty: (key) => get(key) ?? empty,
    promisedOf: (key) => get(key)?.promised ?? (floor() > 0 ? [floor(), afterAllProposers] : ballot.zero),
    write: records.write,
    remove: records.remove,
    floor,
    raiseFloor: (to) =>
      exclusive(async () => {
        if (to > floor()) await records.write(floorKey, { ...empty, promised: [to, ''] });
      }),
    removeAll: () => removeAllOf(records, table),
    counts: records.counts,
  };
};
