// Sending a request to one worker (§5.7): a last look at the news, a connection, the exchange, and what it relays.
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

const largestAnswer = 8 << 20;
const leastTimeToSend = duration.ms(1);
/** What of a worker's connections all gateways together may use, and where a service tells no limit. */
const connectionShare = 0.9;
const untoldConnections = 64;
const leastConnections = 2;

const checkBeforeSend = preSendCheck<Request>({
  remaining: requests.left,
  minimumTime: leastTimeToSend,
  reject: requests.reject,
  retryAfter: requests.retrySoon,
  clientDisconnected: requests.clientDisconnected,
});

const leaseOf = ({ gateway, forwarding, placement }: Request, worker: WorkerEntry): Lease | undefined => {
  const service = gateway.config().services.find((known) => known.name === placement.service);
  const part = ((service?.connections ?? untoldConnections) * connectionShare) / forwarding.gatewayCount();
  return forwarding.connections.take(worker, Math.max(leastConnections, Math.floor(part)));
};

/** Ends one exchange from this side, because of what its worker sent or because its client has gone. */
type Stop = {
  /** As the exchange watches it: told when the exchange is to end. */
  watched: HttpResponseWriter;
  stop: (why: string) => void;
  /** Why it was stopped; null: it was not. */
  why: () => string | null;
};
const stopOf = ({ plan, response }: Request): Stop => {
  let why: string | null = null;
  let waiting: (() => void)[] = [];
  return {
    watched: {
      ...response,
      onClose: (tell) => {
        waiting.push(tell);
        if (endsWithClient(plan)) response.onClose(tell);
      },
    },
    stop: (text) => {
      why ??= text;
      const all = waiting;
      waiting = [];
      for (const tell of all) tell();
    },
    why: () => why,
  };
};

/** Whether a stream that was taken up goes on behind the last event that the client has. */
const goesOn = (lastId: string | null, event: StreamEvent): boolean => {
  const [last, next] = [Number(lastId ?? Number.NaN), Number(events.fields(event.bytes).id ?? Number.NaN)];
  return !(next <= last);
};
/** Events go to the caller as they come; what was said of the first worker stays the answer's head. */
const sinkOf = (request: Request, sentAt: Microseconds, stop: Stop): StreamSink => {
  const { gateway, plan, placement, relayed, response } = request;
  const { dialect } = request.forwarding;
  const resumed = relayed.lastId !== null;
  let first = true;
  const relay = (event: StreamEvent): void => {
    relayed.events += 1;
    relayed.last = event.bytes;
    relayed.version = dialect.eventVersion(event.bytes) ?? relayed.version;
    if (plan.route.keepSeconds > 0) relayed.output += `${events.fields(event.bytes).data}\n`;
  };
  return {
    head: (status, headers) => {
      gateway.admission.observeFirstToken(plan.cls, gateway.runtime.clock.now() - sentAt, placement.forced);
      if (request.phases.current() === 'sent') request.phases.transition('relay');
      request.timeline.enter('stream');
      const version = dialect.headVersion(headers);
      // An answer never mixes two versions of weights.
      if (relayed.version !== null && version !== null && version !== relayed.version)
        return stop.stop(`version ${version} of its weights in place of ${relayed.version}`);
      relayed.version ??= version;
      if (relayed.headSent || response.isClosed()) return;
      relayed.headSent = true;
      response.writeHead(status, headers);
    },
    event: (event) => {
      if (stop.why() !== null) return true;
      if (event.hasData) {
        if (resumed && first && !goesOn(relayed.lastId, event)) {
          stop.stop('it did not go on behind the last event');
          return true;
        }
        first = false;
        relay(event);
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
  const stop = stopOf(request);
  const outcome = await exchange.run({
    runtime: request.gateway.runtime,
    lease,
    worker,
    dialect: request.forwarding.dialect,
    plan: { ...plan, expectVersion: relayed.version ?? plan.expectVersion },
    body: request.context.body,
    left: requests.left(request),
    lastEvent: relayed.lastId,
    say: stop.watched,
    sink: sinkOf(request, sentAt, stop),
    most: largestAnswer,
  });
  const why = stop.why();
  return why === null ? outcome : { how: 'cut', why };
};

/** Whether a turn goes where the turn before it was answered; null: there was none. */
const reachedContext = ({ plan, placement }: Request, worker: string): boolean | null =>
  plan.previous === null ? null : worker === placement.contextAt;

/** One worker: looked at again, sent to. `continue` if another one is to be chosen. */
export const tryWorker = async (request: Request, worker: WorkerEntry): Promise<StepResult> => {
  const { gateway, plan, placement } = request;
  let took: Microseconds | null = null;
  const another = (): StepResult => {
    placement.excluded.add(worker.id);
    return 'continue';
  };
  try {
    if (request.phases.current() === 'admitted') request.phases.transition('charge');
    const now = checkBeforeSend(request, worker, await gateway.refreshIfStale());
    if (now === 'answered') return 'answered';
    if (now === 'continue') return another();
    const lease = leaseOf(request, now);
    if (!lease) return another();
    request.phases.transition('send');
    request.timeline.enter('first_event');
    request.timeline.sentTo(now.id, reachedContext(request, now.id));
    placement.sends += 1;
    const sentAt = gateway.runtime.clock.now();
    const outcome = await exchangeWith(request, now, lease, sentAt);
    if (outcome.how === 'unsent' && outcome.worker) placement.sends -= 1;
    if (outcome.how === 'streamed' || outcome.how === 'answer') took = gateway.runtime.clock.now() - sentAt;
    return await finish(request, worker, outcome);
  } finally {
    gateway.admission.releaseSlot(worker.id, plan.cls, took);
  }
};
