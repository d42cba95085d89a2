// What a proposer remembers of registers (§6.2): the newest value it saw, and a ballot that a majority has promised it.
import { LRUMapWithDelete } from 'mnemonist';
import type { Microseconds } from '@thornsail/runtime';
import type { Ballot, Held } from './messages.js';

/** The wall as the stores see it: a moved clock on one of them must not age a value (§6.4). */
export type Walls = { min: Microseconds; max: Microseconds };
export type Known = {
  mark: number;
  /** The ballot under which `held` was accepted. */
  accepted: Ballot;
  held: Held | null;
  extended: Microseconds;
  /** A majority has promised this ballot to this proposer: a change needs no prepare. */
  next?: Ballot;
  walls: Walls;
  at: Microseconds;
};
export type Remembered = {
  get: (key: string) => Known | undefined;
  set: (key: string, k: Known) => void;
  drop: (key: string) => void;
  bytes: () => number;
};

const most = { keys: 4096, bytes: 16 << 20 };
const sizeOf = (k: Known): number => 400 + (k.held ? (JSON.stringify(k.held.value) ?? '').length : 0);

export const remembered = (limit = most): Remembered => {
  type Entry = { k: Known; key: string; size: number; off: boolean };
  const all = new LRUMapWithDelete<string, Entry>(limit.keys);
  /** In the order in which they came: what is over the bytes goes from its start. */
  let line: Entry[] = [];
  let bytes = 0;
  const out = (e: Entry | undefined): void => {
    if (!e || e.off) return;
    e.off = true;
    bytes -= e.size;
  };
  const trim = (): void => {
    let gone = 0;
    for (; bytes > limit.bytes && gone < line.length - 1; gone++) {
      const e = line[gone]!;
      if (!e.off) all.delete(e.key);
      out(e);
    }
    if (gone > 0) line = line.slice(gone);
    if (line.length > 2 * limit.keys) line = line.filter((e) => !e.off);
  };
  return {
    get: (key) => all.get(key)?.k,
    set: (key, k) => {
      out(all.peek(key));
      const e: Entry = { k, key, size: sizeOf(k), off: false };
      const old = all.setpop(key, e) as { evicted: boolean; value: Entry } | null;
      if (old?.evicted) out(old.value);
      bytes += e.size;
      line.push(e);
      trim();
    },
    drop: (key) => {
      out(all.peek(key));
      all.delete(key);
    },
    bytes: () => bytes,
  };
};
