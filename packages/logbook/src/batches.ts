// Records by key (§6.1): all changes that wait while a sync is under way go together into one new file, a batch, with
// one sync. Batches are numbered without a gap; a base file holds what older ones held.
import { crc32 } from 'node:zlib';
import type { Logbook } from './index.js';

/** A file in effect, with the keys of its records. */
export type Extent = { name: string; keys: string[] };
/** The newest version of a record: its file, the number of the batch it came in, and how many files hold older ones. */
export type Slot<T> = { value: T; seq: number; file: Extent; older: number };
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
  counts: () => { batches: number; records: number };
};

type Waiting<T> = { value: T | undefined; text: string; done: (() => void)[]; fail: ((e: Error) => void)[] };
type Gone = { seq: number; file: Extent; older: number };
/** The newest base file says what is in effect: the base files `parts`, and the batches after `upTo`. */
type BaseHead = { upTo: number; parts: number[] };

const readAtOnce = 64;
const most = { batchBytes: 1 << 20, pieceBytes: 512 << 10 };
type Kind = 'b' | 'base';
const file = (kind: Kind, n: number): string => `${kind}.${String(n).padStart(12, '0')}`;
const numbers = (all: string[], kind: Kind): number[] =>
  all
    .filter((f) => f.startsWith(`${kind}.`) && /^\d{12}$/.test(f.slice(kind.length + 1)))
    .map((f) => Number(f.slice(kind.length + 1)))
    .sort((a, b) => a - b);
const seal = (lines: string[]): string => {
  const text = lines.join('\n');
  return `${crc32(text).toString(16)} ${text.length}\n${text}`;
};
const unseal = (raw: string | undefined): string[] | undefined => {
  const i = raw?.indexOf('\n') ?? -1;
  if (raw === undefined || i < 0) return undefined;
  const text = raw.slice(i + 1);
  return raw.slice(0, i) === `${crc32(text).toString(16)} ${text.length}` ? text.split('\n') : undefined;
};
const atOnce = async <X>(list: X[], fn: (x: X) => Promise<void>): Promise<void> => {
  const left = list.values();
  const work = async (): Promise<void> => {
    for (const x of left) await fn(x);
  };
  await Promise.all(Array.from({ length: readAtOnce }, work));
};

export const batches = {
  /** `prefix` names the documents of the former form. */
  open: <T>(o: { book: Logbook; index: Index<T>; prefix: string }): Batches<T> => {
    const { book, index } = o;
    const { disk } = book;
    const c = { batches: 0, records: 0 };
    /** Removed keys of which a file in effect still holds a record. */
    const gone = new Map<string, Gone>();
    const before = new Map<string, T>();
    let waiting = new Map<string, Waiting<T>>();
    let committing = false;
    let next = 1;
    let nextBase = 1;

    const place = (key: string, value: T | undefined, seq: number, at: Extent): void => {
      at.keys.push(key);
      const was = index.get(key) ?? gone.get(key);
      if (was && was.seq > seq) {
        was.older += 1;
        return;
      }
      const now = { seq, file: at, older: was ? was.older + 1 : 0 };
      if (value === undefined) {
        index.drop(key);
        gone.set(key, now);
      } else {
        gone.delete(key);
        index.set(key, { ...now, value });
      }
    };

    const take = (): Map<string, Waiting<T>> => {
      const taken = new Map<string, Waiting<T>>();
      let bytes = 0;
      for (const [key, w] of waiting) {
        if (taken.size > 0 && bytes + w.text.length > most.batchBytes) break;
        bytes += w.text.length;
        taken.set(key, w);
        waiting.delete(key);
      }
      return taken;
    };
    const commitOne = async (): Promise<void> => {
      const name = file('b', next);
      let batch: Map<string, Waiting<T>> | undefined;
      try {
        await disk.create(name, () => seal([...(batch = take()).values()].map((w) => w.text)));
      } catch (e) {
        for (const w of (batch ?? take()).values()) for (const fail of w.fail) fail(e as Error);
        return;
      }
      const at: Extent = { name, keys: [] };
      for (const [key, w] of batch!) place(key, w.value, next, at);
      next += 1;
      c.batches += 1;
      c.records += batch!.size;
      for (const w of batch!.values()) for (const done of w.done) done();
    };
    const commit = async (): Promise<void> => {
      if (committing) return;
      committing = true;
      while (waiting.size > 0) await commitOne();
      committing = false;
    };
    const put = (key: string, value: T | undefined): Promise<void> =>
      new Promise((done, fail) => {
        const text = JSON.stringify(value === undefined ? [key] : [key, value]);
        const with_ = waiting.get(key);
        waiting.set(key, { value, text, done: [...(with_?.done ?? []), done], fail: [...(with_?.fail ?? []), fail] });
        void commit();
      });

    type Line = { key: string; seq: number; value?: T };
    const lineOf = (x: Line): string =>
      JSON.stringify(x.value === undefined ? [x.key, x.seq] : [x.key, x.seq, x.value]);
    const writeBase = async (n: number, head: BaseHead, lines: string[]): Promise<Extent> => {
      await disk.put(file('base', n), seal([JSON.stringify(head), ...lines]));
      return { name: file('base', n), keys: [] };
    };
    /** Brings the documents of the former form into base files, none of which is in effect before the last is there. */
    const moveFormer = async (): Promise<void> => {
      const pieces: { lines: string[]; bytes: number; keys: string[] }[] = [];
      for (const [key, value] of before) {
        const line = lineOf({ key, seq: 0, value });
        let last = pieces[pieces.length - 1];
        if (!last || last.bytes + line.length > most.pieceBytes)
          pieces.push((last = { lines: [], bytes: 0, keys: [] }));
        last.lines.push(line);
        last.bytes += line.length;
        last.keys.push(key);
      }
      const first = nextBase;
      for (const [i, p] of pieces.entries()) {
        const parts = i === pieces.length - 1 ? pieces.map((_, j) => first + j) : [];
        const at = await writeBase(nextBase, { upTo: 0, parts }, p.lines);
        nextBase += 1;
        for (const key of p.keys) place(key, before.get(key), 0, at);
      }
      before.clear();
    };
    const dropFormer = async (): Promise<void> => {
      const old = book.names().filter((name) => name.startsWith(o.prefix));
      await atOnce(old, (name) => book.remove(name)).catch(() => undefined);
    };

    const readBase = async (n: number): Promise<{ head: BaseHead; lines: string[] } | undefined> => {
      const lines = unseal(await disk.get(file('base', n)));
      return lines && { head: JSON.parse(lines[0]!) as BaseHead, lines: lines.slice(1) };
    };
    const loadBases = async (all: string[]): Promise<BaseHead | undefined> => {
      const newest = numbers(all, 'base').pop();
      nextBase = (newest ?? 0) + 1;
      if (newest === undefined) return { upTo: 0, parts: [] };
      const head = (await readBase(newest))?.head;
      let sound = true;
      await atOnce(head?.parts ?? [], async (n) => {
        const lines = (await readBase(n))?.lines;
        sound &&= lines !== undefined;
        const at: Extent = { name: file('base', n), keys: [] };
        for (const line of lines ?? []) {
          const [key, seq, value] = JSON.parse(line) as [string, number, T?];
          place(key, value, seq, at);
        }
      });
      return sound ? head : undefined;
    };
    /** Batches after a base, without a gap; the last may be torn: it was not acknowledged. */
    const loadBatches = async (all: string[], upTo: number): Promise<boolean> => {
      const list = numbers(all, 'b').filter((n) => n > upTo);
      let sound = list.every((n, i) => n === upTo + 1 + i);
      next = upTo + list.length + 1;
      await atOnce(list, async (n) => {
        const lines = unseal(await disk.get(file('b', n)));
        const last = n === upTo + list.length;
        if (!lines && last) next = n;
        else if (!lines) sound = false;
        const at: Extent = { name: file('b', n), keys: [] };
        for (const line of lines ?? []) {
          const [key, value] = JSON.parse(line) as [string, T?];
          place(key, value, n, at);
        }
      });
      return sound;
    };
    const load = async (): Promise<boolean> => {
      const all = await disk.list();
      const head = await loadBases(all);
      if (!head || !(await loadBatches(all, head.upTo))) {
        book.sawDamage();
        return false;
      }
      const inEffect = (kind: Kind, n: number): boolean =>
        kind === 'base' ? head.parts.includes(n) : n > head.upTo && n < next;
      for (const kind of ['b', 'base'] as const)
        await atOnce(
          numbers(all, kind).filter((n) => !inEffect(kind, n)),
          (n) => disk.drop(file(kind, n)),
        );
      if (head.parts.length === 0 && before.size > 0) await moveFormer();
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
        waiting = new Map();
        next = 1;
        nextBase = 1;
      },
      counts: () => ({ ...c }),
    };
  },
};
