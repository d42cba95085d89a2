// Every state that a loss of power may leave, at every step of small histories (§6.1): each name that was made, renamed
// or removed without a sync of the folder is kept or lost by itself.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seeded, duration } from '@thornsail/runtime';
import { simulatedDisk, world, type DiskState, type Host, type World } from '@thornsail/simulation';
import {
  recordStore,
  durableStore,
  type RecordStore,
  type RecordIndex,
  type Limits,
  type DurableStore,
  type RecordEntry,
  recoverFolder,
} from '@thornsail/durable-files';

/** So little that a few batches are merged, and base files again; names are reserved two at a time. */
const limits: Partial<Limits> = { batchFiles: 4, batchBytes: 60, pieceBytes: 120, slackBytes: 60, reservedFiles: 2 };
/** Time between two looks at the disk; every call of the simulated disk takes longer. */
const step = 5;
type Folder = Map<string, string>;
/** What a run leaves: its files, and after the end of a mere process what a later loss of power may bring back. */
type Left = {
  files: Folder;
  killed?: Pick<DiskState, 'unsyncedNames' | 'nameChanges' | 'changeCount' | 'unsyncedBytes'>;
};
/** Which versions each record or document may have; 0 is "none". */
type Allowed = Map<string, number[]>;
type Action =
  | { kind: 'write' | 'remove'; key: string }
  | { kind: 'put document' | 'remove document'; key: string }
  | { kind: 'together'; actions: Action[] };
type Node = {
  world: World;
  host: Host;
  durable?: DurableStore;
  records?: RecordStore<number>;
  at: Map<string, RecordEntry<number>>;
  isValid?: boolean;
};

const documentKey = (key: string): string => `document ${key}`;
const start = ({ files, killed }: Left): Node => {
  const w = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: 100 });
  const host = w.host('127.0.0.1', 'z1');
  for (const [name, text] of files) host.files.set(name, text);
  if (killed) Object.assign(host.disk, copyOfUnsynced(killed));
  return { world: w, host, at: new Map() };
};
const copyOfUnsynced = (of: NonNullable<Left['killed']>): NonNullable<Left['killed']> => ({
  unsyncedNames: new Map([...of.unsyncedNames].map(([name, former]) => [name, [...former]])),
  nameChanges: new Map(of.nameChanges),
  changeCount: of.changeCount,
  unsyncedBytes: new Map(of.unsyncedBytes),
});
const openNode = async (node: Node): Promise<void> => {
  const { at } = node;
  const index: RecordIndex<number> = {
    get: (key) => at.get(key),
    set: (key, slot) => void at.set(key, slot),
    delete: (key) => void at.delete(key),
    clear: () => at.clear(),
  };
  const durable = await durableStore.open(node.world.runtime(node.host).disk);
  const records = recordStore.open<number>({ durable, index, prefix: 'reg:', limits });
  const see = (name: string, document: { value: unknown }): void => {
    if (name.startsWith('reg:')) records.addLegacy(name.slice(4), document.value);
  };
  const isValid = await recoverFolder(durable, () => undefined, see, records.load);
  if (!isValid) records.clear();
  Object.assign(node, { durable, records, isValid });
};
const found = async (node: Node, key: string): Promise<number> => {
  if (!key.startsWith('document ')) return node.at.get(key)?.value ?? 0;
  return (await node.durable!.read<number>(key.slice('document '.length)))?.value ?? 0;
};

let version = 0;
const perform = async (node: Node, action: Action, allowed: Allowed): Promise<void> => {
  if (action.kind === 'together') {
    await Promise.all(action.actions.map((one) => perform(node, one, allowed)));
    return;
  }
  const isDocument = action.kind.endsWith('document');
  const name = isDocument ? documentKey(action.key) : action.key;
  const value = action.kind.startsWith('remove') ? 0 : ++version;
  allowed.set(name, [...(allowed.get(name) ?? [0]), value]);
  if (action.kind === 'write') await node.records!.write(action.key, value);
  else if (action.kind === 'remove') await node.records!.remove(action.key);
  else if (action.kind === 'put document') await node.durable!.write(action.key, value, value);
  else await node.durable!.remove([action.key]);
  allowed.set(name, [value]);
};

const fingerprint = (node: Node, allowed: Allowed): string => {
  const { disk, files } = node.host;
  return JSON.stringify([[...files], [...disk.unsyncedNames], [...disk.unsyncedBytes], [...allowed]]);
};
const leftKey = ({ files, killed }: Left, allowed: Allowed): string =>
  JSON.stringify([
    [...files].filter(([name]) => !name.startsWith('.aside-')).sort(),
    [...allowed].sort(),
    ...(killed ? [[...killed.unsyncedNames], [...killed.unsyncedBytes]] : []),
  ]);
/** All that may be left when the power is lost or the process killed at this moment. */
const possible = ({ host }: Node): Left[] => [
  ...[...simulatedDisk.afterPowerLoss(host)].map((files) => ({ files })),
  { files: new Map(host.files), killed: copyOfUnsynced(host.disk) },
];
const copyOf = (allowed: Allowed): Allowed => new Map([...allowed].map(([key, versions]) => [key, [...versions]]));

/** Runs some work, and calls `look` whenever the disk, or what was acknowledged, has changed. */
const watched = async (node: Node, allowed: Allowed, work: Promise<void>, look: () => Promise<void>): Promise<void> => {
  let over = false;
  let failed = false;
  work.then(
    () => (over = true),
    () => (failed = over = true),
  );
  let last = '';
  // After the work, what it left to be done behind (files that are removed, names that are made ahead).
  const quietTime = duration.ms(2);
  for (let end = Infinity; node.world.now() < end;) {
    await node.world.run(node.world.now() + step);
    if (failed) return work;
    if (over && end === Infinity) end = node.world.now() + quietTime;
    const now = fingerprint(node, allowed);
    if (now !== last) await look();
    last = now;
  }
};

type Search = { seen: Set<string>; restarts: number; problems: string[]; choose: (all: Left[]) => Left[] };
/** Starts from a folder and checks it, then plays a run; its end at any step goes on to the other runs. */
const explore = async (search: Search, left: Left, before: Allowed, runs: Action[][]): Promise<void> => {
  const key = `${runs.length} ${leftKey(left, before)}`;
  if (search.seen.has(key) || search.problems.length > 5) return;
  search.seen.add(key);
  search.restarts += 1;
  const node = start(left);
  const allowed = copyOf(before);
  const [actions, ...rest] = runs;
  const run = async (): Promise<void> => {
    await openNode(node);
    if (!node.isValid) search.problems.push(`taken for damaged: ${[...left.files.keys()].join(' ')}`);
    for (const [name, versions] of allowed) {
      const got = await found(node, name);
      if (!versions.includes(got))
        search.problems.push(`${name} is ${got}, not one of ${versions.join()}: ${JSON.stringify([...left.files])}`);
      // What a start shows stays, whatever happens next.
      allowed.set(name, [got]);
    }
    for (const action of actions ?? []) await perform(node, action, allowed);
  };
  await watched(node, allowed, run(), async () => {
    if (runs.length === 0) return;
    // Until a start is over it has shown nothing: what it may find is what it might have found before.
    for (const state of search.choose(possible(node))) await explore(search, state, copyOf(allowed), rest);
  });
};
const newSearch = (choose: Search['choose'] = (all) => all): Search => ({
  seen: new Set(),
  restarts: 0,
  problems: [],
  choose,
});
const write = (key: string): Action => ({ kind: 'write', key });
const remove = (key: string): Action => ({ kind: 'remove', key });
const putDocument = (key: string): Action => ({ kind: 'put document', key });
const removeDocument = (key: string): Action => ({ kind: 'remove document', key });

const history: Action[] = [
  putDocument('identity'),
  write('a'),
  { kind: 'together', actions: [write('b'), write('c'), putDocument('state')] },
  remove('a'),
  putDocument('state'),
  write('d'),
  write('b'),
  remove('c'),
  write('a'),
  removeDocument('state'),
  remove('b'),
  write('e'),
  write('a'),
  write('f'),
  write('a'),
  write('e'),
];
test('every state that one loss of power or a killed process may leave holds what was acknowledged', async () => {
  const search = newSearch();
  await explore(search, { files: new Map() }, new Map(), [history]);
  assert.equal(search.problems, []);
  assert.ok(search.restarts > 200, `only ${search.restarts} restarts`);
});
const twice = (name: string, first: Action[], second: Action[]): void =>
  test(`the same for two ends, also during the recovery: ${name}`, async () => {
    const search = newSearch();
    await explore(search, { files: new Map() }, new Map(), [first, second, []]);
    assert.equal(search.problems, []);
    assert.ok(search.restarts > 100, `only ${search.restarts} restarts`);
  });
twice('the last record is a removal', [write('a'), remove('a'), putDocument('x')], [write('b')]);
twice('a document is made and removed', [write('a')], [putDocument('x'), removeDocument('x'), remove('a')]);
test('long histories with three losses of power, of whose states some are drawn', async () => {
  const rand = seeded(7);
  let restarts = 0;
  for (let round = 0; round < 6; round++) {
    const search = newSearch((all) => (rand.int(8) === 0 ? [all[rand.int(all.length)]!] : []));
    await explore(search, { files: new Map() }, new Map(), [
      history,
      [write('a'), remove('d'), write('f')],
      [write('b')],
    ]);
    assert.equal(search.problems, [], `round ${round}`);
    restarts += search.restarts;
  }
  assert.ok(restarts > 100, `only ${restarts} restarts`);
});

/** What a history leaves once all is synced. */
const settled = async (actions: Action[]): Promise<Folder> => {
  const node = start({ files: new Map() });
  const allowed: Allowed = new Map();
  const run = async (): Promise<void> => {
    await openNode(node);
    for (const action of actions) await perform(node, action, allowed);
  };
  await watched(node, allowed, run(), () => Promise.resolve());
  node.world.kill(node.host, 'process');
  return new Map(node.host.files);
};
const isBatch = (name: string): boolean => /^b\.\d{12}$/.test(name);
test('a written file before the last that is missing, short or changed is noticed in every place', async () => {
  const folder = await settled(history);
  const written = [...folder].filter(([, text]) => text !== '').map(([name]) => name);
  const lastBatch = written.filter(isBatch).sort().pop();
  assert.ok(written.some((name) => name.startsWith('base.')) && lastBatch !== undefined);
  for (const name of written.filter((one) => one !== lastBatch)) {
    const text = folder.get(name)!;
    const changed = [text.slice(0, text.length >> 1), '', `${text.slice(0, -2)}~${text.slice(-1)}`];
    // A removed document can't be told from one that was never written (§6.1).
    const isRecords = /^b(ase)?\./.test(name);
    for (const now of [...changed, ...(isRecords ? [undefined] : [])]) {
      const damaged = new Map(folder);
      if (now === undefined) damaged.delete(name);
      else damaged.set(name, now);
      const node = start({ files: damaged });
      await watched(node, new Map(), openNode(node), () => Promise.resolve());
      assert.is(node.isValid, false, `${name}: ${String(now)}`);
      assert.equal([...node.host.files.keys()], [], 'emptied');
    }
  }
});
test('a base file that held everything is missed when only reserved names are left', async () => {
  const node = start({ files: new Map() });
  const run = async (): Promise<void> => {
    await openNode(node);
    const large = { key: 'x'.repeat(2 * limits.slackBytes!) };
    for (let i = 0; i < 8; i++) await perform(node, write(large.key), new Map());
    for (let i = 0; i < 8; i++) await perform(node, write('a'), new Map());
  };
  await watched(node, new Map(), run(), () => Promise.resolve());
  const files = new Map([...node.host.files].filter(([name, text]) => !name.startsWith('base.') && text === ''));
  assert.ok(files.size > 0, 'no names were reserved');
  const again = start({ files });
  await watched(again, new Map(), openNode(again), () => Promise.resolve());
  assert.is(again.isValid, false);
});
test('a loss of power while a damaged folder is emptied never leaves one that is taken for valid', async () => {
  const folder = await settled([putDocument('identity'), write('a'), write('b'), write('c')]);
  const second = [...folder.keys()].filter(isBatch).sort()[1]!;
  folder.set(second, 'damaged');
  const seen = new Set<string>();
  const problems: string[] = [];
  const emptied = async (from: Left, depth: number): Promise<void> => {
    const node = start(from);
    await watched(node, new Map(), openNode(node), async () => {
      for (const state of possible(node)) {
        const key = `${depth} ${leftKey(state, new Map())}`;
        if (seen.has(key)) continue;
        seen.add(key);
        if (depth > 0) await emptied(state, depth - 1);
        const again = start(state);
        await watched(again, new Map(), openNode(again), () => Promise.resolve());
        const identity = await found(again, documentKey('identity'));
        if (again.at.size > 0 || identity !== 0) problems.push([...state.files.keys()].join(' '));
      }
    });
  };
  await emptied({ files: folder }, 1);
  assert.equal(problems.slice(0, 3), []);
  assert.ok(seen.size > 100, `only ${seen.size} states`);
});
test.run();
