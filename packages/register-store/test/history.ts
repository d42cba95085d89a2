/** A fixed sequence of operations (a history) that uses every message and file format, for the code of any release. */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import { openLoopback, type Files, type Loopback } from './loopback.js';

/** A group of stores, independent of the release. */
export type HistoryGroup = { version: number; members: { id: string; at: Address }[] };
/** What a change does with the current value: keep, remove or replace it. */
export type NextValue = 'keep' | 'remove' | { value: unknown; expiresAt: Microseconds };
/** The client of registers of a release. */
export type HistoryRegisters = {
  change: (
    key: string,
    next: (value: unknown, latestWallTime: Microseconds) => NextValue,
    options?: { expectAbsent?: boolean; skipBallots?: number },
  ) => Promise<void>;
  reserve: (key: string) => Promise<void>;
  extend: (keys: string[], until: Microseconds) => Promise<string[]>;
  readMany: (keys: string[], options?: { once?: boolean }) => Promise<unknown[]>;
  /** Runs one pass of anti-entropy and returns its result. */
  sweep: (group: HistoryGroup, afterGroupChange: boolean) => Promise<object>;
};
/** The functions of a release that a history uses. */
export type Release = {
  openStore: (options: {
    runtime: Runtime;
    address: Address;
    id: string;
    limits: object;
    grace: Microseconds;
  }) => Promise<void>;
  openRegisters: (options: {
    runtime: Runtime;
    address: Address;
    clientId: string;
    group: () => HistoryGroup;
  }) => Promise<HistoryRegisters>;
  /** Writes a document; earlier releases kept each register in a document instead of in batches of records. */
  writeDocument: (runtime: Runtime, name: string, version: number, value: unknown) => Promise<void>;
};
/** What a history left. */
export type HistoryResult = {
  /** The values by key, as read at the end. */
  registers: Record<string, unknown>;
  /** The results of the passes of anti-entropy, in order. */
  passes: object[];
  /** The files by name, by the identity of the store. */
  files: Record<string, Record<string, string>>;
  frames: string[];
};

const second = 1_000_000;
/** Small limits, so that batches are often merged into base files. */
const limits = { batchFiles: 4, batchBytes: 600, pieceBytes: 1400, slackBytes: 900, reservedFiles: 4 };
const grace = 10 * second;
const storeAddress = (number: number): Address => `127.0.2.${number}:7101`;
const clientAddress = (number: number): Address => `127.0.1.${number + 10}:7101`;
const groupOf = (version: number, numbers: number[]): HistoryGroup => ({
  version,
  members: numbers.map((number) => ({ id: `k${number}`, at: storeAddress(number) })),
});
const put =
  (value: unknown, timeToLiveSeconds = 5000) =>
  (_value: unknown, wall: Microseconds): NextValue => ({ value, expiresAt: wall + timeToLiveSeconds * second });
const append =
  (item: string) =>
  (value: unknown, wall: Microseconds): NextValue => ({
    value: [...((value as string[] | undefined) ?? []), item],
    expiresAt: wall + 5000 * second,
  });
const keys = [
  'a', 'b', 'shared', 'removed', 'short', 'former/1', 'former/2', 'opened', 'strayed', 'extended', 'mended', 'none',
  ...Array.from({ length: 12 }, (_, i) => `many/${i}`),
]; // prettier-ignore

type Cluster = {
  network: Loopback;
  /** The files by store number. */
  folders: Map<number, Files>;
  startStore: (number: number) => Promise<void>;
  clients: HistoryRegisters[];
  passes: object[];
  setGroup: (group: HistoryGroup) => void;
};

const openCluster = async (release: Release, folders: Map<number, Files>): Promise<Cluster> => {
  const network = openLoopback();
  let group = groupOf(1, [1, 2, 3]);
  const startStore = async (number: number): Promise<void> => {
    const files = folders.get(number) ?? new Map<string, string>();
    folders.set(number, files);
    const { runtime } = network.node(storeAddress(number), files);
    await release.openStore({ runtime, address: storeAddress(number), id: `k${number}`, limits, grace });
  };
  const clients: HistoryRegisters[] = [];
  for (const number of [1, 2]) {
    const { runtime } = network.node(clientAddress(number));
    clients.push(
      await release.openRegisters({
        runtime,
        address: clientAddress(number),
        clientId: `e${number}`,
        group: () => group,
      }),
    );
  }
  return { network, folders, startStore, clients, passes: [], setGroup: (next) => void (group = next) };
};

const writeFormerDocuments = async (release: Release, cluster: Cluster, number: number): Promise<void> => {
  const files: Files = new Map();
  cluster.folders.set(number, files);
  const { runtime } = cluster.network.node(storeAddress(number), files);
  for (const i of [1, 2]) {
    const held = { value: { former: i }, until: cluster.network.clock.wallTime() + 5000 * second, ops: [`old.${i}`] };
    const copy = { promised: [3, 'old'], accepted: [2, 'old'], held, touched: cluster.network.clock.wallTime() };
    await release.writeDocument(runtime, `reg:former/${i}`, 2, copy);
  }
};

const runOperations = async ({ network, clients, passes, startStore, setGroup }: Cluster): Promise<void> => {
  const [client1, client2] = clients as [HistoryRegisters, HistoryRegisters];
  const sweep = async (group: HistoryGroup, afterGroupChange: boolean): Promise<void> =>
    void passes.push(await client1.sweep(group, afterGroupChange));
  await client1.change('a', put({ text: 'first', list: [1, null, 'ä'] }));
  await client2.change('a', put(['x']));
  await client1.reserve('b');
  await client1.change('b', append('1'));
  await client2.change('b', append('2'), { skipBallots: 16 });
  await Promise.all([client1.change('shared', append('one')), client2.change('shared', append('two'))]);
  await client1.change('removed', put('r'));
  await client2.change('removed', () => 'remove');
  await client2.change('short', put('s', 2));
  await client1.change('opened', put('o'), { expectAbsent: true });
  await client2.change('extended', put('e', 4), { expectAbsent: true });
  await client1.extend(['extended', 'none', 'removed'], network.clock.wallTime() + 4000 * second);
  const heal = network.disconnect(clientAddress(1), storeAddress(3));
  await client1.change('strayed', put('opened at two'), { expectAbsent: true });
  for (let i = 0; i < 12; i++) await client1.change(`many/${i}`, put(`v${i}`.repeat(20)));
  await client1.change('mended', put('without the third'));
  heal();
  await client2.readMany(['mended', 'strayed', 'a']);
  await client1.change('many/0', () => 'keep');
  await network.sleep(2 * second);
  await sweep(groupOf(1, [1, 2, 3]), false);
  await network.sleep(30 * second);
  await sweep(groupOf(1, [1, 2, 3]), false);
  await client1.change('short', put('again', 6000));
  await startStore(4);
  setGroup(groupOf(2, [2, 3, 4]));
  await sweep(groupOf(2, [2, 3, 4]), true);
  await sweep(groupOf(2, [2, 3, 4]), false);
  for (let i = 0; i < 12; i += 2) await client2.change(`many/${i}`, i % 4 ? () => 'remove' : put(i));
  await client1.readMany(['many/1', 'opened'], { once: true });
  network.stop(storeAddress(3));
  await startStore(3);
  await client2.change('b', append('3'));
};

const readResult = async ({ network, clients, folders, passes }: Cluster): Promise<HistoryResult> => {
  await network.sleep(5 * second);
  const values = await clients[1]!.readMany(keys);
  await network.sleep(5 * second);
  const files = Object.fromEntries(
    [...folders].map(([number, contents]) => [
      `k${number}`,
      Object.fromEntries([...contents].sort(([a], [b]) => (a < b ? -1 : 1))),
    ]),
  );
  const registers = Object.fromEntries(keys.map((key, i) => [key, values[i] ?? null]));
  return { registers, passes, files, frames: network.frames };
};

/** Runs the history from empty folders, except for documents that an earlier release left. */
export const runHistory = async (release: Release): Promise<HistoryResult> => {
  const cluster = await openCluster(release, new Map());
  const run = async (): Promise<HistoryResult> => {
    for (const number of [1, 2, 3]) {
      await writeFormerDocuments(release, cluster, number);
      await cluster.startStore(number);
    }
    await runOperations(cluster);
    return readResult(cluster);
  };
  return cluster.network.run(run());
};

/** Starts stores on the folders that a history left, and reads all registers. */
export const readFolders = async (release: Release, leftFiles: HistoryResult['files']): Promise<HistoryResult> => {
  const folders = new Map(
    Object.entries(leftFiles).map(([id, files]) => [Number(id.slice(1)), new Map(Object.entries(files))]),
  );
  const cluster = await openCluster(release, folders);
  cluster.setGroup(groupOf(2, [2, 3, 4]));
  const run = async (): Promise<HistoryResult> => {
    for (const number of [2, 3, 4]) await cluster.startStore(number);
    return readResult(cluster);
  };
  return cluster.network.run(run());
};
