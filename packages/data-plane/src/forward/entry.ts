/** Entry of forwarded requests, whose bodies the gateway does not read (§5.7): accepts and plans, or refuses them. */
import { duration, time, type HttpRequest, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { ClusterView } from '../cluster-view.js';
import type { Gateway } from '../gateway.js';
import type { Lifecycle } from '../lifecycle.js';
import type { Dialect } from './dialect.js';
import { forward, type Forwarding } from './forward.js';
import { refusal } from './plan.js';

/** How long a request may wait at a gateway that does not know the cluster yet. */
const startupWait = duration.ms(1500);
/** It waits for at most this share of its client's timeout, so that another gateway can serve it in the rest. */
const startupWaitShare = 0.5;
const startPollInterval = duration.ms(20);

/** Serves one request in a dialect. */
export type ForwardEntry = (
  forwarding: Forwarding,
  request: HttpRequest,
  response: HttpResponseWriter,
) => Promise<void>;

const answerRefusal = (
  dialect: Dialect,
  response: HttpResponseWriter,
  refused: Parameters<Dialect['refuse']>[0],
  retryAfter: number | null,
): void => {
  const answer = dialect.refuse(refused, retryAfter);
  if (response.isClosed()) return;
  response.writeHead(answer.status, [...answer.headers, 'content-length', String(Buffer.byteLength(answer.body))]);
  response.end(answer.body);
};

const open = (gateway: Gateway, view: ClusterView, lifecycle: Lifecycle, storesKnown: () => boolean): ForwardEntry => {
  const { membership, runtime, inFlight, admission } = gateway;
  const { clock } = runtime;
  const { inContact } = view;
  let wasKnown = false;
  const isKnown = (): boolean => view.config() !== undefined && admission.hasWorkers() && storesKnown();
  /** A gateway that has just started accepts requests at once, and serves them when it knows the cluster (§5.10). */
  const untilKnown = async (response: HttpResponseWriter, limit: Microseconds): Promise<void> => {
    const startedAt = clock.now();
    const end = startedAt + limit;
    const mayWait = (): boolean => !response.isClosed() && !lifecycle.isClosed() && lifecycle.phase() !== 'draining';
    while (!isKnown() && clock.now() < end && mayWait()) await time.sleep(clock, startPollInterval);
    if (wasKnown || !isKnown()) return;
    wasKnown = true;
    gateway.log(`the cluster is known; the first request waited ${duration.toMs(clock.now() - startedAt)} ms for it.`);
  };
  /** Why no request is accepted now; null: it is. `clientTimeout`: how long the client waits, null if not stated. */
  const whyClosed = async (
    response: HttpResponseWriter,
    clientTimeout: Microseconds | null,
  ): Promise<string | null> => {
    if (lifecycle.phase() !== 'draining')
      await untilKnown(response, Math.min(startupWait, (clientTimeout ?? Infinity) * startupWaitShare));
    if (lifecycle.phase() === 'draining') return 'this node is leaving';
    const config = view.config();
    if (!config) return 'no configuration yet';
    if (!inContact() && (!(await membership.refresh()) || !inContact())) return 'this node is cut off from most others';
    return inFlight.size >= view.config()!.scheduler.maxTurns ? 'this node holds as many requests as it may' : null;
  };
  return async (forwarding, request, response) => {
    gateway.count('requests');
    const arrivedAt = clock.now();
    const { dialect } = forwarding;
    const why = await whyClosed(response, dialect.clientTimeout(request));
    if (why !== null)
      return answerRefusal(dialect, response, refusal('closed', null, why), 0.2 + 0.3 * runtime.rand.next());
    const plan = dialect.plan(request, view.config()!);
    if (plan.kind === 'refuse') {
      gateway.count('bad_requests');
      return answerRefusal(dialect, response, plan, null);
    }
    return forward(forwarding, plan, response, arrivedAt);
  };
};

/** Opens the entry of forwarded requests. */
export const forwardEntry = { open };
