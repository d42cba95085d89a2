/** A history of registers that uses every message and every form of a file, played with the code of any release. */
import type { Address, Microseconds, Runtime } from '@thornsail/runtime';
import { openLoopback, type Files, type Loopback } from './loopback.js';

export type HistoryGroup = { version: number; members: { id: string; at: Address }[] };
/** What a change makes of the present value: leaves it, removes it, or replaces it. */
export type Next = 'keep' | 'remove' | { value: unknown; expiresAt: Microseconds };
export type HistoryRegisters = {
  change: (
    key: string,
    next: (value: unknown, latestWall: Microseconds) => Next,
    o?: { fresh?: boolean; past?: number },
  ) => Promise<void>;
  reserve: (key: string) => Promise<void>;
  extend: (keys: string[], until: Microseconds) => Promise<string[]>;
  readMany: (keys: string[], o?: { once?: boolean }) => Promise<unknown[]>;
  /** One pass of anti-entropy. */
  sweep: (group: HistoryGroup, all: boolean) => Promise<object>;
};
/** What a history needs of a release. */
export type Release = {
  openStore: (o: { runtime: Runtime; at: Address; id: string; limits: object; grace: Microseconds }) => Promise<void>;
  openRegisters: (o: {
    runtime: Runtime;
    at: Address;
    by: string;
    group: () => HistoryGroup;
  }) => Promise<HistoryRegisters>;
  /** Writes a document as `name`; registers were documents before they were kept in batches. */
  writeDocument: (runtime: Runtime, name: string, version: number, value: unknown) => Promise<void>;
};
export type Played = {
  /** Registers by key, as read at the end. */
  registers: Record<string, unknown>;
  /** What the passes of anti-entropy gave, in their order. */
  passes: object[];
  /** Files by name, for each store. */
  files: Record<string, Record<string, string>>;
  frames: string[];
};

const second = 1_000_000;
/** So small that batches are merged into base files all the time. */
const limits = { batchFiles: 4, batchBytes: 600, pieceBytes: 1400, slackBytes: 900, reservedFiles: 4 };
const grace = 10 * second;
const storeAt = (number: number): Address => `127.0.2.${number}:7101`;
const edgeAt = (number: number): Address => `127.0.1.${number + 10}:7101`;
const groupOf = (version: number, numbers: number[]): HistoryGroup => ({
  version,
  members: numbers.map((number) => ({ id: `k${number}`, at: storeAt(number) })),
});
const put =
  (value: unknown, seconds = 5000) =>
  (_value: unknown, wall: Microseconds): Next => ({ value, expiresAt: wall + seconds * second });
const append =
  (item: string) =>
  (value: unknown, wall: Microseconds): Next => ({
    value: [...((value as string[] | undefined) ?? []), item],
    expiresAt: wall + 5000 * second,
  });
const keys = [
  'a', 'b', 'shared', 'removed', 'short', 'former/1', 'former/2', 'opened', 'strayed', 'extended', 'mended', 'none',
  ...Array.from({ length: 12 }, (_, i) => `many/${i}`),
]; // prettier-ignore

type Stage = {
  net: Loopback;
  folders: Map<number, Files>;
  start: (number: number) => Promise<void>;
  edges: HistoryRegisters[];
  passes: object[];
  setGroup: (group: HistoryGroup) => void;
};

const openStage = async (release: Release, folders: Map<number, Files>): Promise<Stage> => {
  const net = openLoopback();
  let group = groupOf(1, [1, 2, 3]);
  const start = async (number: number): Promise<void> => {
    const files = folders.get(number) ?? new Map<string, string>();
    folders.set(number, files);
    const { runtime } = net.node(storeAt(number), files);
    await release.openStore({ runtime, at: storeAt(number), id: `k${number}`, limits, grace });
  };
  const edges: HistoryRegisters[] = [];
  for (const number of [1, 2]) {
    const { runtime } = net.node(edgeAt(number));
    edges.push(await release.openRegisters({ runtime, at: edgeAt(number), by: `e${number}`, group: () => group }));
  }
  return { net, folders, start, edges, passes: [], setGroup: (next) => void (group = next) };
};

const writeFormer = async (release: Release, stage: Stage, number: number): Promise<void> => {
  const files: Files = new Map();
  stage.folders.set(number, files);
  const { runtime } = stage.net.node(storeAt(number), files);
  for (const i of [1, 2]) {
    const held = { value: { former: i }, until: stage.net.clock.wallTime() + 5000 * second, ops: [`old.${i}`] };
    const copy = { promised: [3, 'old'], accepted: [2, 'old'], held, touched: stage.net.clock.wallTime() };
    await release.writeDocument(runtime, `reg:former/${i}`, 2, copy);
  }
};

const changes = async ({ net, edges, passes, start, setGroup }: Stage): Promise<void> => {
  const [one, two] = edges as [HistoryRegisters, HistoryRegisters];
  const sweep = async (group: HistoryGroup, all: boolean): Promise<void> =>
    void passes.push(await one.sweep(group, all));
  await one.change('a', put({ text: 'first', list: [1, null, 'ä'] }));
  await two.change('a', put(['x']));
  await one.reserve('b');
  await one.change('b', append('1'));
  await two.change('b', append('2'), { past: 16 });
  await Promise.all([one.change('shared', append('one')), two.change('shared', append('two'))]);
  await one.change('removed', put('r'));
  await two.change('removed', () => 'remove');
  await two.change('short', put('s', 2));
  await one.change('opened', put('o'), { fresh: true });
  await two.change('extended', put('e', 4), { fresh: true });
  await one.extend(['extended', 'none', 'removed'], net.clock.wallTime() + 4000 * second);
  const heal = net.disconnect(edgeAt(1), storeAt(3));
  await one.change('strayed', put('opened at two'), { fresh: true });
  for (let i = 0; i < 12; i++) await one.change(`many/${i}`, put(`v${i}`.repeat(20)));
  await one.change('mended', put('without the third'));
  heal();
  await two.readMany(['mended', 'strayed', 'a']);
  await one.change('many/0', () => 'keep');
  await net.sleep(2 * second);
  await sweep(groupOf(1, [1, 2, 3]), false);
  await net.sleep(30 * second);
  await sweep(groupOf(1, [1, 2, 3]), false);
  await one.change('short', put('again', 6000));
  await start(4);
  setGroup(groupOf(2, [2, 3, 4]));
  await sweep(groupOf(2, [2, 3, 4]), true);
  await sweep(groupOf(2, [2, 3, 4]), false);
  for (let i = 0; i < 12; i += 2) await two.change(`many/${i}`, i % 4 ? () => 'remove' : put(i));
  await one.readMany(['many/1', 'opened'], { once: true });
  net.stop(storeAt(3));
  await start(3);
  await two.change('b', append('3'));
};

const finish = async ({ net, edges, folders, passes }: Stage): Promise<Played> => {
  await net.sleep(5 * second);
  const values = await edges[1]!.readMany(keys);
  await net.sleep(5 * second);
  const files = Object.fromEntries(
    [...folders].map(([number, of]) => [
      `k${number}`,
      Object.fromEntries([...of].sort(([a], [b]) => (a < b ? -1 : 1))),
    ]),
  );
  const registers = Object.fromEntries(keys.map((key, i) => [key, values[i] ?? null]));
  return { registers, passes, files, frames: net.frames };
};

/** Plays the history from empty folders on. */
export const playHistory = async (release: Release): Promise<Played> => {
  const stage = await openStage(release, new Map());
  const story = async (): Promise<Played> => {
    for (const number of [1, 2, 3]) {
      await writeFormer(release, stage, number);
      await stage.start(number);
    }
    await changes(stage);
    return finish(stage);
  };
  return stage.net.run(story());
};

/** Starts stores with the folders that a history left, and reads all registers. */
export const readFolders = async (release: Release, left: Played['files']): Promise<Played> => {
  const folders = new Map(
    Object.entries(left).map(([id, files]) => [Number(id.slice(1)), new Map(Object.entries(files))]),
  );
  const stage = await openStage(release, folders);
  stage.setGroup(groupOf(2, [2, 3, 4]));
  const story = async (): Promise<Played> => {
    for (const number of [2, 3, 4]) await stage.start(number);
    return finish(stage);
  };
  return stage.net.run(story());
};
