// Records by key (§6.1): all changes that wait while a sync is under way go together into one file, a batch, with one
// sync. Batches are numbered without a gap, in files made before (reserve.ts); base files hold what is left of older
// ones.
import { fault } from '@thornsail/runtime';
import { format, type BaseHead, type Extent, type Kind, type Line } from './format.js';
import type { DurableStore } from './index.js';
import { merge, type Limits } from './merge.js';
import { reserve } from './reserve.js';

/** The newest version of a record: its file, its bytes there, the number of the batch it came in, and how many files
 * in effect hold older ones. */
export type Slot<T> = { key: string; value: T; seq: number; file: Extent; bytes: number; older: number };
/** Where the newest versions are kept in memory: only what is synced gets there. */
export type Index<T> = {
  get: (key: string) => Slot<T> | undefined;
  set: (key: string, slot: Slot<T>) => void;
  drop: (key: string) => void;
  clear: () => void;
};
export type Batches<T> = {
  /** Resolves once the batch with this version is synced and the index shows it. Fails as `Disk.put` does. */
  write: (key: string, value: T) => Promise<void>;
  /** As `write`: a removal is a record, too. */
  remove: (key: string) => Promise<void>;
  /** A record of the form before batches, one document each; told before `load`. */
  former: (key: string, value: T) => void;
  /** Reads the folder; false if it is damaged (§6.1). */
  load: () => Promise<boolean>;
  clear: () => void;
  counts: () => { batches: number; records: number; merges: number; files: number; bytes: number; live: number };
};

type Waiting<T> = { value: T | undefined; text: string; done: (() => void)[]; fail: ((e: Error) => void)[] };
/** A removed key. Its record is needed as long as another file in effect holds an older one. */
type Gone = Omit<Slot<never>, 'value'> & { value?: undefined };
type Newest<T> = Slot<T> | Gone;
const isGone = <T>(x: Newest<T>): x is Gone => x.value === undefined;
const needed = <T>(x: Newest<T>): boolean => !isGone(x) || x.older > 0;

/** A few at a time: whole files are in memory while they are read. */
const atOnce = async <X>(list: X[], fn: (x: X) => Promise<void>, many = 8): Promise<void> => {
  const left = list.values();
  const work = async (): Promise<void> => {
    for (const x of left) await fn(x);
  };
  await Promise.all(Array.from({ length: many }, work));
};

export const batches = {
  /** `prefix` names the documents of the former form. */
  open: <T>(o: { durable: DurableStore; index: Index<T>; prefix: string; limits?: Partial<Limits> }): Batches<T> => {
    const { durable, index } = o;
    const { disk } = durable;
    const limits = merge.checked(o.limits);
    const reserved = reserve.open(disk, limits.reservedFiles);
    const c = { batches: 0, records: 0, merges: 0 };
    const gone = new Map<string, Gone>();
    const before = new Map<string, T>();
    const files: Record<Kind, Extent[]> = { b: [], base: [] };
    let waiting = new Map<string, Waiting<T>>();
    let committing = false;
    let merging = false;
    let next = 1;
    let nextBase = 1;
    /** After a full disk: no merge before this batch. */
    let mergeFrom = 0;

    const newest = (key: string): Newest<T> | undefined => index.get(key) ?? gone.get(key);
    const extent = (kind: Kind, n: number): Extent => {
      const at: Extent = { kind, n, keys: [], bytes: 0, live: 0 };
      files[kind].push(at);
      return at;
    };
    const moreOlder = (x: Newest<T>): void => {
      if (!needed(x)) x.file.live += x.bytes;
      x.older += 1;
    };
    const lessOlder = (x: Newest<T>): void => {
      x.older -= 1;
      if (!needed(x)) x.file.live -= x.bytes;
    };
    /** A record that was found or has just been synced in this file. */
    const place = (x: Line<T>, at: Extent, bytes: number): void => {
      const was = newest(x.key);
      // One string for a key, however often it comes.
      const key = was?.key ?? x.key;
      at.keys.push(key);
      at.bytes += bytes;
      if (was && was.seq > x.seq) return moreOlder(was);
      if (was && needed(was)) was.file.live -= was.bytes;
      const now: Gone = { key, seq: x.seq, file: at, bytes, older: was ? was.older + 1 : 0 };
      if (x.value === undefined) {
        index.drop(key);
        gone.set(key, now);
        if (needed(now)) at.live += bytes;
      } else {
        gone.delete(key);
        index.set(key, { ...now, value: x.value });
        at.live += bytes;
      }
    };

    const take = (): Map<string, Waiting<T>> => {
      const taken = new Map<string, Waiting<T>>();
      let bytes = 0;
      for (const [key, w] of waiting) {
        if (taken.size > 0 && bytes + w.text.length > limits.batchBytes) break;
        bytes += w.text.length;
        taken.set(key, w);
        waiting.delete(key);
      }
      return taken;
    };
    const commitOne = async (): Promise<void> => {
      const name = format.file('b', next);
      let batch: Map<string, Waiting<T>> | undefined;
      try {
        await reserved.upTo(next);
        await disk.fill(name, () => format.seal([...(batch = take()).values()].map((w) => w.text)));
      } catch (e) {
        for (const w of (batch ?? take()).values()) for (const fail of w.fail) fail(e as Error);
        return;
      }
      const at = extent('b', next);
      for (const [key, w] of batch!) {
        const line: Line<T> = w.value === undefined ? { key, seq: next } : { key, seq: next, value: w.value };
        place(line, at, w.text.length);
      }
      next += 1;
      reserved.ahead(next);
      c.batches += 1;
      c.records += batch!.size;
      for (const w of batch!.values()) for (const done of w.done) done();
    };
    const commit = async (): Promise<void> => {
      if (committing) return;
      committing = true;
      while (waiting.size > 0) {
        await commitOne();
        void mergeAll();
      }
      committing = false;
    };
    const put = (key: string, value: T | undefined): Promise<void> =>
      new Promise((done, fail) => {
        const was = waiting.get(key);
        waiting.set(key, {
          value,
          text: format.batchLine(key, value),
          done: [...(was?.done ?? []), done],
          fail: [...(was?.fail ?? []), fail],
        });
        void commit();
      });

    const writeBase = (n: number, head: BaseHead, lines: string[]): Promise<void> =>
      disk.put(format.file('base', n), format.seal([JSON.stringify(head), ...lines]));
    const dropFile = (kind: Kind, n: number): Promise<void> =>
      // One that stays does no harm: the newest base file says what is in effect.
      disk.drop(format.file(kind, n)).catch(() => undefined);

    /** Brings what is needed of some files into one base file; in effect with that file's name, all at once. */
    const mergeOne = async (taken: Extent[]): Promise<void> => {
      const from = new Set(taken);
      /** Records of removed keys that go with this merge. */
      const older = new Map<string, number>();
      for (const f of taken)
        for (const key of f.keys)
          if (gone.has(key) && gone.get(key)!.file !== f) older.set(key, (older.get(key) ?? 0) + 1);
      const moved = new Map<string, { x: Newest<T>; line: string; was: Extent }>();
      for (const f of taken)
        for (const key of f.keys) {
          const x = newest(key);
          if (x?.file !== f || (isGone(x) && x.older <= (older.get(key) ?? 0))) continue;
          const line = format.baseLine<T>(isGone(x) ? { key, seq: x.seq } : { key, seq: x.seq, value: x.value });
          moved.set(key, { x, line, was: f });
        }
      const n = nextBase++;
      const upTo = Math.max(...taken.filter((f) => f.kind === 'b').map((f) => f.n), (files.b[0]?.n ?? next) - 1);
      const parts = [...files.base.filter((f) => !from.has(f)).map((f) => f.n), n];
      await writeBase(
        n,
        { upTo, parts },
        [...moved.values()].map((m) => m.line),
      );
      for (const kind of ['b', 'base'] as const) files[kind] = files[kind].filter((f) => !from.has(f));
      const at = extent('base', n);
      for (const [key, { x, line }] of moved) {
        at.keys.push(key);
        at.bytes += line.length;
        // A newer version that came meanwhile counts this one among its older ones, wherever it lies.
        if (newest(key) !== x) continue;
        x.file = at;
        x.bytes = line.length;
        if (needed(x)) at.live += line.length;
      }
      for (const f of taken)
        for (const key of f.keys) {
          if (moved.get(key)?.was === f) continue;
          const x = newest(key);
          if (x && x.file !== f) lessOlder(x);
        }
      for (const f of taken) for (const key of f.keys) if (gone.get(key)?.file === f) gone.delete(key);
      c.merges += 1;
      for (const f of taken) await dropFile(f.kind, f.n);
    };
    const mergeAll = async (): Promise<void> => {
      if (merging || next < mergeFrom) return;
      merging = true;
      const plan = (): Extent[] | undefined => merge.next({ batches: files.b, bases: files.base }, limits);
      try {
        for (let taken = plan(); taken; taken = plan()) await mergeOne(taken);
      } catch (e) {
        // Without room it is tried again later; a disk that failed has stopped the durable store.
        mergeFrom = fault.info(e).code === 'full' ? next + (limits.batchFiles >> 2) : Infinity;
      }
      merging = false;
    };

    /** Brings the documents of the former form into base files, none of which is in effect before the last is there. */
    const moveFormer = async (): Promise<void> => {
      const pieces: { lines: string[]; bytes: number; keys: string[] }[] = [];
      for (const [key, value] of before) {
        const line = format.baseLine({ key, seq: 0, value });
        let last = pieces[pieces.length - 1];
        if (!last || last.bytes + line.length > limits.pieceBytes)
          pieces.push((last = { lines: [], bytes: 0, keys: [] }));
        last.lines.push(line);
        last.bytes += line.length;
        last.keys.push(key);
      }
      const first = nextBase;
      for (const [i, p] of pieces.entries()) {
        const parts = i === pieces.length - 1 ? pieces.map((_, j) => first + j) : [];
        await writeBase(nextBase, { upTo: 0, parts }, p.lines);
        const at = extent('base', nextBase++);
        for (const [j, key] of p.keys.entries())
          place({ key, seq: 0, value: before.get(key)! }, at, p.lines[j]!.length);
      }
      before.clear();
    };
    const dropFormer = async (): Promise<void> => {
      const old = durable.names().filter((name) => name.startsWith(o.prefix));
      if (old.length > 0) await durable.remove(old).catch(() => undefined);
    };

    const readLines = async (kind: Kind, n: number): Promise<string[] | undefined> =>
      format.unseal(await disk.get(format.file(kind, n)));
    const loadBases = async (all: string[]): Promise<BaseHead | undefined> => {
      const last = format.numbers(all, 'base').pop();
      nextBase = (last ?? 0) + 1;
      if (last === undefined) return { upTo: 0, parts: [] };
      const first = (await readLines('base', last))?.[0];
      const head = first === undefined ? undefined : (JSON.parse(first) as BaseHead);
      let sound = head !== undefined;
      await atOnce(head?.parts ?? [], async (n) => {
        const lines = await readLines('base', n);
        sound &&= lines !== undefined;
        const at = extent('base', n);
        for (const line of lines?.slice(1) ?? []) place(format.readBaseLine<T>(line), at, line.length);
      });
      return sound ? head : undefined;
    };
    /**
     * Batches after a base, without a gap up to the last file that isn't empty: those after it were only reserved. That
     * one may be torn: it was not acknowledged then.
     */
    const loadBatches = async (all: string[], upTo: number): Promise<boolean> => {
      const list = format.numbers(all, 'b').filter((n) => n > upTo);
      const found = new Map<number, { empty: boolean }>();
      await atOnce(list, async (n) => {
        const raw = await disk.get(format.file('b', n));
        const lines = format.unseal(raw);
        found.set(n, { empty: raw === '' });
        if (!lines) return;
        const at = extent('b', n);
        for (const line of lines) place(format.readBatchLine<T>(line, n), at, line.length);
      });
      const last = Math.max(upTo, ...list.filter((n) => !found.get(n)!.empty));
      const sound = new Set(files.b.map((f) => f.n));
      for (let n = upTo + 1; n < last; n++) if (!sound.has(n)) return false;
      // Names are reserved from the next batch on: others further up show that what came before them is gone.
      if (list.length > 0 && last === upTo && list[0]! > upTo + limits.reservedFiles) return false;
      next = last > upTo && !sound.has(last) ? last : last + 1;
      let lasting = last;
      while (found.has(lasting + 1)) lasting += 1;
      reserved.found(lasting);
      // A killed process may have left the last one without its sync: seen from now on, it must last.
      if (sound.has(last)) await disk.settle([format.file('b', last)]);
      return true;
    };
    /** Files that are in effect no more; one that stays does no harm. */
    const dropOld = async (all: string[], upTo: number): Promise<void> => {
      const bases = new Set(files.base.map((f) => f.n));
      const oldBatches = format.numbers(all, 'b').filter((n) => n <= upTo);
      const oldBases = format.numbers(all, 'base').filter((n) => !bases.has(n));
      await atOnce(oldBatches, (n) => dropFile('b', n));
      await atOnce(oldBases, (n) => dropFile('base', n));
    };
    const load = async (): Promise<boolean> => {
      const all = await disk.list();
      const head = await loadBases(all);
      if (!head || !(await loadBatches(all, head.upTo))) {
        durable.sawDamage();
        return false;
      }
      for (const kind of ['b', 'base'] as const) files[kind].sort((x, y) => x.n - y.n);
      await dropOld(all, head.upTo);
      if (head.parts.length === 0 && before.size > 0) await moveFormer();
      before.clear();
      void dropFormer();
      return true;
    };

    return {
      write: (key, value) => put(key, value),
      remove: (key) => put(key, undefined),
      former: (key, value) => void before.set(key, value),
      load,
      clear: () => {
        index.clear();
        gone.clear();
        before.clear();
        files.b = [];
        files.base = [];
        waiting = new Map();
        next = 1;
        nextBase = 1;
        reserved.found(0);
      },
      counts: () => {
        const all = [...files.b, ...files.base];
        const sum = (of: 'bytes' | 'live'): number => all.reduce((a, f) => a + f[of], 0);
        return { ...c, files: all.length, bytes: sum('bytes'), live: sum('live') };
      },
    };
  },
};
