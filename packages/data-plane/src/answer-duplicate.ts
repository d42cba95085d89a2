/** Answers duplicates at the product API: requests whose idempotency key was claimed before (§5.4). */
import { duration, fault, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import { errors } from './errors.js';
import { isInFlight, type Gateway } from './gateway.js';
import type { ChatPlan, JobPlan } from './plan.js';
import type { StoredReply } from './records/conversations.js';
import { tooLargeType, type KeyClaim, type RecordedResult } from './records/idempotency-keys.js';
import { minimumRecordTimeout } from './requests/deadline.js';
import { completion } from './responses.js';

/** A request whose key is already claimed. */
export type DuplicateRequest = {
  gateway: Gateway;
  plan: ChatPlan | JobPlan;
  response: HttpResponseWriter;
  /** Clock time at which its caller gives up. */
  givesUpAt: Microseconds;
};

/** Timeout of reading the conversation and of fencing a turn in it. */
const conversationTimeout = duration.ms(600);

const resultOf = (reply: StoredReply | undefined): RecordedResult | undefined =>
  typeof reply?.content === 'string'
    ? { status: 200, type: 'chat', body: reply.content, finish: null, prompt: 0, completion: 0 }
    : undefined;
/** The result recorded under the key, or the reply that the turn stored in its conversation. */
const recordedResult = async (
  { gateway, plan }: DuplicateRequest,
  claim: KeyClaim,
): Promise<RecordedResult | undefined> => {
  const done = claim.done as RecordedResult | null;
  if (done && done.type !== tooLargeType) return done;
  const reply = await gateway.conversations.storedReply(plan, conversationTimeout).catch(() => undefined);
  return resultOf(reply);
};

const replayed = { 'x-thornsail-replayed': 'true' };
const replay = ({ gateway, plan, response }: DuplicateRequest, result: RecordedResult): void => {
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

const rejectReusedKey = ({ gateway, response }: DuplicateRequest): void => {
  const message = 'this key came with another request before';
  const body = { error: 'key_reused', field: 'idempotency-key', message, ran: 'unknown' };
  gateway.responses.json(response, errors.status('chat', 'key_reused'), body, { 'x-thornsail-ran': 'unknown' });
};

/**
 * No gateway is known to serve the request, but its gateway may only appear dead and its writes may still be in
 * transit. The caller will read the conversation and, if the reply is missing, send the message again under another
 * key. So the turn is fenced first: from then on it is not appended (§5.5).
 */
const fenceAndAnswer = async (duplicate: DuplicateRequest): Promise<void> => {
  const { gateway, plan, response, givesUpAt } = duplicate;
  const remaining = Math.max(minimumRecordTimeout, givesUpAt - gateway.runtime.clock.now());
  let lateResult: RecordedResult | undefined;
  try {
    lateResult = resultOf(await gateway.conversations.fence(plan, Math.min(conversationTimeout, remaining)));
  } catch (error) {
    gateway.log(`a turn could not be fenced: ${fault.text(error)}.`);
    const text = 'whether the turn with this key is kept could not be settled by a majority';
    return gateway.responses.reject(response, 'no_keepers', text, 'unknown', gateway.responses.backoff());
  }
  if (lateResult) return replay(duplicate, lateResult);
  const text = 'a request with this key was sent and its outcome is not known';
  return gateway.responses.reject(response, 'outcome_unknown', text, 'unknown', null);
};

/** Answers a duplicate with the recorded result, with `in_progress`, or with `outcome_unknown`. */
export const answerDuplicate = async (duplicate: DuplicateRequest, claim: KeyClaim): Promise<void> => {
  const { gateway, plan, response } = duplicate;
  if (claim.sum !== undefined && claim.sum !== plan.sum) return rejectReusedKey(duplicate);
  const result = await recordedResult(duplicate, claim);
  if (result) return replay(duplicate, result);
  if (!claim.done && (await isInFlight(gateway, claim)))
    return gateway.responses.reject(response, 'in_progress', 'a request with this key is being served', 'unknown', 1);
  return fenceAndAnswer(duplicate);
};
