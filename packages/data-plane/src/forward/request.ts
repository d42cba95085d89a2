// One request that is passed on unread, while it is served (§5.7): its state, the time it has left, and how it is given
// up. The stages that carry it out stand in modules of their own.
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

/** What all requests in one dialect share at this node. */
export type Forwarding = {
  gateway: Gateway;
  dialect: Dialect;
  connections: Connections;
  turns: StoredTurns;
  /** How many gateways share what a worker accepts. */
  gatewayCount: () => number;
};

/** What the request holds in the registers, to be closed at its end. */
type Reservations = {
  key: IdempotencyKey | null;
  account: BudgetAccount | null;
  /** The answer is out, and the records are being closed behind it. */
  closing: boolean;
};
/** Where the scheduler and earlier sends lead the request. */
type Placement = {
  /** Chosen once, by the route's weights. */
  service: string;
  /** Tokens in an event of the service, as configured when the request came. */
  tokensPerEvent: number;
  /** The worker that answered the turn before, as the program's record says. */
  contextAt: string | null;
  /** The worker that the scheduler prefers. */
  preferred: string | null;
  /** The preferred worker has the context of the program's earlier turns. */
  warm: boolean;
  forced: boolean;
  /** The line of turns stands in the scheduler's table. */
  scheduled: boolean;
  excluded: Set<string>;
  /** Workers that it was sent to and that may have run it. */
  sends: number;
};
/** What the worker is given besides the request's own words. */
type Context = {
  /** Earlier turns, oldest first. */
  chain: string[];
  /** The turn before it was answered by another gateway. */
  elsewhere: boolean;
  body: Uint8Array;
  /** Tokens of the prompt, as the scheduler counts them. */
  prompt: number;
};
/** What has reached the client. */
type Relayed = {
  headSent: boolean;
  events: number;
  /** The last event that has data. */
  last: Buffer | null;
  /** Id of the last event that the client has, from this answer or an earlier one. */
  lastId: string | null;
  /** Version of the weights that the last event came from; null: its worker told none. */
  version: string | null;
  /** Data of the events, a line each; only where turns are kept. */
  output: string;
};
/** State of one request, from its arrival to its final answer. */
export type Request = ActiveRequest & {
  forwarding: Forwarding;
  plan: ForwardRequest;
  reservations: Reservations;
  placement: Placement;
  context: Context;
  relayed: Relayed;
};

/** The service that this request goes to: by weight, where a route is split. `draw` is from 0 up to 1. */
const serviceOf = (plan: ForwardRequest, draw: number): string => {
  const { targets } = plan.route;
  const sum = targets.reduce((total, target) => total + target.weight, 0);
  let rest = draw * sum;
  for (const target of targets) {
    if (target.weight <= 0) continue;
    rest -= target.weight;
    if (rest < 0) return target.service;
  }
  return targets.find((target) => target.weight > 0)!.service;
};

/** A service that tells nothing counts an event as a token. */
const tokensPerEventOf = (gateway: Gateway, service: string): number =>
  gateway.config().services.find((known) => known.name === service)?.tokensPerEvent ?? 1;

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
    timeline: openTimeline(gateway, plan.cls, plan.turn?.program ?? null, arrivedAt),
    arrivedAt,
    id: `${gateway.id}.${gateway.runtime.rand.id()}`,
    reservations: { key: null, account: null, closing: false },
    placement: {
      service,
      tokensPerEvent: tokensPerEventOf(gateway, service),
      contextAt: null,
      preferred: null,
      warm: false,
      forced: false,
      scheduled: false,
      excluded: new Set(),
      sends: 0,
    },
    context: { chain: [], elsewhere: false, body: plan.body, prompt: plan.usage.prompt },
    relayed: { headSent: false, events: 0, last: null, lastId: plan.lastEvent, version: null, output: '' },
  };
};

/** A caller gives a stream up after the longest of these without an event (§4.3). */
const leastPatience = duration.s(2);
/** An answer needs so long to reach a caller who is about to give up. */
const patienceMargin = duration.ms(150);
const patienceOf = ({ route }: ForwardRequest): Microseconds =>
  Math.max(leastPatience, duration.ms(4 * route.aimMs), duration.ms(8 * route.gapMs)) - patienceMargin;

/** Until the caller's deadline. */
const left = (request: Request): Microseconds => request.plan.deadline - elapsed(request);
/** Until the caller gives up waiting for a first event. */
const untilGivenUp = (request: Request): Microseconds => {
  const untilDeadline = left(request);
  if (request.plan.route.semantics !== 'stream') return untilDeadline;
  return Math.min(untilDeadline, patienceOf(request.plan) - elapsed(request));
};

/** Of the time that is left, so much may go by waiting for the records: another node may serve it in the rest. */
const recordTimeoutShare = 0.5;
/** How long a claim, a charge or a chain may take. */
const recordTimeout = (request: Request): Microseconds =>
  Math.max(minimumRecordTimeout, untilGivenUp(request) * recordTimeoutShare);

const log = (request: Request, text: string): void => request.gateway.log(text);

/** The final answer of a request that is given up, at once (§4.3). `retryAfter` in seconds, or null. */
const answerError = (request: Request, code: ErrorCode, text: string, retryAfter: number | null): void => {
  const { response, relayed, gateway, forwarding } = request;
  if (response.isClosed()) return;
  if (relayed.headSent) return response.abort();
  gateway.count('rejected');
  const words = forwarding.dialect.refuse(refusal(code, null, text), retryAfter);
  response.writeHead(words.status, [...words.headers, 'content-length', String(Buffer.byteLength(words.body))]);
  response.end(words.body);
};
/** Soon, and spread out: those refused together do not come back together. In seconds. */
const retrySoon = (request: Request): number => 0.1 + 0.2 * request.gateway.runtime.rand.next();

const leaveScheduler = (request: Request, tokens: number | null, worker: string | null, final = false): void => {
  const { placement, gateway, id } = request;
  if (placement.scheduled) gateway.admission.endTurn(id, { tokens, final, worker });
  placement.scheduled = false;
};

/** Tokens that reached the client: what it has is known, what a worker went on to make is not its. */
const tokensRelayed = (request: Request): number => {
  const { plan, relayed, placement } = request;
  return Math.min(Math.max(1, plan.usage.most), relayed.events * placement.tokensPerEvent);
};
/** Settles what was used. Resolves when that is kept or has failed; a turn that is not settled stays charged (§5.3). */
const settle = (request: Request, used: number, worker: string | null): Promise<void> => {
  const { account } = request.reservations;
  if (!account) return Promise.resolve();
  const usage = { actual: used, tokens: request.context.prompt + used, worker };
  return settleCharge(request.gateway, account, request.id, usage);
};

/** Closes the records of a request that was given up. */
const releaseReservations = async (request: Request): Promise<void> => {
  const { gateway, reservations, id } = request;
  const ran = request.phases.execution() !== 'no';
  if (reservations.account) {
    if (ran) await settle(request, tokensRelayed(request), null);
    else await gateway.budgets.refund(reservations.account, id);
  }
  // Each attempt has an id of its own here: no copy of this one can be on its way, so the key is free at once.
  if (reservations.key && !ran) await gateway.keys.release(reservations.key, id, 0);
};
/** Gives the request up before anything was sent: the answer goes out first, the records follow. */
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
const clientDisconnected = (request: Request): 'answered' => {
  request.gateway.count('orphaned');
  return reject(request, 'gone', 'the client went away', null);
};
const storesUnavailable = (request: Request, text: string): 'answered' =>
  reject(request, 'no_keepers', text, retrySoon(request));

/** Operations on a request that its stages share. Times are microseconds. */
export const requests = {
  open,
  left,
  untilGivenUp,
  recordTimeout,
  log,
  answerError,
  retrySoon,
  leaveScheduler,
  tokensRelayed,
  settle,
  reject,
  clientDisconnected,
  storesUnavailable,
};
