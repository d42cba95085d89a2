// Callers that hold a conversation: several turns, each with its retries, and a look at what is stored at the end.
import { duration, readText, time, type Microseconds } from '@thornsail/runtime';
import type { Account } from './account.js';
import { keptProblems, type Message } from './conversation-check.js';
import { attemptTurn, type TurnRequest, type TurnResult } from './turn.js';

/** A conversation of so many turns; `kept`: the system stores it. */
export type Chat = { turns: number; kept: boolean; program: string };

const recallAttempts = 20;
const recallTimeout: Microseconds = duration.s(2);
const recallPause: Microseconds = duration.ms(500);
const turnAttempts = 5;
const usualRetry: Microseconds = duration.ms(300);
const retryJitter: Microseconds = duration.ms(200);
const keyedShare = 0.7;
/** A mobile caller changes its gateway now and then. */
const moveShare = 0.2;

/** What is stored under a name; undefined if no gateway could say. */
const recall = async (account: Account, conversation: string): Promise<Message[] | 'missing' | undefined> => {
  const { net, clock } = account.options.runtime;
  const path = `/v1/conversations/${conversation}`;
  for (let i = 0; i < recallAttempts; i++) {
    try {
      const response = await net.request({ at: account.gateway(), method: 'GET', path, headersTimeout: recallTimeout });
      const text = await readText(response.body);
      if (response.status === 200) return (JSON.parse(text) as { messages: Message[] }).messages;
      if (response.status === 404) return 'missing';
    } catch {
      /* Another gateway is asked. */
    }
    await time.sleep(clock, recallPause);
  }
  return undefined;
};

/** The reply to a message whose outcome is not known: stored, not stored (null), or nobody could say (undefined). */
const storedReply = async (
  account: Account,
  conversation: string,
  user: Message,
): Promise<{ reply: string | null } | undefined> => {
  const all = await recall(account, conversation);
  if (all === undefined) return undefined;
  const i = all === 'missing' ? -1 : all.findIndex(({ role, content }) => role === 'user' && content === user.content);
  return { reply: i < 0 ? null : (all[i + 1] as Message).content };
};

/** One turn with its retries, as a client would: another gateway, the same key; a new one only if it did not run. */
const completeTurn = async (
  account: Account,
  request: TurnRequest,
  user: Message,
  isKeyed: boolean,
): Promise<TurnResult> => {
  const { runtime, rand } = account.options;
  let result: TurnResult | undefined;
  let keysUsed = 0;
  for (let i = 0; i < turnAttempts; i++) {
    result = await attemptTurn(account, { ...request, key: isKeyed ? `${request.key}.${keysUsed}` : null });
    if (result.ok || result.why === 'budget_spent') return result;
    request.at = account.gateway();
    if (result.why === 'outcome_unknown' && isKeyed) {
      const stored = await storedReply(account, request.conversation!, user);
      if (typeof stored?.reply === 'string') return { ok: true, content: stored.reply, waited: result.waited };
      // Another key only once it is known that the message is not stored (§5.5).
      if (stored) keysUsed += 1;
    }
    await time.sleep(runtime.clock, (result.retry ?? usualRetry) + rand.int(retryJitter));
  }
  return result!;
};

type History = { sent: Message[]; replies: Map<string, string> };
const checkStored = async (
  account: Account,
  conversation: string,
  { sent, replies }: History,
  isKeyed: boolean,
): Promise<void> => {
  const { summary } = account;
  const stored = await recall(account, conversation);
  if (stored === undefined) {
    summary.gaveUp += 1;
  } else if (stored === 'missing') {
    summary.breaches.push(`conversation ${conversation} reported missing`);
  } else {
    for (const problem of keptProblems(sent, replies, stored, isKeyed))
      summary.breaches.push(`conversation ${conversation}: ${problem}`);
    summary.recalled += 1;
  }
};

/** Holds a conversation and checks what is stored of it. */
export const holdChat = async (account: Account, { turns, kept, program }: Chat): Promise<void> => {
  const { options, summary } = account;
  const { rand, classes, gap, runtime } = options;
  if (kept) summary.kept += 1;
  else summary.chats += 1;
  const cls = kept ? classes.kept : classes.chat;
  const conversation = kept ? `c-${program}` : null;
  const isKeyed = kept && rand.next() < keyedShare;
  const spoken: Message[] = [];
  const history: History = { sent: [], replies: new Map() };
  let at = account.gateway();
  for (let i = 0; i < turns; i++) {
    const last = i === turns - 1 ? ' [last]' : '';
    const filler = 'x'.repeat(40 + rand.int(kept ? 400 : 160));
    const user = { role: 'user', content: `${program} turn ${i + 1}${last} ${filler}` };
    history.sent.push(user);
    const messages = kept ? [user] : [...spoken, user];
    const request = { at, program, cls, messages, conversation, key: `${program}.${i}` };
    const result = await completeTurn(account, request, user, isKeyed);
    if (!result.ok) {
      summary.gaveUp += 1;
      break;
    }
    summary.chatWaits.push(result.waited);
    spoken.push(user, { role: 'assistant', content: result.content });
    history.replies.set(user.content, result.content);
    if (rand.next() < moveShare) at = account.gateway();
    await time.sleep(runtime.clock, gap + rand.int(gap));
  }
  if (conversation && history.replies.size > 0) await checkStored(account, conversation, history, isKeyed);
};
