/** Test helpers: a simulated host whose disk holds records. */
import { fault, duration } from '@thornsail/runtime';
import {
  durableStore,
  recordStore,
  recoverFolder,
  type DurableStore,
  type Limits,
  type RecordEntry,
  type RecordIndex,
  type RecordStore,
} from '@thornsail/durable-files';
import { world, type Host, type World } from '@thornsail/simulation';

/** The value of a test record. */
export type Value = { n: number; pad: string };
/** Documents and records opened from a host's disk. `entries` is the index, `stopped` the reported disk failures. */
export type OpenedRecords = {
  durable: DurableStore;
  records: RecordStore<Value>;
  entries: Map<string, RecordEntry<Value>>;
  isValid: boolean;
  stopped: Error[];
};
/** Opens a simulated world with one host. `diskTime` is in microseconds. */
export const openHost = (seed: number, options: { diskTime?: number } = {}): { world: World; host: Host } => {
  const simulated = world.open({
    seed,
    zoneDelay: 1,
    clientDelay: 1,
    clientIp: 'x',
    diskTime: options.diskTime ?? duration.ms(2),
  });
  const host = simulated.host('127.0.0.1', 'z1');
  return { world: simulated, host };
};
/** Opens and recovers the documents and records of a host. */
export const openRecords = async (
  simulated: World,
  host: Host,
  limits: Partial<Limits> = {},
): Promise<OpenedRecords> => {
  const stopped: Error[] = [];
  const durable = await durableStore.open(simulated.runtime(host).disk, (error) => stopped.push(error));
  const entries = new Map<string, RecordEntry<Value>>();
  const index: RecordIndex<Value> = {
    get: (key) => entries.get(key),
    set: (key, entry) => void entries.set(key, entry),
    delete: (key) => void entries.delete(key),
    clear: () => entries.clear(),
  };
  const records = recordStore.open<Value>({ durable, index, prefix: 'reg:', limits });
  const isValid = await recoverFolder(
    durable,
    () => undefined,
    (name, document) => {
      if (name.startsWith('reg:')) records.addLegacy(name.slice(4), document.value);
    },
    records.load,
  );
  if (!isValid) records.clear();
  return { durable, records, entries, isValid, stopped };
};
/** Runs the simulated world until `work` settles. Throws if it does not settle within `timeLimit` (microseconds). */
export const finish = async <T>(simulated: World, work: Promise<T>, timeLimit = duration.s(60)): Promise<T> => {
  let isSettled = false;
  const onSettled = (): void => void (isSettled = true);
  work.then(onSettled, onSettled);
  const deadline = simulated.now() + timeLimit;
  while (!isSettled && simulated.now() < deadline) await simulated.run(simulated.now() + duration.ms(1));
  if (!isSettled) throw new Error('work did not settle within the time limit');
  return work;
};
/** The error code that `work` fails with, or `ok`. */
export const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (error) => fault.info(error).code ?? String(error),
  );
/** A test value; its size depends on `n`. */
export const value = (n: number): Value => ({ n, pad: 'x'.repeat(n % 50) });

/** Limits so small that batches, and base files in turn, are compacted frequently. */
export const smallLimits: Partial<Limits> = { batchFiles: 4, batchBytes: 300, pieceBytes: 700, slackBytes: 500 };

/** The names of the batch files that were written, sorted. Files that are only reserved are empty. */
export const writtenBatchFiles = (host: Host): string[] =>
  [...host.files]
    .filter(([name, text]) => /^b\.\d{12}$/.test(name) && text !== '')
    .map(([name]) => name)
    .sort();
/** A host that was restarted after a power loss, with the synced records `k1` to `k<count>`, one per batch. */
export const hostWithRecords = async (seed: number, count: number): Promise<{ world: World; host: Host }> => {
  const { world: simulated, host } = openHost(seed);
  const opened = await finish(simulated, openRecords(simulated, host));
  for (let i = 1; i <= count; i++) await finish(simulated, opened.records.write(`k${i}`, value(i)));
  simulated.kill(host, 'power');
  simulated.start(host);
  return { world: simulated, host };
};
