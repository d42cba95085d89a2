/** Sends a request to one worker (§5.7): a last check, a connection, the exchange, and the relay of its stream. */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import { preSendCheck, waitUntilRead } from '../requests/attempt.js';
import type { StepResult } from '../requests/steps.js';
import type { Lease } from './connections.js';
import { events, type StreamEvent } from './events.js';
import { exchange, type Outcome, type StreamSink } from './exchange.js';
import { finish } from './finish.js';
import { endsWithClient } from './plan.js';
import { requests, type Request } from './request.js';

/** In bytes, of a response that is not a stream, and of the output of a turn that is kept. */
const maxResponseSize = 8 << 20;
/** Events that a stream may have beyond the output that its request allows, and events without data. */
const spareEvents = 16;
const maxEventsWithoutData = 1024;
/** Events of a stream whose request does not state the largest output. */
const maxEventsUnstated = 1 << 17;
const minimumTimeToSend = duration.ms(1);
/** Share of a worker's connection limit that all gateways together use. */
const connectionShare = 0.9;
/** Connection limit of a worker whose service configures none. */
const defaultConnectionLimit = 64;
/** Connections that a gateway may use to a worker however many gateways share its limit. */
const minimumConnections = 2;

const checkBeforeSend = preSendCheck<Request>({
  remaining: requests.left,
  minimumTime: minimumTimeToSend,
  reject: requests.reject,
  retryAfter: requests.retryDelay,
  clientDisconnected: requests.clientDisconnected,
});

const acquireLease = ({ gateway, forwarding, placement }: Request, worker: WorkerEntry): Lease | undefined => {
  const service = gateway.config().services.find((configured) => configured.name === placement.service);
  const share = ((service?.connections ?? defaultConnectionLimit) * connectionShare) / forwarding.gatewayCount();
  return forwarding.connections.acquire(worker, Math.max(minimumConnections, Math.floor(share)));
};

/** Aborts an exchange from the gateway's side: because of what its worker sent, or since its client disconnected. */
type ExchangeAborter = {
  /** The client's response as the exchange sees it: closes when the exchange is to be broken off. */
  watchedResponse: HttpResponseWriter;
  abort: (reason: string) => void;
  /** The reason of the first call of `abort`; null: not aborted. */
  reason: () => string | null;
};
const createAborter = ({ plan, response }: Request): ExchangeAborter => {
  let reason: string | null = null;
  let listeners: (() => void)[] = [];
  return {
    watchedResponse: {
      ...response,
      onClose: (listener) => {
        listeners.push(listener);
        if (endsWithClient(plan)) response.onClose(listener);
      },
    },
    abort: (text) => {
      reason ??= text;
      const notified = listeners;
      listeners = [];
      for (const listener of notified) listener();
    },
    reason: () => reason,
  };
};

/** Whether a resumed stream continues after the client's last event. Ids that are not numbers are accepted. */
const continuesAfter = (lastEventId: string | null, event: StreamEvent): boolean => {
  const [last, next] = [Number(lastEventId ?? Number.NaN), Number(events.parseFields(event.bytes).id ?? Number.NaN)];
  return !(next <= last);
};
/** The most events with data that the request allows a stream. */
const maxEventsOf = ({ plan, placement }: Request): number =>
  plan.usage.most === 0 ? maxEventsUnstated : Math.ceil(plan.usage.most / placement.tokensPerEvent) + spareEvents;
/** Relays events to the caller as they arrive. A resumed stream keeps the response head of its first worker. */
const sinkOf = (request: Request, sentAt: Microseconds, aborter: ExchangeAborter): StreamSink => {
  const { gateway, plan, placement, relayed, response } = request;
  const { dialect } = request.forwarding;
  const resumed = relayed.lastEventId !== null;
  const maxEvents = maxEventsOf(request);
  let first = true;
  let eventsWithoutData = 0;
  const relay = (event: StreamEvent): void => {
    relayed.events += 1;
    relayed.lastEventBytes = event.bytes;
    relayed.version = dialect.eventVersion(event.bytes) ?? relayed.version;
    if (plan.route.keepSeconds > 0) relayed.output += `${events.parseFields(event.bytes).data}\n`;
  };
  return {
    head: (status, headers) => {
      gateway.admission.observeFirstToken(plan.className, gateway.runtime.clock.now() - sentAt, placement.forced);
      if (request.phases.current() === 'sent') request.phases.transition('relay');
      request.timeline.enter('stream');
      const version = dialect.headVersion(headers);
      // A response must not mix two versions of the weights.
      if (relayed.version !== null && version !== null && version !== relayed.version)
        return aborter.abort(`the worker has version ${version} of the weights, the stream has ${relayed.version}`);
      relayed.version ??= version;
      if (relayed.headSent || response.isClosed()) return;
      relayed.headSent = true;
      response.writeHead(status, headers);
    },
    event: (event) => {
      if (aborter.reason() !== null) return true;
      if (event.hasData ? relayed.events >= maxEvents : ++eventsWithoutData > maxEventsWithoutData) {
        aborter.abort('the stream has more events than the request allows');
        return true;
      }
      if (event.hasData) {
        if (resumed && first && !continuesAfter(relayed.lastEventId, event)) {
          aborter.abort('the resumed stream repeats events that the client has');
          return true;
        }
        first = false;
        relay(event);
        if (relayed.output.length > maxResponseSize) {
          aborter.abort('the turn is too large to be kept');
          return true;
        }
      }
      return response.isClosed() || response.write(event.bytes);
    },
    drained: () => waitUntilRead(gateway, response),
  };
};

const exchangeWith = async (
  request: Request,
  worker: WorkerEntry,
  lease: Lease,
  sentAt: Microseconds,
): Promise<Outcome> => {
  const { plan, relayed } = request;
  const aborter = createAborter(request);
  const outcome = await exchange.run({
    runtime: request.gateway.runtime,
    lease,
    worker,
    dialect: request.forwarding.dialect,
    plan: { ...plan, expectVersion: relayed.version ?? plan.expectVersion },
    body: request.context.body,
    left: requests.left(request),
    lastEvent: relayed.lastEventId,
    client: aborter.watchedResponse,
    sink: sinkOf(request, sentAt, aborter),
    maxBodySize: maxResponseSize,
  });
  const why = aborter.reason();
  return why === null ? outcome : { type: 'cut', why };
};

/** Whether the worker is the one that answered the previous turn; null: there is no previous turn. */
const reachedContext = ({ plan, placement }: Request, worker: string): boolean | null =>
  plan.previous === null ? null : worker === placement.contextWorker;

/** Checks one worker again and sends the request to it. `continue` if another worker is to be chosen. */
export const tryWorker = async (request: Request, worker: WorkerEntry): Promise<StepResult> => {
  const { gateway, plan, placement } = request;
  let serviceTime: Microseconds | null = null;
  const chooseAnother = (): StepResult => {
    placement.excluded.add(worker.id);
    return 'continue';
  };
  try {
    if (request.phases.current() === 'admitted') request.phases.transition('charge');
    const current = checkBeforeSend(request, worker, await gateway.refreshIfStale());
    if (current === 'answered') return 'answered';
    if (current === 'continue') return chooseAnother();
    const lease = acquireLease(request, current);
    if (!lease) return chooseAnother();
    request.phases.transition('send');
    request.timeline.enter('first_event');
    request.timeline.sentTo(current.id, reachedContext(request, current.id));
    placement.sends += 1;
    const sentAt = gateway.runtime.clock.now();
    const outcome = await exchangeWith(request, current, lease, sentAt);
    if (outcome.type === 'unsent' && outcome.workerDown) placement.sends -= 1;
    if (outcome.type === 'streamed' || outcome.type === 'answer') serviceTime = gateway.runtime.clock.now() - sentAt;
    return await finish(request, worker, outcome);
  } finally {
    gateway.admission.releaseSlot(worker.id, plan.className, serviceTime);
  }
};
