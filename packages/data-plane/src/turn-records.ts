// What a turn writes down (§5.3 to §5.5): the claim of its key, the program's budget record, the kept conversation.
// Each is one register, changed by compare-and-set.
import type { Config } from '@thornsail/config-schema';
import { tokenBudget, type BudgetRecord } from '@thornsail/token-budget';
import { fault, time, duration, type Runtime, type Microseconds } from '@thornsail/runtime';
import type { Registers, WallClocks, Write } from '@thornsail/register-store';
import type { Plan } from './plan.js';

export type Chat = Plan & { kind: 'chat' };
export type Job = Plan & { kind: 'job' };
/**
 * A program's account (§5.3): whose budget, how much, and for how long it is remembered at least. `fresh`: this is
 * likely its first turn, so that there is no budget record yet; `past`: its last turn was
 * at another edge, and so many ballots its budget record has likely seen (§6.2).
 */
export type Account = {
  program: string;
  budget: number;
  keepSeconds: number;
  fresh?: boolean;
  past?: number;
};
/** A key's claim (§5.4): its register, and the digest of the request that comes with it. */
export type Key = { name: string; sum: string };
export type Done = {
  status: number;
  type: string;
  body: string;
  finish: string | null;
  prompt: number;
  completion: number;
};
/** A worker's answer that was passed on unread; its body as Latin-1, a character a byte (§5.7). */
export type Answer = { status: number; headers: string[]; body: string };
/** `sum` is the digest of the request that first came with the key. */
export type Once = { by: string; at: Microseconds; turn: string; done: Done | Answer | null; sum?: string };
/**
 * `marks` names the last turns kept, `ends` says how long the conversation was after each; `fenced` names the last
 * turns that are not kept any more.
 */
export type Kept = { messages: unknown[]; marks: string[]; ends?: number[]; fenced?: string[] };
export type Claimed = { ok: true } | { ok: false; once: Once };
/** `budget record` is what stands after the charge. */
export type Charged = { ok: true; budgetRecord: BudgetRecord } | { ok: false; why: 'spent' | 'open' };
export type TurnRecords = {
  claim: (k: Key, turn: string, left: Microseconds) => Promise<Claimed>;
  /** `quiet`: how long copies of this very attempt may still be on their way. */
  unclaim: (k: Key, turn: string, quiet?: Microseconds) => Promise<void>;
  record: (k: Key, turn: string, done: Done | Answer) => Promise<void>;
  budgetRecord: (program: string, left: Microseconds) => Promise<BudgetRecord | undefined>;
  charge: (a: Account, turn: string, reserve: number, left: Microseconds) => Promise<Charged>;
  settle: (
    a: Account,
    turn: string,
    e: { actual: number; tokens: number; worker: string | null },
    left: Microseconds,
  ) => Promise<void>;
  giveBack: (a: Account, turn: string) => Promise<void>;
  kept: (conversation: string, left: Microseconds) => Promise<Kept | undefined>;
  /** Keeps an exchange, if the conversation is still `base` messages long; else it throws. */
  append: (p: Chat, turn: string, base: number, said: unknown[], left: Microseconds) => Promise<void>;
  /** The reply that a turn with this key left in its conversation. */
  keptReply: (p: Chat | Job, left: Microseconds) => Promise<{ content?: unknown } | undefined>;
  /** As `keptReply`, and if it left none, it leaves none any more: a late append of it is refused (§5.5). */
  fence: (p: Chat | Job, left: Microseconds) => Promise<{ content?: unknown } | undefined>;
};
export const keyOf = (p: Chat | Job): Key => ({ name: `${p.cls}/${p.key!}`, sum: p.sum });
export const accountOf = (p: Chat): Account => ({
  program: p.program,
  budget: p.of.budgetTokens,
  keepSeconds: p.of.keepSeconds,
});

/** No turn is open for longer; its outcome counts as lost then. */
export const maxTurn = duration.s(300);
const edgeGone = duration.s(2);
const marksKept = 16;
const fencedKept = 64;
/** A refused key is free again after so long by its edge's own clock: less than the shortest Retry-After (§5.4). */
const refusedQuiet = duration.ms(900);
const largestKept = 65_536;
/** The reply of a turn that is kept under this mark. */
const replyOf = (v: Kept | undefined, mark: string): { content?: unknown } | undefined => {
  const end = v?.ends?.[v.marks.indexOf(mark)] ?? 0;
  return end > 0 ? (v!.messages[end - 1] as { content?: unknown } | undefined) : undefined;
};
/** What stands in place of a result that is too large to be kept; a copy is told that its outcome is not known. */
const tooLarge = (d: Done | Answer): Done | Answer =>
  'type' in d ? { ...d, body: '', type: 'too-large' } : { status: 0, headers: [], body: '' };

export const turnRecords = {
  open: (o: {
    runtime: Runtime;
    registers: Registers;
    me: string;
    limits: () => Config['limits'];
    inFlight: ReadonlySet<string>;
    deadFor: (id: string) => Microseconds;
  }): TurnRecords => {
    const { runtime, registers: regs, me, inFlight } = o;
    const log = runtime.log('data-plane');
    const keys = {
      once: (k: Key): string => `once/${k.name}`,
      program: (id: string): string => `program/${id}`,
      conv: (id: string): string => `conv/${id}`,
    };
    /** A shorter keeping time pushed meanwhile does not cut what was promised. */
    const until = (w: WallClocks, promised: Microseconds, secs: number): Microseconds =>
      Math.max(promised, w.max + duration.s(secs));
    /** Changes a value that must be there and this turn's; otherwise leaves it as it is. */
    const onceChange = (k: Key, turn: string, fn: (was: Once) => Once, left: Microseconds): Promise<void> =>
      regs.change<void>(
        keys.once(k),
        (v, w, promised) => {
          const was = v as Once | undefined;
          return was?.turn !== turn
            ? { keep: true, result: undefined }
            : {
                stored: { value: fn(was), expiresAt: until(w, promised, o.limits().onceKeepSeconds) },
                result: undefined,
              };
        },
        left,
      );
    /** A budget is remembered at least as long as the program's conversation can be resumed. */
    const budgetRecordUntil = (a: Account, w: WallClocks, promised: Microseconds): Microseconds =>
      until(w, promised, Math.max(o.limits().programKeepSeconds, a.keepSeconds));
    const changeBudgetRecord = (
      a: Account,
      fn: (was: BudgetRecord | undefined) => BudgetRecord | undefined,
      left: Microseconds,
    ): Promise<void> =>
      regs.change<void>(
        keys.program(a.program),
        (v, w, promised): Write<void> => {
          const next = fn(v as BudgetRecord | undefined);
          return next === v || next === undefined
            ? { keep: true, result: undefined }
            : { stored: { value: next, expiresAt: budgetRecordUntil(a, w, promised) }, result: undefined };
        },
        left,
      );
    return {
      claim: (k, turn, left) =>
        regs.change<Claimed>(
          keys.once(k),
          (v, w, promised) => {
            const was = v as Once | undefined;
            if (was && was.turn !== turn) return { keep: true, result: { ok: false, once: was } };
            const once: Once = { by: me, at: w.max, turn, done: null, sum: k.sum };
            return {
              stored: { value: once, expiresAt: until(w, promised, o.limits().onceKeepSeconds) },
              result: { ok: true },
            };
          },
          left,
          { fresh: true },
        ),
      /** Only from a stage in which nothing was sent. */
      unclaim: async (k, turn, quiet = refusedQuiet) => {
        // A copy that was already on its way must not run after "not run" was said: until the caller may come back
        // the key stays claimed. The time is this edge's own; no two machines' clocks are compared (§5.4).
        if (quiet > 0) await time.sleep(runtime.clock, quiet);
        const free = (v: unknown): Write<void> =>
          (v as Once | undefined)?.turn === turn
            ? { stored: null, result: undefined }
            : { keep: true, result: undefined };
        await regs.change<void>(keys.once(k), free, duration.s(2)).catch(() => undefined);
      },
      record: (k, turn, done) => {
        const small = done.body.length > largestKept ? tooLarge(done) : done;
        return onceChange(k, turn, (was) => ({ ...was, done: small }), duration.ms(900)).catch((e) =>
          log(`a once-result was not recorded: ${fault.text(e)}.`),
        );
      },
      budgetRecord: (program, left) => regs.read(keys.program(program), left) as Promise<BudgetRecord | undefined>,
      charge: (a, turn, reserve, left) =>
        regs.change<Charged>(
          keys.program(a.program),
          (v, w, promised) => {
            const r = tokenBudget.charge(v as BudgetRecord | undefined, {
              turn,
              by: me,
              reserve,
              budget: a.budget,
              at: w.max,
              isLost: (x) =>
                x.by === me ? !inFlight.has(x.turn) : o.deadFor(x.by) > edgeGone || w.min - x.at > maxTurn,
            });
            if (r.type !== 'charged')
              return { keep: true, result: { ok: false, why: r.type === 'exhausted' ? 'spent' : 'open' } };
            const result: Charged = { ok: true, budgetRecord: r.record };
            return { stored: { value: r.record, expiresAt: budgetRecordUntil(a, w, promised) }, result };
          },
          left,
          { fresh: a.fresh === true, past: a.past ?? 0 },
        ),
      settle: (a, turn, e, left) => changeBudgetRecord(a, (was) => tokenBudget.settle(was, { turn, ...e }), left),
      giveBack: (a, turn) =>
        changeBudgetRecord(a, (was) => tokenBudget.giveBack(was, turn), duration.ms(800)).catch(() => undefined),
      kept: async (conversation, left) => {
        const v = (await regs.read(keys.conv(conversation), left)) as Kept | undefined;
        // One that holds nothing but a fence is not there yet.
        return v?.messages.length ? v : undefined;
      },
      append: async (p, turn, base, said, left) => {
        const mark = p.key === null ? turn : keys.once(keyOf(p));
        const ok = await regs.change<boolean>(
          keys.conv(p.conversation!),
          (v, w, promised) => {
            const was = (v as Kept | undefined) ?? { messages: [], marks: [] };
            if (was.marks.includes(mark)) return { keep: true, result: true };
            // The reply belongs to what its worker was given: another turn kept since then leaves no place for it.
            if (was.messages.length !== base) return { keep: true, result: false };
            // Its caller was told that its outcome is not known, and may have sent the message under another key.
            if (was.fenced?.includes(mark)) return { keep: true, result: false };
            const messages = [...was.messages, ...said];
            const next: Kept = {
              ...was,
              messages,
              marks: [...was.marks, mark].slice(-marksKept),
              ends: [...(was.ends ?? was.marks.map(() => -1)), messages.length].slice(-marksKept),
            };
            return { stored: { value: next, expiresAt: until(w, promised, p.of.keepSeconds) }, result: true };
          },
          left,
        );
        if (!ok) throw fault.make({ step: 'append' }, 'another turn was kept meanwhile, or this one was fenced');
      },
      keptReply: async (p, left) => {
        if (p.kind !== 'chat' || p.conversation === null) return undefined;
        return replyOf((await regs.read(keys.conv(p.conversation), left)) as Kept | undefined, keys.once(keyOf(p)));
      },
      fence: async (p, left) => {
        if (p.kind !== 'chat' || p.conversation === null) return undefined;
        const mark = keys.once(keyOf(p));
        return regs.change<{ content?: unknown } | undefined>(
          keys.conv(p.conversation),
          (v, w, promised) => {
            const was = (v as Kept | undefined) ?? { messages: [], marks: [] };
            if (was.marks.includes(mark) || was.fenced?.includes(mark))
              return { keep: true, result: replyOf(was, mark) };
            const next: Kept = { ...was, fenced: [...(was.fenced ?? []), mark].slice(-fencedKept) };
            return { stored: { value: next, expiresAt: until(w, promised, p.of.keepSeconds) }, result: undefined };
          },
          left,
        );
      },
    };
  },
};
