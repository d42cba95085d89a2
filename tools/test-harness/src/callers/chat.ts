// Callers that hold a conversation: several turns with retries, then a check of the stored conversation.
import { duration, readText, time, type Microseconds } from '@thornsail/runtime';
import type { CallerState } from './caller-state.js';
import { conversationProblems, type Message } from './conversation-check.js';
import { attemptTurn, type TurnRequest, type TurnResult } from './turn.js';

/** A conversation: its number of turns, whether the serving tier stores it, and its program ID. */
export type Chat = { turns: number; stored: boolean; program: string };

const readAttempts = 20;
const readTimeout: Microseconds = duration.s(2);
const readRetryDelay: Microseconds = duration.ms(500);
const turnAttempts = 5;
const defaultRetryDelay: Microseconds = duration.ms(300);
const retryJitter: Microseconds = duration.ms(200);
/** Share of the stored conversations whose turns carry an idempotency key. */
const keyedChatShare = 0.7;
/** Probability that a caller changes its gateway after a turn, as mobile clients do. */
const gatewayChangeShare = 0.2;

/** Reads a stored conversation; undefined if no gateway returned it or reported it missing. */
const readConversation = async (
  state: CallerState,
  conversation: string,
): Promise<Message[] | 'missing' | undefined> => {
  const { net, clock } = state.options.runtime;
  const path = `/v1/conversations/${conversation}`;
  for (let i = 0; i < readAttempts; i++) {
    try {
      const response = await net.request({ at: state.gateway(), method: 'GET', path, headersTimeout: readTimeout });
      const text = await readText(response.body);
      if (response.status === 200) return (JSON.parse(text) as { messages: Message[] }).messages;
      if (response.status === 404) return 'missing';
    } catch {
      /* Retried at another gateway. */
    }
    await time.sleep(clock, readRetryDelay);
  }
  return undefined;
};

/** The stored reply to a message of unknown outcome; null: the message is not stored; undefined: not known. */
const storedReply = async (
  state: CallerState,
  conversation: string,
  userMessage: Message,
): Promise<{ reply: string | null } | undefined> => {
  const messages = await readConversation(state, conversation);
  if (messages === undefined) return undefined;
  const index =
    messages === 'missing'
      ? -1
      : messages.findIndex(({ role, content }) => role === 'user' && content === userMessage.content);
  return { reply: index < 0 ? null : (messages[index + 1] as Message).content };
};

/** Runs one turn with a client's retries: at another gateway, under the same key unless the turn did not run. */
const completeTurn = async (
  state: CallerState,
  request: TurnRequest,
  userMessage: Message,
  isKeyed: boolean,
): Promise<TurnResult> => {
  const { runtime, rand } = state.options;
  let result: TurnResult | undefined;
  let keysUsed = 0;
  for (let i = 0; i < turnAttempts; i++) {
    result = await attemptTurn(state, { ...request, key: isKeyed ? `${request.key}.${keysUsed}` : null });
    if (result.ok || result.reason === 'budget_spent') return result;
    request.gateway = state.gateway();
    if (result.reason === 'outcome_unknown' && isKeyed) {
      const stored = await storedReply(state, request.conversation!, userMessage);
      if (typeof stored?.reply === 'string') return { ok: true, content: stored.reply, waited: result.waited };
      // A new key is used only once it is known that the message is not stored (§5.5).
      if (stored) keysUsed += 1;
    }
    await time.sleep(runtime.clock, (result.retryAfter ?? defaultRetryDelay) + rand.int(retryJitter));
  }
  return result!;
};

/** The messages that a caller sent, and the replies it received by the content of the message. */
type History = { sent: Message[]; replies: Map<string, string> };
const checkStored = async (
  state: CallerState,
  conversation: string,
  { sent, replies }: History,
  isKeyed: boolean,
): Promise<void> => {
  const { summary } = state;
  const stored = await readConversation(state, conversation);
  if (stored === undefined) {
    summary.gaveUp += 1;
  } else if (stored === 'missing') {
    summary.breaches.push(`conversation ${conversation} reported missing`);
  } else {
    for (const problem of conversationProblems(sent, replies, stored, isKeyed))
      summary.breaches.push(`conversation ${conversation}: ${problem}`);
    summary.readBack += 1;
  }
};

/** Runs a conversation, then checks the stored copy of it. */
export const runChat = async (state: CallerState, { turns, stored, program }: Chat): Promise<void> => {
  const { options, summary } = state;
  const { rand, classes, turnInterval, runtime } = options;
  if (stored) summary.storedChats += 1;
  else summary.chats += 1;
  const className = stored ? classes.stored : classes.chat;
  const conversation = stored ? `c-${program}` : null;
  const isKeyed = stored && rand.next() < keyedChatShare;
  const context: Message[] = [];
  const history: History = { sent: [], replies: new Map() };
  let gateway = state.gateway();
  for (let i = 0; i < turns; i++) {
    const lastMarker = i === turns - 1 ? ' [last]' : '';
    const filler = 'x'.repeat(40 + rand.int(stored ? 400 : 160));
    const userMessage = { role: 'user', content: `${program} turn ${i + 1}${lastMarker} ${filler}` };
    history.sent.push(userMessage);
    const messages = stored ? [userMessage] : [...context, userMessage];
    const request = { gateway, program, className, messages, conversation, key: `${program}.${i}` };
    const result = await completeTurn(state, request, userMessage, isKeyed);
    if (!result.ok) {
      summary.gaveUp += 1;
      break;
    }
    summary.chatWaits.push(result.waited);
    context.push(userMessage, { role: 'assistant', content: result.content });
    history.replies.set(userMessage.content, result.content);
    if (rand.next() < gatewayChangeShare) gateway = state.gateway();
    await time.sleep(runtime.clock, turnInterval + rand.int(turnInterval));
  }
  if (conversation && history.replies.size > 0) await checkStored(state, conversation, history, isKeyed);
};
