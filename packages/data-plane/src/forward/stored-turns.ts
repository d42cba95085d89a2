/**
 * Turns that are stored (§5.9): each is a register of its own, written once before the end of its answer leaves. A turn
 * names the chain before it, so that a continued one is put together from the turns of a tree. A chain is retained as
 * long as its last turn: earlier ones whose time runs out sooner are retained longer when a turn is added.
 */
import type { Registers } from '@thornsail/register-store';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { internalErrors } from '../errors.js';

/**
 * A turn as it is stored. Input and output as Latin-1, a character a byte; `chain` from the oldest turn on, without
 * this one. `until` is the wall-clock time up to which it is retained, as it was when this copy was read.
 */
export type StoredTurn = { chain: string[]; input: string; output: string; until?: Microseconds };
/** The turns of a chain, oldest first; `here`: this gateway had the last one in its cache. */
export type Chain = { ids: string[]; text: string; here: boolean };
/** The stored turns, as one gateway uses them. Time limits are microseconds. */
export type StoredTurns = {
  /** The turns up to `last`; undefined if there is no such turn. Rejects rather than guess. */
  chain: (last: string, timeout: Microseconds) => Promise<Chain | undefined>;
  /** Resolves once a majority has it. */
  store: (id: string, turn: StoredTurn, keepSeconds: number, timeout: Microseconds) => Promise<void>;
  /** Size of the cache. */
  bytes: () => number;
};

/** Bytes of the turns that this gateway stored or read, and remembers: they never change. */
const cacheSize = 24 << 20;
/** A turn's time begins when its answer has ended at the caller, and what continues it is on its way for a while. */
const slack = duration.s(5);
/** Bytes of an id in a cached turn, about. */
const idSize = 64;
const registerOf = (id: string): string => `turn/${id}`;
const sizeOf = (turn: StoredTurn): number => turn.input.length + turn.output.length + idSize * (turn.chain.length + 2);

type Cache = {
  get: (id: string) => StoredTurn | undefined;
  /** The oldest entries are dropped first. */
  set: (id: string, turn: StoredTurn) => void;
  size: () => number;
};
const openCache = (): Cache => {
  const entries = new Map<string, StoredTurn>();
  let size = 0;
  return {
    get: (id) => entries.get(id),
    set: (id, turn) => {
      const known = entries.get(id);
      if (known) known.until = Math.max(known.until ?? 0, turn.until ?? 0);
      if (known) return;
      entries.set(id, turn);
      size += sizeOf(turn);
      for (const [oldest, entry] of entries) {
        if (size <= cacheSize) break;
        entries.delete(oldest);
        size -= sizeOf(entry);
      }
    },
    size: () => size,
  };
};

const open = ({ clock, registers }: { clock: Clock; registers: Registers }): StoredTurns => {
  const cache = openCache();
  /** Those that are not cached are read together; a turn never changes once it is there. */
  const read = async (ids: string[], timeout: Microseconds): Promise<(StoredTurn | undefined)[]> => {
    const unknown = ids.filter((id) => !cache.get(id));
    const values = unknown.length ? await registers.readMany(unknown.map(registerOf), timeout, { once: true }) : [];
    const found = new Map(unknown.map((id, i) => [id, values[i] as StoredTurn | undefined]));
    for (const [id, turn] of found) if (turn) cache.set(id, turn);
    return ids.map((id) => found.get(id) ?? cache.get(id));
  };
  /** Retained for twice its span, so that one of a living chain is written again once in that span at most. */
  const retain = async (id: string, span: Microseconds, timeout: Microseconds, turn?: StoredTurn): Promise<void> => {
    const stored = await registers.change<StoredTurn | undefined>(
      registerOf(id),
      (existing, wall, promised) => {
        const current = existing as StoredTurn | undefined;
        const next = current ?? turn;
        if (!next || (current && promised >= wall.max + span)) return { keep: true, result: current };
        const value = { ...next, until: Math.max(promised, wall.max + 2 * span) };
        return { stored: { value, expiresAt: value.until }, result: value };
      },
      timeout,
      { fresh: turn !== undefined },
    );
    if (stored) cache.set(id, stored);
  };
  const endsSoon = (id: string, span: Microseconds): boolean => (cache.get(id)?.until ?? 0) < clock.wallTime() + span;
  const chain: StoredTurns['chain'] = async (last, timeout) => {
    const here = cache.get(last) !== undefined;
    const [end] = await read([last], timeout);
    if (!end) return undefined;
    const before = await read(end.chain, timeout);
    // A chain is retained as long as its last turn: one that lacks a turn is not known for sure.
    if (before.some((turn) => turn === undefined))
      throw internalErrors.create('chain-incomplete', { step: 'chain', peer: last });
    const turns = [...(before as StoredTurn[]), end];
    return { ids: [...end.chain, last], text: turns.map((turn) => turn.input + turn.output).join(''), here };
  };
  const store: StoredTurns['store'] = async (id, turn, keepSeconds, timeout) => {
    const span = duration.s(keepSeconds) + slack;
    const earlier = turn.chain
      .filter((ancestor) => endsSoon(ancestor, span))
      .map((ancestor) => retain(ancestor, span, timeout));
    await Promise.all([retain(id, span, timeout, turn), ...earlier]);
  };
  return { chain, store, bytes: () => cache.size() };
};

/** Opens the stored turns for one gateway. */
export const storedTurns = { open };
