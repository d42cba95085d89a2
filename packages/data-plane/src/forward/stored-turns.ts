/**
 * Stored turns (§5.9): each is a register of its own, written once before the end of its response is sent. A turn lists
 * the chain of turns before it; turns may share ancestors, so stored turns form a tree. A chain is retained as long as
 * its last turn: when a turn is added, the retention of earlier turns that would expire sooner is extended.
 */
import type { Registers } from '@thornsail/register-store';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import { internalErrors } from '../errors.js';

/**
 * The stored form of a turn. Input and output are Latin-1, one character a byte. `chain` holds the ids of the earlier
 * turns, oldest first. `until` is the wall-clock time up to which the turn was retained when this copy was read.
 */
export type StoredTurn = { chain: string[]; input: string; output: string; until?: Microseconds };
/** A chain of turns, oldest first. `text`: inputs and outputs joined; `cached`: the last turn was in the cache. */
export type Chain = { ids: string[]; text: string; cached: boolean };
/** One gateway's access to the stored turns. Timeouts are in microseconds. */
export type StoredTurns = {
  /** The chain up to `last`; undefined if there is no such turn. Rejects where that cannot be determined. */
  chain: (last: string, timeout: Microseconds) => Promise<Chain | undefined>;
  /** Resolves once a majority has stored the turn. */
  store: (id: string, turn: StoredTurn, keepSeconds: number, timeout: Microseconds) => Promise<void>;
  /** Whether the stores take new turns. */
  hasSpace: () => boolean;
  /** Size of the cache in bytes. */
  bytes: () => number;
};

/** In bytes. The cache holds turns that this gateway has stored or read; a stored turn never changes. */
const maxCacheSize = 24 << 20;
/** Added to the retention, which begins at the response's end at the caller: a continuing turn takes time to arrive. */
const retentionMargin = duration.s(5);
/** Approximate size of an id in a cached turn, in bytes. */
const idSize = 64;
const registerOf = (id: string): string => `turn/${id}`;
const sizeOf = (turn: StoredTurn): number => turn.input.length + turn.output.length + idSize * (turn.chain.length + 2);

type Cache = {
  get: (id: string) => StoredTurn | undefined;
  /** Evicts the oldest entries when the cache is full. */
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
        if (size <= maxCacheSize) break;
        entries.delete(oldest);
        size -= sizeOf(entry);
      }
    },
    size: () => size,
  };
};

const open = ({ clock, registers }: { clock: Clock; registers: Registers }): StoredTurns => {
  const cache = openCache();
  /** Reads the turns that are not cached in one round; `once`: a turn never changes after it is stored. */
  const read = async (ids: string[], timeout: Microseconds): Promise<(StoredTurn | undefined)[]> => {
    const unknown = ids.filter((id) => !cache.get(id));
    const values = unknown.length ? await registers.readMany(unknown.map(registerOf), timeout, { once: true }) : [];
    const found = new Map(unknown.map((id, i) => [id, values[i] as StoredTurn | undefined]));
    for (const [id, turn] of found) if (turn) cache.set(id, turn);
    return ids.map((id) => found.get(id) ?? cache.get(id));
  };
  /** Retains for twice the span, so that a turn of a continued chain is rewritten at most once in a span. */
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
      { expectAbsent: turn !== undefined },
    );
    if (stored) cache.set(id, stored);
  };
  const expiresWithin = (id: string, span: Microseconds): boolean =>
    (cache.get(id)?.until ?? 0) < clock.wallTime() + span;
  const chain: StoredTurns['chain'] = async (last, timeout) => {
    const cached = cache.get(last) !== undefined;
    const [end] = await read([last], timeout);
    if (!end) return undefined;
    const earlier = await read(end.chain, timeout);
    // A chain is retained as long as its last turn, so a missing turn means that the read was incomplete.
    if (earlier.some((turn) => turn === undefined))
      throw internalErrors.create('chain-incomplete', { step: 'chain', peer: last });
    const turns = [...(earlier as StoredTurn[]), end];
    return { ids: [...end.chain, last], text: turns.map((turn) => turn.input + turn.output).join(''), cached };
  };
  const store: StoredTurns['store'] = async (id, turn, keepSeconds, timeout) => {
    const span = duration.s(keepSeconds) + retentionMargin;
    const extensions = turn.chain
      .filter((ancestor) => expiresWithin(ancestor, span))
      .map((ancestor) => retain(ancestor, span, timeout));
    await Promise.all([retain(id, span, timeout, turn), ...extensions]);
  };
  return { chain, store, hasSpace: registers.hasSpace, bytes: () => cache.size() };
};

/** Opens one gateway's access to the stored turns. */
export const storedTurns = { open };
