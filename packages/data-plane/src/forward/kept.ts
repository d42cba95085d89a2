// Turns that are kept (§5.9): each is a register of its own, written once before the end of its answer leaves. A turn
// names the chain before it, so that a continued one is put together from the turns of a tree. A chain is kept as long
// as its last turn: earlier ones whose time runs out sooner are kept on when a turn is added.
import type { Registers } from '@thornsail/register-store';
import { fault, duration, type Clock, type Microseconds } from '@thornsail/runtime';

/**
 * Input and output as Latin-1, a character a byte; `chain` from the oldest turn on, without this one. `until` is the
 * wall time up to which it is held, as it was when this copy was read.
 */
export type KeptTurn = { chain: string[]; input: string; output: string; until?: Microseconds };
export type KeptTurns = {
  /**
   * The turns of a chain up to `last`, oldest first, and whether this edge had it at hand; undefined if there is none
   * such. Throws rather than guess.
   */
  chain: (last: string, left: Microseconds) => Promise<{ ids: string[]; text: string; here: boolean } | undefined>;
  /** Resolves once a majority has it. */
  keep: (id: string, turn: KeptTurn, keepSeconds: number, left: Microseconds) => Promise<void>;
  bytes: () => number;
};

/** What this edge remembers of the turns that it kept or read: they never change. */
const memory = 24 << 20;
/** A turn's time begins when its answer has ended at the caller, and what continues it is on its way for a while. */
const slack = duration.s(5);
const register = (id: string): string => `turn/${id}`;
const sizeOf = (t: KeptTurn): number => t.input.length + t.output.length + 64 * (t.chain.length + 2);

const remembered = (): {
  get: (id: string) => KeptTurn | undefined;
  set: (id: string, t: KeptTurn) => void;
  size: () => number;
} => {
  const all = new Map<string, KeptTurn>();
  let size = 0;
  return {
    get: (id) => all.get(id),
    set: (id, t) => {
      const was = all.get(id);
      if (was) was.until = Math.max(was.until ?? 0, t.until ?? 0);
      if (was) return;
      all.set(id, t);
      size += sizeOf(t);
      for (const [old, x] of all) {
        if (size <= memory) break;
        all.delete(old);
        size -= sizeOf(x);
      }
    },
    size: () => size,
  };
};

export const kept = {
  open: (o: { clock: Clock; registers: Registers }): KeptTurns => {
    const near = remembered();
    /** Those that are not remembered are asked for together; a turn never changes once it is there. */
    const read = async (ids: string[], left: Microseconds): Promise<(KeptTurn | undefined)[]> => {
      const unknown = ids.filter((id) => !near.get(id));
      const got = unknown.length ? await o.registers.readMany(unknown.map(register), left, { once: true }) : [];
      const found = new Map(unknown.map((id, i) => [id, got[i] as KeptTurn | undefined]));
      for (const [id, t] of found) if (t) near.set(id, t);
      return ids.map((id) => found.get(id) ?? near.get(id));
    };
    /** Held for twice its span, so that one of a living chain is written again once in that span at most. */
    const hold = async (id: string, span: Microseconds, left: Microseconds, turn?: KeptTurn): Promise<void> => {
      const t = await o.registers.change<KeptTurn | undefined>(
        register(id),
        (v, w, promised) => {
          const was = v as KeptTurn | undefined;
          const next = was ?? turn;
          if (!next || (was && promised >= w.max + span)) return { keep: true, result: was };
          const value = { ...next, until: Math.max(promised, w.max + 2 * span) };
          return { stored: { value, expiresAt: value.until }, result: value };
        },
        left,
        { fresh: turn !== undefined },
      );
      if (t) near.set(id, t);
    };
    const endsSoon = (id: string, span: Microseconds): boolean => (near.get(id)?.until ?? 0) < o.clock.wall() + span;
    return {
      chain: async (last, left) => {
        const here = near.get(last) !== undefined;
        const [end] = await read([last], left);
        if (!end) return undefined;
        const before = await read(end.chain, left);
        // A chain is kept as long as its last turn: one that lacks a turn is not known for sure.
        if (before.some((t) => t === undefined))
          throw fault.make({ step: 'chain', code: 'no-majority' }, `${last}: an earlier turn was not found`);
        const turns = [...(before as KeptTurn[]), end];
        return { ids: [...end.chain, last], text: turns.map((t) => t.input + t.output).join(''), here };
      },
      keep: async (id, turn, keepSeconds, left) => {
        const span = duration.s(keepSeconds) + slack;
        const earlier = turn.chain.filter((x) => endsSoon(x, span)).map((x) => hold(x, span, left));
        await Promise.all([hold(id, span, left, turn), ...earlier]);
      },
      bytes: () => near.size(),
    };
  },
};
