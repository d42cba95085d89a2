// Exhaustive check of every disk state that a power loss may leave, at every step of short histories (§6.1). Each name
// that was created, renamed or removed without a sync of the folder may survive or be lost independently.
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

/** Limits so small that a few batches, and base files in turn, are compacted; names are reserved two at a time. */
const limits: Partial<Limits> = { batchFiles: 4, batchBytes: 60, pieceBytes: 120, slackBytes: 60, reservedFiles: 2 };
/** Microseconds between two observations of the disk; every call of the simulated disk takes longer. */
const observationInterval = 5;
type Folder = Map<string, string>;
/** The disk after a run: its files and, after a process kill, the unsynced changes that a later power loss may undo. */
type DiskImage = {
  files: Folder;
  killed?: Pick<DiskState, 'unsyncedNames' | 'nameChanges' | 'changeCount' | 'unsyncedBytes'>;
};
/** The versions that each record or document may have; 0 means "none". */
type Allowed = Map<string, number[]>;
/** One step of a history; `together` runs its actions concurrently. */
type Action =
  | { kind: 'write' | 'remove'; key: string }
  | { kind: 'put document' | 'remove document'; key: string }
  | { kind: 'together'; actions: Action[] };
/** A node on a simulated host, opened from its disk by `openNode`. */
type Node = {
  world: World;
  host: Host;
  durable?: DurableStore;
  records?: RecordStore<number>;
  entries: Map<string, RecordEntry<number>>;
  isValid?: boolean;
};

const documentKey = (key: string): string => `document ${key}`;
const start = ({ files, killed }: DiskImage): Node => {
  const simulated = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x', diskTime: 100 });
  const host = simulated.host('127.0.0.1', 'z1');
  for (const [name, text] of files) host.files.set(name, text);
  if (killed) Object.assign(host.disk, copyOfUnsynced(killed));
  return { world: simulated, host, entries: new Map() };
};
const copyOfUnsynced = (unsynced: NonNullable<DiskImage['killed']>): NonNullable<DiskImage['killed']> => ({
  unsyncedNames: new Map([...unsynced.unsyncedNames].map(([name, former]) => [name, [...former]])),
  nameChanges: new Map(unsynced.nameChanges),
  changeCount: unsynced.changeCount,
  unsyncedBytes: new Map(unsynced.unsyncedBytes),
});
const openNode = async (node: Node): Promise<void> => {
  const { entries } = node;
  const index: RecordIndex<number> = {
    get: (key) => entries.get(key),
    set: (key, entry) => void entries.set(key, entry),
    delete: (key) => void entries.delete(key),
    clear: () => entries.clear(),
  };
  const durable = await durableStore.open(node.world.runtime(node.host).disk);
  const records = recordStore.open<number>({ durable, index, prefix: 'reg:', limits });
  const addLegacy = (name: string, document: { value: unknown }): void => {
    if (name.startsWith('reg:')) records.addLegacy(name.slice(4), document.value);
  };
  const isValid = await recoverFolder(durable, () => undefined, addLegacy, records.load);
  if (!isValid) records.clear();
  Object.assign(node, { durable, records, isValid });
};
const readVersion = async (node: Node, key: string): Promise<number> => {
  if (!key.startsWith('document ')) return node.entries.get(key)?.value ?? 0;
  return (await node.durable!.read<number>(key.slice('document '.length)))?.value ?? 0;
};

let version = 0;
/** Performs an action; until it is acknowledged, the old and the new version are allowed. */
const perform = async (node: Node, action: Action, allowed: Allowed): Promise<void> => {
  if (action.kind === 'together') {
    await Promise.all(action.actions.map((nested) => perform(node, nested, allowed)));
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
const diskImageKey = ({ files, killed }: DiskImage, allowed: Allowed): string =>
  JSON.stringify([
    [...files].filter(([name]) => !name.startsWith('.aside-')).sort(),
    [...allowed].sort(),
    ...(killed ? [[...killed.unsyncedNames], [...killed.unsyncedBytes]] : []),
  ]);
/** All disk images that a power loss or a process kill at this moment may leave. */
const possibleImages = ({ host }: Node): DiskImage[] => [
  ...[...simulatedDisk.afterPowerLoss(host)].map((files) => ({ files })),
  { files: new Map(host.files), killed: copyOfUnsynced(host.disk) },
];
const copyOf = (allowed: Allowed): Allowed => new Map([...allowed].map(([key, versions]) => [key, [...versions]]));

/** Runs `work`, and calls `onChange` whenever the disk or the acknowledged versions have changed. */
const runWatched = async (
  node: Node,
  allowed: Allowed,
  work: Promise<void>,
  onChange: () => Promise<void>,
): Promise<void> => {
  let isOver = false;
  let failed = false;
  work.then(
    () => (isOver = true),
    () => (failed = isOver = true),
  );
  let lastFingerprint = '';
  // Time for background work that outlasts `work`: removing files and reserving names.
  const quietTime = duration.ms(2);
  for (let end = Infinity; node.world.now() < end;) {
    await node.world.run(node.world.now() + observationInterval);
    if (failed) return work;
    if (isOver && end === Infinity) end = node.world.now() + quietTime;
    const now = fingerprint(node, allowed);
    if (now !== lastFingerprint) await onChange();
    lastFingerprint = now;
  }
};

type Search = { seen: Set<string>; restarts: number; problems: string[]; choose: (all: DiskImage[]) => DiskImage[] };
/**
 * Starts a node from a disk image and checks what it finds, then performs the first run. Explores the remaining runs
 * from every image that an interruption at any step may leave.
 */
const explore = async (search: Search, image: DiskImage, before: Allowed, runs: Action[][]): Promise<void> => {
  const key = `${runs.length} ${diskImageKey(image, before)}`;
  if (search.seen.has(key) || search.problems.length > 5) return;
  search.seen.add(key);
  search.restarts += 1;
  const node = start(image);
  const allowed = copyOf(before);
  const [actions, ...rest] = runs;
  const run = async (): Promise<void> => {
    await openNode(node);
    if (!node.isValid) search.problems.push(`treated as damaged: ${[...image.files.keys()].join(' ')}`);
    for (const [name, versions] of allowed) {
      const actual = await readVersion(node, name);
      if (!versions.includes(actual))
        search.problems.push(
          `${name} is ${actual}, not one of ${versions.join()}: ${JSON.stringify([...image.files])}`,
        );
      // A version found at startup must be found again at all later ones.
      allowed.set(name, [actual]);
    }
    for (const action of actions ?? []) await perform(node, action, allowed);
  };
  await runWatched(node, allowed, run(), async () => {
    if (runs.length === 0) return;
    // An interrupted startup has shown nothing, so the versions allowed before it remain allowed.
    for (const state of search.choose(possibleImages(node))) await explore(search, state, copyOf(allowed), rest);
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
test('every state that one power loss or process kill may leave contains what was acknowledged', async () => {
  const search = newSearch();
  await explore(search, { files: new Map() }, new Map(), [history]);
  assert.equal(search.problems, []);
  assert.ok(search.restarts > 200, `only ${search.restarts} restarts`);
});
const testTwoInterruptions = (name: string, first: Action[], second: Action[]): void =>
  test(`two interruptions, including during recovery, lose nothing acknowledged: ${name}`, async () => {
    const search = newSearch();
    await explore(search, { files: new Map() }, new Map(), [first, second, []]);
    assert.equal(search.problems, []);
    assert.ok(search.restarts > 100, `only ${search.restarts} restarts`);
  });
testTwoInterruptions('the last record is a removal', [write('a'), remove('a'), putDocument('x')], [write('b')]);
testTwoInterruptions(
  'a document is created and removed',
  [write('a')],
  [putDocument('x'), removeDocument('x'), remove('a')],
);
test('long histories with three power losses lose nothing acknowledged in randomly selected states', async () => {
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

/** The files that a history leaves once everything is synced. */
const filesAfter = async (actions: Action[]): Promise<Folder> => {
  const node = start({ files: new Map() });
  const allowed: Allowed = new Map();
  const run = async (): Promise<void> => {
    await openNode(node);
    for (const action of actions) await perform(node, action, allowed);
  };
  await runWatched(node, allowed, run(), () => Promise.resolve());
  node.world.kill(node.host, 'process');
  return new Map(node.host.files);
};
const isBatch = (name: string): boolean => /^b\.\d{12}$/.test(name);
test('a missing, truncated or changed file is detected unless it is the last batch', async () => {
  const folder = await filesAfter(history);
  const written = [...folder].filter(([, text]) => text !== '').map(([name]) => name);
  const lastBatch = written.filter(isBatch).sort().pop();
  assert.ok(written.some((name) => name.startsWith('base.')) && lastBatch !== undefined);
  for (const name of written.filter((file) => file !== lastBatch)) {
    const text = folder.get(name)!;
    const changed = [text.slice(0, text.length >> 1), '', `${text.slice(0, -2)}~${text.slice(-1)}`];
    // A missing document can't be distinguished from one that was never written (§6.1).
    const isRecords = /^b(ase)?\./.test(name);
    for (const now of [...changed, ...(isRecords ? [undefined] : [])]) {
      const damaged = new Map(folder);
      if (now === undefined) damaged.delete(name);
      else damaged.set(name, now);
      const node = start({ files: damaged });
      await runWatched(node, new Map(), openNode(node), () => Promise.resolve());
      assert.is(node.isValid, false, `${name}: ${String(now)}`);
      assert.equal([...node.host.files.keys()], [], 'erased');
    }
  }
});
test('the loss of a base file that held everything is detected if only reserved files are left', async () => {
  const node = start({ files: new Map() });
  const run = async (): Promise<void> => {
    await openNode(node);
    const large = { key: 'x'.repeat(2 * limits.slackBytes!) };
    for (let i = 0; i < 8; i++) await perform(node, write(large.key), new Map());
    for (let i = 0; i < 8; i++) await perform(node, write('a'), new Map());
  };
  await runWatched(node, new Map(), run(), () => Promise.resolve());
  const files = new Map([...node.host.files].filter(([name, text]) => !name.startsWith('base.') && text === ''));
  assert.ok(files.size > 0, 'no files were reserved');
  const restarted = start({ files });
  await runWatched(restarted, new Map(), openNode(restarted), () => Promise.resolve());
  assert.is(restarted.isValid, false);
});
test('a power loss while a damaged folder is erased never leaves a folder that is treated as valid', async () => {
  const folder = await filesAfter([putDocument('identity'), write('a'), write('b'), write('c')]);
  const second = [...folder.keys()].filter(isBatch).sort()[1]!;
  folder.set(second, 'damaged');
  const seen = new Set<string>();
  const problems: string[] = [];
  const exploreErasing = async (from: DiskImage, depth: number): Promise<void> => {
    const node = start(from);
    await runWatched(node, new Map(), openNode(node), async () => {
      for (const state of possibleImages(node)) {
        const key = `${depth} ${diskImageKey(state, new Map())}`;
        if (seen.has(key)) continue;
        seen.add(key);
        if (depth > 0) await exploreErasing(state, depth - 1);
        const restarted = start(state);
        await runWatched(restarted, new Map(), openNode(restarted), () => Promise.resolve());
        const identity = await readVersion(restarted, documentKey('identity'));
        if (restarted.entries.size > 0 || identity !== 0) problems.push([...state.files.keys()].join(' '));
      }
    });
  };
  await exploreErasing({ files: folder }, 1);
  assert.equal(problems.slice(0, 3), []);
  assert.ok(seen.size > 100, `only ${seen.size} states`);
});
test.run();
