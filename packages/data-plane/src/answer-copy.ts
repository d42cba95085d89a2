/** What a copy of a request is answered whose key was claimed before, at the product's interface (§5.4). */
import { duration, fault, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import { errors } from './errors.js';
import { isInFlight, type Gateway } from './gateway.js';
import type { ChatPlan, JobPlan } from './plan.js';
import type { StoredReply } from './records/conversations.js';
import { tooLargeType, type KeyClaim, type RecordedResult } from './records/idempotency-keys.js';
import { minimumRecordTimeout } from './requests/deadline.js';
import { completion } from './responses.js';

/** A copy of a request whose key is taken. */
export type Copy = {
  gateway: Gateway;
  plan: ChatPlan | JobPlan;
  response: HttpResponseWriter;
  /** Clock time at which its caller gives up. */
  givesUpAt: Microseconds;
};

/** How long a look into the conversation, or fencing it, may take. */
const conversationTimeout = duration.ms(600);

const resultOf = (reply: StoredReply | undefined): RecordedResult | undefined =>
  typeof reply?.content === 'string'
    ? { status: 200, type: 'chat', body: reply.content, finish: null, prompt: 0, completion: 0 }
    : undefined;
/** A result that was recorded, or that the turn left in its conversation. */
const recordedResult = async ({ gateway, plan }: Copy, claim: KeyClaim): Promise<RecordedResult | undefined> => {
  const done = claim.done as RecordedResult | null;
  if (done && done.type !== tooLargeType) return done;
  const reply = await gateway.conversations.storedReply(plan, conversationTimeout).catch(() => undefined);
  return resultOf(reply);
};

const replayed = { 'x-thornsail-replayed': 'true' };
const replay = ({ gateway, plan, response }: Copy, result: RecordedResult): void => {
  gateway.count('replayed');
  const { body, finish, prompt, completion: tokens } = result;
  if (plan.kind === 'job') {
    response.writeHead(result.status, { 'content-type': result.type, ...replayed });
    response.end(body);
  } else if (plan.stream) {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', ...replayed });
    response.write(`id: 1\ndata: ${JSON.stringify(completion.chunk(body, finish, prompt, tokens))}\n\n`);
    response.end('id: 2\ndata: [DONE]\n\n');
  } else gateway.responses.json(response, 200, completion.complete(body, finish, [], prompt, tokens), replayed);
};

const rejectReusedKey = ({ gateway, response }: Copy): void => {
  const message = 'this key came with another request before';
  const body = { error: 'key_reused', field: 'idempotency-key', message, ran: 'unknown' };
  gateway.responses.json(response, errors.status('chat', 'key_reused'), body, { 'x-thornsail-ran': 'unknown' });
};

/**
 * Nobody serves the request any more, as far as is known. Its gateway may only seem dead, and what it wrote may be on
 * its way. The caller is going to look at what is stored, and to send the message under another key if it is not there:
 * from here on it does not come any more (§5.5).
 */
const fenceAndAnswer = async (copy: Copy): Promise<void> => {
  const { gateway, plan, response, givesUpAt } = copy;
  const remaining = Math.max(minimumRecordTimeout, givesUpAt - gateway.runtime.clock.now());
  let late: RecordedResult | undefined;
  try {
    late = resultOf(await gateway.conversations.fence(plan, Math.min(conversationTimeout, remaining)));
  } catch (error) {
    gateway.log(`a turn could not be fenced: ${fault.text(error)}.`);
    const text = 'whether the turn with this key is kept could not be settled by a majority';
    return gateway.responses.reject(response, 'no_keepers', text, 'unknown', gateway.responses.backoff());
  }
  if (late) return replay(copy, late);
  const text = 'a request with this key was sent and its outcome is not known';
  return gateway.responses.reject(response, 'outcome_unknown', text, 'unknown', null);
};

/** Answers a copy: the result again, that it is being served, or that its outcome is not known. */
export const answerCopy = async (copy: Copy, claim: KeyClaim): Promise<void> => {
  const { gateway, plan, response } = copy;
  if (claim.sum !== undefined && claim.sum !== plan.sum) return rejectReusedKey(copy);
  const result = await recordedResult(copy, claim);
  if (result) return replay(copy, result);
  if (!claim.done && (await isInFlight(gateway, claim)))
    return gateway.responses.reject(response, 'in_progress', 'a request with this key is being served', 'unknown', 1);
  return fenceAndAnswer(copy);
};
