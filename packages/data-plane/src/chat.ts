/** Serves a turn of a program (§5.1), a function for each step: claim, context, admission, slot, charge, send. */
import { workerProtocol, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, fault, invariant, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { Released } from './admission.js';
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
import { claimKey, lastUnsentRound, recordTimeout, remaining, slotTimeout } from './product-request.js';
import { budgetAccountOf } from './records/budget-accounts.js';
import { relay, type RelayOutcome } from './relay.js';
import { lastCheck } from './requests/attempt.js';
import { chargeStep } from './requests/charge.js';
import { elapsed } from './requests/deadline.js';
import type { StepResult } from './requests/steps.js';
import { worker } from './worker-request.js';

const claim = claimKey(reject);

/** Tokens that a prompt has besides those of its text, at most. */
const promptOverhead = 16;
/** A prompt has fewer tokens than its bound in bytes, mostly by this factor. */
const boundToGuess = 4;

/** Reads what is stored: the conversation, and of a program that is new to this gateway its budget record (§4.4). */
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
    if (budgetRecord && budgetRecord.turns > 0) gateway.programTakenOver(plan.program);
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
      guess: Math.ceil(bound / boundToGuess),
    };
    return 'continue';
  } catch (error) {
    gateway.log(`a program's register could not be read: ${fault.text(error)}.`);
    return storesUnavailable(turn, 'no majority of stores was reached');
  }
};

/** The scheduler's decision: now, later at this boundary, or not at all (§4). */
const admit = (turn: ChatTurn, onHold: () => void): Promise<Released> => {
  const { gateway, plan, context, response } = turn;
  turn.timeline.enter('hold');
  const asked = gateway.admission.admitTurn(
    {
      turn: turn.chargeId,
      program: plan.program,
      tokens: context.guess,
      timeLeft: plan.timeLeft - elapsed(turn),
      expectedService: gateway.admission.expectedService(plan.cls),
      // A hold that runs out ends forced.
      patience: patience(turn, true),
      known: context.known,
    },
    onHold,
  );
  response.onClose(asked.abandon);
  if (response.isClosed()) asked.abandon();
  return asked.released;
};
const notAdmitted = (turn: ChatTurn, answer: Exclude<Released, { type: 'released' }>): 'answered' => {
  if (answer.type === 'abandoned') return clientDisconnected(turn);
  const retryAfter = turn.gateway.responses.backoff();
  if (answer.reason === 'program-busy')
    return reject(turn, 'turn_open', 'another turn of this program is open', retryAfter);
  return reject(
    turn,
    'full',
    `the table of ${answer.reason === 'turn-limit' ? 'turns' : 'programs'} is full`,
    retryAfter,
  );
};

/** A worker with a free slot, waited for if need be. */
const takeSlot = async (turn: ChatTurn): Promise<WorkerEntry | 'answered'> => {
  const { gateway, plan, response } = turn;
  turn.timeline.enter('slot');
  const used = elapsed(turn);
  const limit = Math.min(
    slotTimeout - used,
    plan.timeLeft - used - gateway.admission.expectedService(plan.cls),
    patience(turn),
  );
  const { preferred, excluded, forced: force } = turn;
  const asked = gateway.admission.acquireSlot(plan.cls, { preferred, excluded, force, limit });
  response.onClose(asked.abandon);
  const slot = await asked.slot;
  if (slot.type === 'acquired') return slot.worker;
  const retryAfter = gateway.responses.backoff();
  if (slot.type === 'no-worker') return reject(turn, 'no_worker', 'no model worker is there', retryAfter);
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

const checkBeforeSend = lastCheck<ChatTurn>({
  remaining,
  minimumTime: 0,
  reject,
  retryAfter: () => 1,
  clientDisconnected,
});

/** How long a worker has for its whole stream. */
const streamTimeout = duration.s(30);
type Sent = { outcome: RelayOutcome | 'unsent'; took: Microseconds | null };
const send = async (turn: ChatTurn, to: WorkerEntry): Promise<Sent> => {
  const { gateway, plan, context } = turn;
  invariant.hold(turn.charged && turn.scheduled, 'a turn is charged and admitted before it is sent');
  turn.phases.transition('send');
  turn.sentTo = to.id;
  turn.timeline.enter('first_event');
  turn.timeline.sentTo(to.id, turn.preferred === null ? null : turn.preferred === to.id);
  const sentAt = gateway.runtime.clock.now();
  const reply = await worker.send(gateway.runtime, to, {
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
    if (!reply.unsent) gateway.exchangeEnded(to.id, 'lost');
    return { outcome: reply.unsent ? 'unsent' : 'empty', took: null };
  }
  if (reply.response.status !== 200) {
    if (reply.response.status >= 500) gateway.exchangeEnded(to.id, 'failed');
    reply.response.abort();
    return { outcome: 'empty', took: null };
  }
  const outcome = await relay(turn, to.id, reply.response, sentAt);
  return { outcome, took: outcome === 'complete' ? gateway.runtime.clock.now() - sentAt : null };
};

/** What was reserved for a lost turn stays charged; a second one gets its own charge. False: it is not admitted. */
const beginAgain = async (turn: ChatTurn): Promise<boolean> => {
  const { gateway, plan, context } = turn;
  gateway.count('retried');
  const usage = { actual: context.reserve, tokens: context.guess, worker: null };
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
/** The worker was lost. Repeated only if nothing was relayed, it is safe, and the retry budget has one left (§5.4). */
const lost = async (turn: ChatTurn, outcome: 'empty' | 'cut', round: number): Promise<StepResult> => {
  const { gateway, plan, response } = turn;
  const isSafe = outcome === 'empty' && !plan.once && plan.key === null && round === 0;
  const repeats = isSafe && remaining(turn) > 0 && !response.isClosed() && gateway.takeRetry();
  turn.phases.transition('lose');
  gateway.count('lost');
  turn.timeline.ended('worker_lost');
  if (repeats && (await beginAgain(turn))) return 'continue';
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
/** One worker: charged, checked again, sent to. `continue` if another worker is to be chosen. */
const tryWorker = async (turn: ChatTurn, to: WorkerEntry, round: number): Promise<StepResult> => {
  const { gateway, plan } = turn;
  let took: Microseconds | null = null;
  try {
    if ((await charge(turn, budgetAccountOf(plan))) === 'answered') return 'answered';
    if (turn.phases.current() === 'admitted') turn.phases.transition('charge');
    const checked = checkBeforeSend(turn, to, await gateway.refreshIfStale());
    if (checked === 'answered') return 'answered';
    if (checked === 'continue') {
      excludeWorker(turn, to.id);
      return 'continue';
    }
    const sent = await send(turn, checked);
    took = sent.took;
    if (sent.outcome === 'complete') {
      turn.scheduled = false;
      return 'answered';
    }
    gateway.admission.markUnhealthy(to.id);
    if (sent.outcome === 'unsent') {
      turn.phases.transition('unsent');
      excludeWorker(turn, to.id);
      const mayGoOn = round < lastUnsentRound && remaining(turn) > 0;
      return mayGoOn ? 'continue' : reject(turn, 'no_worker', 'no worker could be reached', 1);
    }
    const next = await lost(turn, sent.outcome, round);
    if (next === 'continue') turn.excluded.add(to.id);
    return next;
  } finally {
    gateway.admission.releaseSlot(to.id, plan.cls, took);
  }
};

const serve = async (turn: ChatTurn): Promise<void> => {
  if ((await claim(turn)) === 'answered') return;
  if ((await readContext(turn)) === 'answered') return;
  const released = await admit(turn, () => turn.phases.transition('hold'));
  if (released.type !== 'released') return void notAdmitted(turn, released);
  turn.scheduled = true;
  turn.phases.transition('admit');
  turn.preferred = released.worker;
  turn.forced = released.reason === 'forced';
  for (let round = 0; ; round++) {
    const to = await takeSlot(turn);
    if (to === 'answered' || (await tryWorker(turn, to, round)) === 'answered') return;
  }
};

/** Serves a turn to its final answer. */
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
