/** Serves a chat turn (§5.1), one function for each step: claim, context, admission, slot, charge, send. */
import { workerProtocol, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, fault, invariant, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { AdmissionResult } from './admission.js';
import {
  clientDisconnected,
  leaveScheduler,
  openTurn,
  patience,
  reject,
  storesUnavailable,
  type ChatTurn,
} from './chat-turn.js';
import type { Gateway } from './gateway.js';
import type { ChatPlan } from './plan.js';
import { claimKey, maxUnsentRetries, recordTimeout, remaining, slotTimeout } from './product-request.js';
import { budgetAccountOf } from './records/budget-accounts.js';
import { relay, type RelayOutcome } from './relay.js';
import { preSendCheck } from './requests/attempt.js';
import { chargeStep } from './requests/charge.js';
import { elapsed } from './requests/deadline.js';
import type { StepResult } from './requests/steps.js';
import { workerClient } from './worker-request.js';

const claim = claimKey(reject);

/** Upper bound of a prompt's tokens in addition to those of its text. */
const promptOverhead = 16;
/** Typical ratio between a prompt's upper bound, computed from its bytes, and its actual tokens. */
const boundToEstimateRatio = 4;

/** Reads the stored conversation and, for a program that is new to this gateway, its budget record (§4.4). */
const readContext = async (turn: ChatTurn): Promise<StepResult> => {
  const { gateway, plan } = turn;
  turn.timeline.enter('context');
  try {
    const [stored, budgetRecord] = await Promise.all([
      plan.conversation === null ? undefined : gateway.conversations.read(plan.conversation, remaining(turn)),
      gateway.admission.knowsProgram(plan.program)
        ? undefined
        : gateway.budgets.budgetRecord(plan.program, remaining(turn)),
    ]);
    if (budgetRecord && budgetRecord.turns > 0) gateway.reportTakeover(plan.program);
    const messages = [...(stored?.messages ?? []), ...plan.messages];
    const bytes = Buffer.byteLength(JSON.stringify(messages), 'utf8');
    const { limits } = gateway.config();
    if (stored && bytes > limits.maxKeptBytes)
      return reject(turn, 'conversation_full', `a kept conversation has at most ${limits.maxKeptBytes} bytes`, null);
    const bound = Math.ceil(bytes / limits.promptBytesPerToken) + promptOverhead;
    turn.context = {
      messages,
      base: stored?.messages.length ?? 0,
      known: budgetRecord && { tokens: budgetRecord.tokens, worker: budgetRecord.worker },
      reserve: bound + plan.maxTokens,
      promptEstimate: Math.ceil(bound / boundToEstimateRatio),
    };
    return 'continue';
  } catch (error) {
    gateway.log(`the conversation or budget record of a program could not be read: ${fault.text(error)}.`);
    return storesUnavailable(turn, 'no majority of stores was reached');
  }
};

/** The scheduler's decision: released, at once or after a hold, or rejected (§4). `onHold` is called if it is held. */
const admit = (turn: ChatTurn, onHold: () => void): Promise<AdmissionResult> => {
  const { gateway, plan, context, response } = turn;
  turn.timeline.enter('hold');
  const pending = gateway.admission.admitTurn(
    {
      turn: turn.chargeId,
      program: plan.program,
      tokens: context.promptEstimate,
      timeLeft: plan.timeLeft - elapsed(turn),
      expectedService: gateway.admission.expectedService(plan.className),
      // A turn whose hold times out is released as forced.
      patience: patience(turn, true),
      known: context.known,
    },
    onHold,
  );
  response.onClose(pending.abandon);
  if (response.isClosed()) pending.abandon();
  return pending.released;
};
const rejectUnadmitted = (turn: ChatTurn, result: Exclude<AdmissionResult, { type: 'released' }>): 'answered' => {
  if (result.type === 'abandoned') return clientDisconnected(turn);
  const retryAfter = turn.gateway.responses.backoff();
  if (result.reason === 'program-busy')
    return reject(turn, 'turn_open', 'another turn of this program is open', retryAfter);
  return reject(
    turn,
    'full',
    `the table of ${result.reason === 'turn-limit' ? 'turns' : 'programs'} is full`,
    retryAfter,
  );
};

/** Acquires a slot at a worker, waiting for one if necessary. */
const takeSlot = async (turn: ChatTurn): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, response } = turn;
  turn.timeline.enter('slot');
  const used = elapsed(turn);
  const limit = Math.min(
    slotTimeout - used,
    plan.timeLeft - used - gateway.admission.expectedService(plan.className),
    patience(turn),
  );
  const { preferred, excluded, forced: force } = turn;
  const pending = gateway.admission.acquireSlot(plan.className, { preferred, excluded, force, limit });
  response.onClose(pending.abandon);
  const slotResult = await pending.slot;
  if (slotResult.type === 'acquired') return slotResult.worker;
  const retryAfter = gateway.responses.backoff();
  if (slotResult.type === 'no-worker') return reject(turn, 'no_worker', 'no model worker is there', retryAfter);
  return reject(turn, 'busy', 'all workers of this class are taken', retryAfter);
};

const charge = chargeStep<ChatTurn>({
  isCharged: (turn) => turn.charged,
  idOf: (turn) => turn.chargeId,
  amount: (turn) => turn.context.reserve,
  timeout: recordTimeout,
  remaining,
  charged: (turn) => {
    turn.charged = true;
  },
  uncertain: (turn) => {
    turn.charged = true;
  },
  reject,
  rejectUnavailable: storesUnavailable,
  retryAfter: () => 1,
  clientDisconnected: null,
});

const checkBeforeSend = preSendCheck<ChatTurn>({
  remaining,
  minimumTime: 0,
  reject,
  retryAfter: () => 1,
  clientDisconnected,
});

/** Timeout for the head of a worker's response. */
const streamTimeout = duration.s(30);
/** `unsent`: nothing reached the worker. `took`: service time of a complete stream, otherwise null. */
type Sent = { outcome: RelayOutcome | 'unsent'; took: Microseconds | null };
const send = async (turn: ChatTurn, worker: WorkerEntry): Promise<Sent> => {
  const { gateway, plan, context } = turn;
  invariant.hold(turn.charged && turn.scheduled, 'a turn is charged and admitted before it is sent');
  turn.phases.transition('send');
  turn.sentTo = worker.id;
  turn.timeline.enter('first_event');
  turn.timeline.sentTo(worker.id, turn.preferred === null ? null : turn.preferred === worker.id);
  const sentAt = gateway.runtime.clock.now();
  const reply = await workerClient.send(gateway.runtime, worker, {
    path: workerProtocol.chat.path,
    body: workerProtocol.chat.body({ messages: context.messages, maxTokens: plan.maxTokens, rest: plan.rest }),
    timeLeft: streamTimeout,
    headers: {
      accept: 'text/event-stream',
      'x-program-id': plan.program,
      ...(plan.key === null ? {} : { 'idempotency-key': plan.key }),
    },
  });
  if (reply.type === 'failed') {
    if (!reply.unsent) gateway.exchangeEnded(worker.id, 'lost');
    return { outcome: reply.unsent ? 'unsent' : 'empty', took: null };
  }
  if (reply.response.status !== 200) {
    if (reply.response.status >= 500) gateway.exchangeEnded(worker.id, 'failed');
    reply.response.abort();
    return { outcome: 'empty', took: null };
  }
  const outcome = await relay(turn, worker.id, reply.response, sentAt);
  return { outcome, took: outcome === 'complete' ? gateway.runtime.clock.now() - sentAt : null };
};

/**
 * Prepares a lost turn for a second attempt: the reservation of the first one stays charged, and the turn gets a new
 * charge and a new admission. False if it is not admitted.
 */
const prepareRetry = async (turn: ChatTurn): Promise<boolean> => {
  const { gateway, plan, context } = turn;
  gateway.count('retried');
  const usage = { actual: context.reserve, tokens: context.promptEstimate, worker: null };
  await gateway.budgets.settle(budgetAccountOf(plan), turn.chargeId, usage, recordTimeout(turn)).catch(() => undefined);
  turn.charged = false;
  leaveScheduler(turn);
  const lostId = turn.chargeId;
  turn.chargeId = `${gateway.id}.${gateway.runtime.rand.id()}`;
  gateway.inFlight.add(turn.chargeId);
  gateway.inFlight.delete(lostId);
  const released = await admit(turn, () => undefined);
  if (released.type !== 'released') return false;
  turn.scheduled = true;
  turn.preferred = released.worker;
  turn.phases.transition('again');
  return true;
};
/** The worker was lost. Retries only if nothing was relayed, a retry is safe and the retry budget allows it (§5.4). */
const handleLostWorker = async (turn: ChatTurn, outcome: 'empty' | 'cut', round: number): Promise<StepResult> => {
  const { gateway, plan, response } = turn;
  const isSafe = outcome === 'empty' && !plan.once && plan.key === null && round === 0;
  const willRetry = isSafe && remaining(turn) > 0 && !response.isClosed() && gateway.takeRetry();
  turn.phases.transition('lose');
  gateway.count('lost');
  turn.timeline.setOutcome('worker_lost');
  if (willRetry && (await prepareRetry(turn))) return 'continue';
  leaveScheduler(turn);
  if (outcome === 'empty') {
    const text = 'the worker was lost before its first token';
    gateway.responses.reject(response, 'worker_lost', text, 'unknown', plan.once ? null : 1);
    return 'answered';
  }
  gateway.count('cut');
  response.abort();
  return 'answered';
};

const excludeWorker = (turn: ChatTurn, workerId: string): void => {
  turn.excluded.add(workerId);
  turn.preferred = null;
};
/** One attempt at a worker: charges, checks again and sends. `continue` if another worker is to be chosen. */
const tryWorker = async (turn: ChatTurn, worker: WorkerEntry, round: number): Promise<StepResult> => {
  const { gateway, plan } = turn;
  let took: Microseconds | null = null;
  try {
    if ((await charge(turn, budgetAccountOf(plan))) === 'answered') return 'answered';
    if (turn.phases.current() === 'admitted') turn.phases.transition('charge');
    const checked = checkBeforeSend(turn, worker, await gateway.refreshIfStale());
    if (checked === 'answered') return 'answered';
    if (checked === 'continue') {
      excludeWorker(turn, worker.id);
      return 'continue';
    }
    const sent = await send(turn, checked);
    took = sent.took;
    if (sent.outcome === 'complete') {
      turn.scheduled = false;
      return 'answered';
    }
    gateway.admission.markUnhealthy(worker.id);
    if (sent.outcome === 'unsent') {
      turn.phases.transition('unsent');
      excludeWorker(turn, worker.id);
      const mayRetry = round < maxUnsentRetries && remaining(turn) > 0;
      return mayRetry ? 'continue' : reject(turn, 'no_worker', 'no worker could be reached', 1);
    }
    const next = await handleLostWorker(turn, sent.outcome, round);
    if (next === 'continue') turn.excluded.add(worker.id);
    return next;
  } finally {
    gateway.admission.releaseSlot(worker.id, plan.className, took);
  }
};

const serve = async (turn: ChatTurn): Promise<void> => {
  if ((await claim(turn)) === 'answered') return;
  if ((await readContext(turn)) === 'answered') return;
  const released = await admit(turn, () => turn.phases.transition('hold'));
  if (released.type !== 'released') return void rejectUnadmitted(turn, released);
  turn.scheduled = true;
  turn.phases.transition('admit');
  turn.preferred = released.worker;
  turn.forced = released.reason === 'forced';
  for (let round = 0; ; round++) {
    const worker = await takeSlot(turn);
    if (worker === 'answered' || (await tryWorker(turn, worker, round)) === 'answered') return;
  }
};

/** Serves a chat turn up to its final answer. */
export const chat = async (gateway: Gateway, plan: ChatPlan, response: HttpResponseWriter): Promise<void> => {
  gateway.count('turns');
  const turn = openTurn(gateway, plan, response);
  gateway.inFlight.add(turn.id);
  try {
    await serve(turn);
  } finally {
    turn.timeline.close();
    if (!turn.closing) gateway.inFlight.delete(turn.id);
    if (turn.chargeId !== turn.id) gateway.inFlight.delete(turn.chargeId);
    leaveScheduler(turn, turn.sentTo);
  }
};
