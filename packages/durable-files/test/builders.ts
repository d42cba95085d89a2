/** A simulated host whose disk holds records, and what its tests share. */
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

export type Value = { n: number; pad: string };
export type Open = {
  durable: DurableStore;
  records: RecordStore<Value>;
  at: Map<string, RecordEntry<Value>>;
  isValid: boolean;
  stopped: Error[];
};
export const openHost = (seed: number, o: { diskTime?: number } = {}): { w: World; h: Host } => {
  const w = world.open({ seed, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: o.diskTime ?? duration.ms(2) });
  const h = w.host('127.0.0.1', 'z1');
  return { w, h };
};
export const open = async (w: World, h: Host, limits: Partial<Limits> = {}): Promise<Open> => {
  const stopped: Error[] = [];
  const durable = await durableStore.open(w.runtime(h).disk, (e) => stopped.push(e));
  const at = new Map<string, RecordEntry<Value>>();
  const index: RecordIndex<Value> = {
    get: (k) => at.get(k),
    set: (k, s) => void at.set(k, s),
    delete: (k) => void at.delete(k),
    clear: () => at.clear(),
  };
  const records = recordStore.open<Value>({ durable, index, prefix: 'reg:', limits });
  const isValid = await recoverFolder(
    durable,
    () => undefined,
    (name, d) => {
      if (name.startsWith('reg:')) records.addLegacy(name.slice(4), d.value);
    },
    records.load,
  );
  if (!isValid) records.clear();
  return { durable, records, at, isValid, stopped };
};
export const finish = async <T>(w: World, work: Promise<T>, limit = duration.s(60)): Promise<T> => {
  let isOver = false;
  const noteEnd = (): void => void (isOver = true);
  work.then(noteEnd, noteEnd);
  const end = w.now() + limit;
  while (!isOver && w.now() < end) await w.run(w.now() + duration.ms(1));
  if (!isOver) throw new Error('not over in time');
  return work;
};
export const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (e) => fault.info(e).code ?? String(e),
  );
export const value = (n: number): Value => ({ n, pad: 'x'.repeat(n % 50) });

/** So little that every few batches are merged, and base files again. */
export const tight: Partial<Limits> = { batchFiles: 4, batchBytes: 300, pieceBytes: 700, slackBytes: 500 };

/** The batches that were written: files that were only reserved are empty. */
export const batchFiles = (h: Host): string[] =>
  [...h.files]
    .filter(([name, text]) => /^b\.\d{12}$/.test(name) && text !== '')
    .map(([name]) => name)
    .sort();
export const filled = async (seed: number, count: number): Promise<{ w: World; h: Host }> => {
  const { w, h } = openHost(seed);
  const o = await finish(w, open(w, h));
  for (let i = 1; i <= count; i++) await finish(w, o.records.write(`k${i}`, value(i)));
  w.kill(h, 'power');
  w.start(h);
  return { w, h };
};
