/** Conversations of the product's interface (§5.5): a register for each, changed by compare-and-set. */
import type { Registers } from '@thornsail/register-store';
import type { Microseconds } from '@thornsail/runtime';
import { internalErrors } from '../errors.js';
import type { ChatPlan, JobPlan } from '../plan.js';
import { idempotencyKeyOf, registerOfKey } from './idempotency-keys.js';
import { retainUntil } from './retention.js';

/**
 * A conversation as it is stored. `marks` names the last turns that were appended, `ends` says how long the
 * conversation was after each; `fenced` names the last turns that are not appended any more.
 */
export type Conversation = { messages: unknown[]; marks: string[]; ends?: number[]; fenced?: string[] };
/** A model's reply, as it stands in a conversation. */
export type StoredReply = { content?: unknown };
/** The conversations, as a gateway uses them. Time limits are microseconds; all reject where no majority answered. */
export type Conversations = {
  /** Undefined if it has no messages. */
  read: (conversation: string, timeout: Microseconds) => Promise<Conversation | undefined>;
  /** Stores an exchange, if the conversation is still `base` messages long; else it rejects. */
  append: (plan: ChatPlan, turn: string, base: number, said: unknown[], timeout: Microseconds) => Promise<void>;
  /** The reply that a turn with this key left in its conversation. */
  storedReply: (plan: ChatPlan | JobPlan, timeout: Microseconds) => Promise<StoredReply | undefined>;
  /** As `storedReply`, and if it left none, it leaves none any more: a late append of it is rejected (§5.5). */
  fence: (plan: ChatPlan | JobPlan, timeout: Microseconds) => Promise<StoredReply | undefined>;
};

/** How many of its last turns a conversation names: those appended, and those fenced. */
const maxMarks = 16;
const maxFenced = 64;
const registerOf = (conversation: string): string => `conv/${conversation}`;
const empty = (): Conversation => ({ messages: [], marks: [] });
/** Names a turn with a key within its conversation. */
const markOf = (plan: ChatPlan | JobPlan): string => registerOfKey(idempotencyKeyOf(plan));

/** The reply of a turn that stands under this mark. */
const replyOf = (conversation: Conversation | undefined, mark: string): StoredReply | undefined => {
  const end = conversation?.ends?.[conversation.marks.indexOf(mark)] ?? 0;
  return end > 0 ? (conversation!.messages[end - 1] as StoredReply | undefined) : undefined;
};
const appended = (current: Conversation, mark: string, said: unknown[]): Conversation => {
  const messages = [...current.messages, ...said];
  return {
    ...current,
    messages,
    marks: [...current.marks, mark].slice(-maxMarks),
    ends: [...(current.ends ?? current.marks.map(() => -1)), messages.length].slice(-maxMarks),
  };
};

const open = ({ registers }: { registers: Registers }): Conversations => {
  const read: Conversations['read'] = async (conversation, timeout) => {
    const stored = (await registers.read(registerOf(conversation), timeout)) as Conversation | undefined;
    // One that holds nothing but a fence is not there yet.
    return stored?.messages.length ? stored : undefined;
  };
  const append: Conversations['append'] = async (plan, turn, base, said, timeout) => {
    const mark = plan.key === null ? turn : markOf(plan);
    const ok = await registers.change<boolean>(
      registerOf(plan.conversation!),
      (value, wall, promised) => {
        const current = (value as Conversation | undefined) ?? empty();
        if (current.marks.includes(mark)) return { keep: true, result: true };
        // The reply belongs to what its worker was given: another turn appended since then leaves no place for it.
        if (current.messages.length !== base) return { keep: true, result: false };
        // Its caller was told that its outcome is not known, and may have sent the message under another key.
        if (current.fenced?.includes(mark)) return { keep: true, result: false };
        const expiresAt = retainUntil(wall, promised, plan.of.keepSeconds);
        return { stored: { value: appended(current, mark, said), expiresAt }, result: true };
      },
      timeout,
    );
    if (!ok) throw internalErrors.create('append-refused', { step: 'append' });
  };
  const storedReply: Conversations['storedReply'] = async (plan, timeout) => {
    if (plan.kind !== 'chat' || plan.conversation === null) return undefined;
    const stored = (await registers.read(registerOf(plan.conversation), timeout)) as Conversation | undefined;
    return replyOf(stored, markOf(plan));
  };
  const fence: Conversations['fence'] = async (plan, timeout) => {
    if (plan.kind !== 'chat' || plan.conversation === null) return undefined;
    const mark = markOf(plan);
    return registers.change<StoredReply | undefined>(
      registerOf(plan.conversation),
      (value, wall, promised) => {
        const current = (value as Conversation | undefined) ?? empty();
        if (current.marks.includes(mark) || current.fenced?.includes(mark))
          return { keep: true, result: replyOf(current, mark) };
        const next: Conversation = { ...current, fenced: [...(current.fenced ?? []), mark].slice(-maxFenced) };
        const expiresAt = retainUntil(wall, promised, plan.of.keepSeconds);
        return { stored: { value: next, expiresAt }, result: undefined };
      },
      timeout,
    );
  };
  return { read, append, storedReply, fence };
};

/** Opens the conversations for one gateway. */
export const conversations = { open };
