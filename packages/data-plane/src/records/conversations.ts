/** Conversations of the product API (§5.5): one register for each, changed by compare-and-set. */
import type { Registers } from '@thornsail/register-store';
import type { Microseconds } from '@thornsail/runtime';
import { internalErrors } from '../errors.js';
import type { ChatPlan, JobPlan } from '../plan.js';
import { idempotencyKeyOf, registerOfKey } from './idempotency-keys.js';
import { retainUntil } from './retention.js';

/**
 * A conversation as stored. `marks`: IDs of the turns appended last; `ends`: length of the conversation after each of
 * them, -1 if unknown; `fenced`: IDs of recent turns that must not be appended any more.
 */
export type Conversation = { messages: unknown[]; marks: string[]; ends?: number[]; fenced?: string[] };
/** A model's reply within a stored conversation. */
export type StoredReply = { content?: unknown };
/** Operations on conversations. All reject if no majority of stores answers. */
export type Conversations = {
  /** Undefined if the conversation has no messages. */
  read: (conversation: string, timeout: Microseconds) => Promise<Conversation | undefined>;
  /**
   * Appends the messages of a turn if the conversation still has `base` messages and the turn is not fenced; otherwise
   * rejects with `append-refused`. Appending the same turn again does nothing.
   */
  append: (plan: ChatPlan, turn: string, base: number, messages: unknown[], timeout: Microseconds) => Promise<void>;
  /** The reply that the turn with this plan's key stored in its conversation; undefined if it stored none. */
  storedReply: (plan: ChatPlan | JobPlan, timeout: Microseconds) => Promise<StoredReply | undefined>;
  /** As `storedReply`; without a reply it also fences the turn, so that a late append of it is rejected (§5.5). */
  fence: (plan: ChatPlan | JobPlan, timeout: Microseconds) => Promise<StoredReply | undefined>;
};

/** How many turn IDs a conversation remembers: of turns appended, and of turns fenced. */
const maxMarks = 16;
const maxFenced = 64;
const registerOf = (conversation: string): string => `conv/${conversation}`;
const empty = (): Conversation => ({ messages: [], marks: [] });
/** The ID, within its conversation, of a turn that has an idempotency key. */
const turnIdOf = (plan: ChatPlan | JobPlan): string => registerOfKey(idempotencyKeyOf(plan));

/** The reply of a turn; undefined if the turn was not appended or its reply can no longer be located. */
const replyOf = (conversation: Conversation | undefined, turnId: string): StoredReply | undefined => {
  const end = conversation?.ends?.[conversation.marks.indexOf(turnId)] ?? 0;
  return end > 0 ? (conversation!.messages[end - 1] as StoredReply | undefined) : undefined;
};
const withTurn = (current: Conversation, turnId: string, newMessages: unknown[]): Conversation => {
  const messages = [...current.messages, ...newMessages];
  return {
    ...current,
    messages,
    marks: [...current.marks, turnId].slice(-maxMarks),
    ends: [...(current.ends ?? current.marks.map(() => -1)), messages.length].slice(-maxMarks),
  };
};

const open = ({ registers }: { registers: Registers }): Conversations => {
  const read: Conversations['read'] = async (conversation, timeout) => {
    const stored = (await registers.read(registerOf(conversation), timeout)) as Conversation | undefined;
    // A register that holds only fenced turns is not a conversation yet.
    return stored?.messages.length ? stored : undefined;
  };
  const append: Conversations['append'] = async (plan, turn, base, messages, timeout) => {
    const turnId = plan.key === null ? turn : turnIdOf(plan);
    const ok = await registers.change<boolean>(
      registerOf(plan.conversation!),
      (value, wall, promised) => {
        const current = (value as Conversation | undefined) ?? empty();
        if (current.marks.includes(turnId)) return { keep: true, result: true };
        // The worker got a conversation of `base` messages: if another turn was appended since, the reply is stale.
        if (current.messages.length !== base) return { keep: true, result: false };
        // The caller got `outcome_unknown` and may have sent the message again under another key.
        if (current.fenced?.includes(turnId)) return { keep: true, result: false };
        const expiresAt = retainUntil(wall, promised, plan.classSettings.keepSeconds);
        return { stored: { value: withTurn(current, turnId, messages), expiresAt }, result: true };
      },
      timeout,
    );
    if (!ok) throw internalErrors.create('append-refused', { step: 'append' });
  };
  const storedReply: Conversations['storedReply'] = async (plan, timeout) => {
    if (plan.kind !== 'chat' || plan.conversation === null) return undefined;
    const stored = (await registers.read(registerOf(plan.conversation), timeout)) as Conversation | undefined;
    return replyOf(stored, turnIdOf(plan));
  };
  const fence: Conversations['fence'] = async (plan, timeout) => {
    if (plan.kind !== 'chat' || plan.conversation === null) return undefined;
    const turnId = turnIdOf(plan);
    return registers.change<StoredReply | undefined>(
      registerOf(plan.conversation),
      (value, wall, promised) => {
        const current = (value as Conversation | undefined) ?? empty();
        if (current.marks.includes(turnId) || current.fenced?.includes(turnId))
          return { keep: true, result: replyOf(current, turnId) };
        const next: Conversation = { ...current, fenced: [...(current.fenced ?? []), turnId].slice(-maxFenced) };
        const expiresAt = retainUntil(wall, promised, plan.classSettings.keepSeconds);
        return { stored: { value: next, expiresAt }, result: undefined };
      },
      timeout,
    );
  };
  return { read, append, storedReply, fence };
};

/** Opens the conversations of one gateway. */
export const conversations = { open };
