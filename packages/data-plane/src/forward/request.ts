/**
 * The state of one forwarded request while it is served (§5.7), the time it has left, and how it is rejected. Its
 * stages are in modules of their own.
 */
import { duration, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { BudgetAccount } from '../records/budget-accounts.js';
import type { IdempotencyKey } from '../records/idempotency-keys.js';
import { settleCharge } from '../requests/charge.js';
import { elapsed, minimumRecordTimeout } from '../requests/deadline.js';
import type { ActiveRequest } from '../requests/steps.js';
import { openTimeline } from '../requests/timeline.js';
import type { Gateway } from '../gateway.js';
import type { ErrorCode } from '../errors.js';
import { phases } from '../phases.js';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import type { StoredTurns } from './stored-turns.js';
import { refusal, type ForwardRequest } from './plan.js';

/** What all requests in one dialect share at this gateway. */
export type Forwarding = {
  gateway: Gateway;
  dialect: Dialect;
  connections: Connections;
  turns: StoredTurns;
  /** Number of gateways that share a worker's connection limit. */
  gatewayCount: () => number;
};

/** What the request has claimed or reserved in the registers, to be released or settled at its end. */
type Reservations = {
  key: IdempotencyKey | null;
  account: BudgetAccount | null;
  /** The answer has been sent, and the reservations are being released. */
  closing: boolean;
};
/** Which worker may serve the request, by the scheduler's decision and earlier sends. */
type Placement = {
  /** The service, chosen once by the route's weights. */
  service: string;
  /** Tokens in an event of the service, as configured when the request arrived. */
  tokensPerEvent: number;
  /** The worker that answered the previous turn, by the program's budget record. */
  contextWorker: string | null;
  /** The worker that the scheduler prefers. */
  preferred: string | null;
  /** The preferred worker has the context of the program's earlier turns. */
  preferredHasContext: boolean;
  /** The scheduler released the turn regardless of slots and shares. */
  forced: boolean;
  /** The turn's session is in the scheduler's table. */
  scheduled: boolean;
  /** Ids of workers that are not tried any more. */
  excluded: Set<string>;
  /** Sends to workers that got, or may have got, the request. */
  sends: number;
};
/** The prompt as the worker gets it, with the turns before. */
type Context = {
  /** Ids of the earlier turns, oldest first. */
  chain: string[];
  /** The previous turn was not in this gateway's cache, so another gateway is taken to have answered it. */
  previousTurnRemote: boolean;
  body: Uint8Array;
  /** Length of the prompt in tokens, as the scheduler counts them. */
  prompt: number;
};
/** What has been relayed to the client. */
type Relayed = {
  headSent: boolean;
  /** Events with data. */
  events: number;
  /** The last event with data. */
  lastEventBytes: Buffer | null;
  /** Id of the last event that the client has, from this answer or an earlier one. */
  lastEventId: string | null;
  /** Version of the weights that produced the last event; null: its worker named none. */
  version: string | null;
  /** Data of the events, a line each; only on routes that store turns. */
  output: string;
};
/** The state of one request, from its arrival to its final answer. */
export type Request = ActiveRequest & {
  forwarding: Forwarding;
  plan: ForwardRequest;
  reservations: Reservations;
  placement: Placement;
  context: Context;
  relayed: Relayed;
};

/** Chooses the service of a request by the weights of the route's targets. `draw`: a random number in [0, 1). */
const serviceOf = (plan: ForwardRequest, draw: number): string => {
  const { targets } = plan.route;
  const totalWeight = targets.reduce((total, target) => total + target.weight, 0);
  let remaining = draw * totalWeight;
  for (const target of targets) {
    if (target.weight <= 0) continue;
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return targets.find((target) => target.weight > 0)!.service;
};

/** A service that configures no value counts an event as one token. */
const tokensPerEventOf = (gateway: Gateway, service: string): number =>
  gateway.config().services.find((configured) => configured.name === service)?.tokensPerEvent ?? 1;

const open = (
  forwarding: Forwarding,
  plan: ForwardRequest,
  response: HttpResponseWriter,
  arrivedAt: Microseconds,
): Request => {
  const { gateway } = forwarding;
  const service = serviceOf(plan, gateway.runtime.rand.next());
  return {
    forwarding,
    gateway,
    plan,
    response,
    phases: phases.open(),
    timeline: openTimeline(gateway, plan.className, plan.turn?.program ?? null, arrivedAt),
    arrivedAt,
    id: `${gateway.id}.${gateway.runtime.rand.id()}`,
    reservations: { key: null, account: null, closing: false },
    placement: {
      service,
      tokensPerEvent: tokensPerEventOf(gateway, service),
      contextWorker: null,
      preferred: null,
      preferredHasContext: false,
      forced: false,
      scheduled: false,
      excluded: new Set(),
      sends: 0,
    },
    context: { chain: [], previousTurnRemote: false, body: plan.body, prompt: plan.usage.prompt },
    relayed: {
      headSent: false,
      events: 0,
      lastEventBytes: null,
      lastEventId: plan.lastEvent,
      version: null,
      output: '',
    },
  };
};

/** A caller gives a stream up after the longest of this, 4 latency targets or 8 gap targets without an event (§4.3). */
const minimumPatience = duration.s(2);
/** Time that an answer needs to reach a caller who is about to give up. */
const patienceMargin = duration.ms(150);
const patienceOf = ({ route }: ForwardRequest): Microseconds =>
  Math.max(minimumPatience, duration.ms(4 * route.aimMs), duration.ms(8 * route.gapMs)) - patienceMargin;

/** Time until the caller's deadline; negative after it. */
const left = (request: Request): Microseconds => request.plan.deadline - elapsed(request);
/** Time until the caller gives up waiting: for the first event of a stream, else until the deadline. */
const untilGivenUp = (request: Request): Microseconds => {
  const untilDeadline = left(request);
  if (request.plan.route.semantics !== 'stream') return untilDeadline;
  return Math.min(untilDeadline, patienceOf(request.plan) - elapsed(request));
};

/** Share of the time left that may pass in waiting for the records; in the rest another gateway can serve a repeat. */
const recordTimeoutShare = 0.5;
/** Timeout of a claim, a charge or the read of a chain. */
const recordTimeout = (request: Request): Microseconds =>
  Math.max(minimumRecordTimeout, untilGivenUp(request) * recordTimeoutShare);

const log = (request: Request, text: string): void => request.gateway.log(text);

/**
 * Ends the response with an error at once (§4.3); a response whose head has been sent is aborted. `retryAfter` in
 * seconds, or null.
 */
const answerError = (request: Request, code: ErrorCode, text: string, retryAfter: number | null): void => {
  const { response, relayed, gateway, forwarding } = request;
  if (response.isClosed()) return;
  if (relayed.headSent) return response.abort();
  gateway.count('rejected');
  const error = forwarding.dialect.refuse(refusal(code, null, text), retryAfter);
  response.writeHead(error.status, [...error.headers, 'content-length', String(Buffer.byteLength(error.body))]);
  response.end(error.body);
};
/** A retry delay in seconds, with jitter so that requests refused together do not return together. */
const retryDelay = (request: Request): number => 0.1 + 0.2 * request.gateway.runtime.rand.next();

/** Ends the turn at the scheduler, if it is there. `final`: its program ends too. */
const leaveScheduler = (request: Request, tokens: number | null, worker: string | null, final = false): void => {
  const { placement, gateway, id } = request;
  if (placement.scheduled) gateway.admission.endTurn(id, { tokens, final, worker });
  placement.scheduled = false;
};

/** Output tokens relayed to the client; what a worker generated beyond them is not charged to the program. */
const tokensRelayed = (request: Request): number => {
  const { plan, relayed, placement } = request;
  return Math.min(Math.max(1, plan.usage.most), relayed.events * placement.tokensPerEvent);
};
/** Settles the tokens used. Resolves when that is stored or has failed; an unsettled turn stays charged (§5.3). */
const settle = (request: Request, used: number, worker: string | null): Promise<void> => {
  const { account } = request.reservations;
  if (!account) return Promise.resolve();
  const usage = { actual: used, tokens: request.context.prompt + used, worker };
  return settleCharge(request.gateway, account, request.id, usage);
};

/** Settles or refunds the charge of a rejected request and releases its key. */
const releaseReservations = async (request: Request): Promise<void> => {
  const { gateway, reservations, id } = request;
  const ran = request.phases.execution() !== 'no';
  if (reservations.account) {
    if (ran) await settle(request, tokensRelayed(request), null);
    else await gateway.budgets.refund(reservations.account, id);
  }
  // Each attempt has an id of its own, so no copy of this one can be in transit: the key is released without a delay.
  if (reservations.key && !ran) await gateway.keys.release(reservations.key, id, 0);
};
/** Rejects the request before it was sent to a worker: the answer first, then the reservations are released. */
const reject = (request: Request, code: ErrorCode, text: string, retryAfter: number | null): 'answered' => {
  request.phases.transition('reject');
  request.timeline.setOutcome(code);
  const programEnds = code === 'budget_spent' || code === 'no_such_turn';
  leaveScheduler(request, null, null, programEnds);
  request.reservations.closing = true;
  void releaseReservations(request).finally(() => request.gateway.inFlight.delete(request.id));
  answerError(request, code, text, retryAfter);
  return 'answered';
};
/** Rejects a request whose client has disconnected before it was sent to a worker. */
const clientDisconnected = (request: Request): 'answered' => {
  request.gateway.count('orphaned');
  return reject(request, 'gone', 'the client went away', null);
};
/** Rejects a request because no majority of the stores answered. */
const storesUnavailable = (request: Request, text: string): 'answered' =>
  reject(request, 'no_keepers', text, retryDelay(request));

/** Operations on a request that its stages share. Times are in microseconds. */
export const requests = {
  open,
  left,
  untilGivenUp,
  recordTimeout,
  log,
  answerError,
  retryDelay,
  leaveScheduler,
  tokensRelayed,
  settle,
  reject,
  clientDisconnected,
  storesUnavailable,
};
