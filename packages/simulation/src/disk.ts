// The simulated disk (§9.2): one sync at a time, and what it holds after its process ended or its machine lost power.
import { fault, type Disk, type Rand, type Us } from '@thornsail/runtime';

/** A write on its way: `text` is taken when its turn comes; one that is made in place has no rename (§6.1). */
type DiskWrite = {
  name: string;
  inPlace: boolean;
  text: () => string;
  taken?: string;
  done: () => void;
  fail: (e: Error) => void;
};
/** A small disk: one sync at a time, of one file or of the folder (§9.2). */
export type DiskState = {
  /** Waiting for their syncs; `busy` is the one whose sync is under way. */
  line: Set<DiskWrite>;
  busy: DiskWrite | null;
  /** Stretches the time of a sync. */
  slow: number;
  /** No sync ends before this time. */
  hangsUntil: Us;
  full: boolean;
  /** Whether a new file's name lasts only once the folder was synced, too; else its own sync is enough (§6.1). */
  syncFolder: boolean;
  /** Files that a killed process left without a sync, each with what a loss of power may bring back. */
  loose: Map<string, string | undefined>;
  /** Removed since the last sync of the folder: a loss of power may bring these back. */
  removed: Map<string, string>;
  /** Chances that a step fails. */
  fail: { write: number; sync: number; rename: number; read: number };
};
/** What the disk needs of the process that it belongs to. */
export type DiskHost = { inc: number; files: Map<string, string>; disk: DiskState };
/** What the disk needs of the simulated world; `syncTime` is the longest time of one sync. */
export type DiskGround<H extends DiskHost> = {
  rand: Rand;
  now: () => Us;
  later: (after: Us, host: H, fn: () => void) => unknown;
  syncTime: Us;
  onSync: () => void;
};
export type DiskEnd = 'process' | 'power' | 'disk';

const state = (): DiskState => ({
  line: new Set(),
  busy: null,
  slow: 1,
  hangsUntil: 0,
  full: false,
  syncFolder: false,
  loose: new Map(),
  removed: new Map(),
  fail: { write: 0, sync: 0, rename: 0, read: 0 },
});

/** What a write that was never synced may leave of a file: nothing, a part, zeros at its end, or all of it. */
const damaged = (rand: Rand, text: string): string | undefined => {
  const cut = rand.int(text.length + 1);
  return [undefined, text.slice(0, cut), text.slice(0, cut) + '\0'.repeat(text.length - cut), text][rand.int(4)];
};
const leave = (h: DiskHost, name: string, text: string | undefined): void => {
  if (text === undefined) h.files.delete(name);
  else h.files.set(name, text);
};
/** What a disk holds after its process ended, or the machine lost its power or the disk itself. */
const end = (rand: Rand, h: DiskHost, how: DiskEnd): void => {
  const d = h.disk;
  // What was on its way is lost, or had just arrived; a file made in place may have arrived in part.
  for (const p of d.busy ? [d.busy, ...d.line] : [...d.line]) {
    const was = h.files.get(p.name);
    const back = was ?? d.removed.get(p.name);
    if (p.inPlace) {
      if (p.taken !== undefined) leave(h, p.name, damaged(rand, p.taken));
    } else if (how === 'process' ? rand.int(2) === 0 : rand.int(4) === 0) leave(h, p.name, p.text());
    if (how === 'process' && h.files.get(p.name) !== was) d.loose.set(p.name, back);
  }
  d.line.clear();
  d.busy = null;
  if (how === 'process') return;
  // Names that were removed, and what no sync had taken in, may be back as they were.
  for (const [name, text] of d.removed) if (!h.files.has(name) && rand.int(2) === 0) h.files.set(name, text);
  for (const [name, text] of d.loose) if (rand.int(2) === 0) leave(h, name, text);
  d.removed.clear();
  d.loose.clear();
  if (how === 'disk') h.files.clear();
};

const of = <H extends DiskHost>(g: DiskGround<H>, h: H): Disk => {
  const inc = h.inc;
  const gone = (): Promise<never> => new Promise(() => undefined);
  const op = (after: Us): Promise<void> =>
    new Promise((fin) => {
      g.later(after, h, fin);
    });
  const d = h.disk;
  const broken = (step: string, code: 'full' | 'failed'): Error => fault.make({ step: `disk.${step}`, code }, code);
  const sync = async (): Promise<void> => {
    const usual = g.syncTime;
    await op(Math.round((usual * 0.2 + g.rand.int(Math.round(usual * 0.8))) * d.slow));
    while (g.now() < d.hangsUntil) await op(d.hangsUntil - g.now());
    if (h.inc === inc) g.onSync();
  };
  const folderSync = async (): Promise<void> => {
    const before = [...d.removed.keys()];
    await sync();
    for (const name of before) d.removed.delete(name);
  };
  const settle = (p: DiskWrite): void => {
    const text = p.taken!;
    if (g.rand.next() < d.fail.sync) {
      // Nobody knows what the disk holds then.
      if (p.inPlace) leave(h, p.name, damaged(g.rand, text));
      return p.fail(broken('sync', 'failed'));
    }
    const renamed = p.inPlace || g.rand.next() >= d.fail.rename;
    // A rename that fails may have happened all the same.
    if (renamed || g.rand.int(2) === 0) h.files.set(p.name, text);
    if (renamed) p.done();
    else p.fail(broken('rename', 'failed'));
  };
  const next = async (): Promise<void> => {
    // Goes on with what is added meanwhile.
    for (const p of d.line) {
      d.line.delete(p);
      d.busy = p;
      if (!d.full) {
        p.taken = p.text();
        await sync();
        if (!p.inPlace || d.syncFolder) await folderSync();
        if (h.inc !== inc) return;
        settle(p);
      } else p.fail(broken('write', 'full'));
      d.busy = null;
    }
  };
  const write = async (name: string, inPlace: boolean, text: () => string): Promise<void> => {
    if (d.full) throw broken('write', 'full');
    if (g.rand.next() < d.fail.write) throw broken('write', 'failed');
    const over = new Promise<void>((done, fail) => d.line.add({ name, inPlace, text, done, fail }));
    if (!d.busy) void next();
    await over;
    if (h.inc !== inc) return gone();
  };
  return {
    put: (name, text) => write(name, false, () => text),
    create: (name, text) => write(name, true, text),
    settle: async () => {
      if (d.loose.size + d.removed.size === 0) return;
      await folderSync();
      d.loose.clear();
    },
    get: async (name) => {
      // Several at once do not end in the order in which they began.
      await op(10 + g.rand.int(40));
      if (g.rand.next() < d.fail.read) throw broken('read', 'failed');
      return h.files.get(name);
    },
    list: async () => {
      await op(30);
      return [...h.files.keys()].sort();
    },
    drop: async (name) => {
      await op(30);
      const text = h.files.get(name);
      if (text !== undefined) d.removed.set(name, text);
      h.files.delete(name);
    },
  };
};

export const simulatedDisk = { state, of, end };
