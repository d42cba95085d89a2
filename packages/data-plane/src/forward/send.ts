// Sending a request to one worker (§5.7): a last look at the news, a connection, the exchange, and what it relays.
import type { WorkerEntry } from '@thornsail/load-balancer';
import { time, us, type Us } from '@thornsail/runtime';
import type { Lease } from './connections.js';
import { events } from './events.js';
import { exchange, type Outcome, type StreamSink } from './exchange.js';
import { finish } from './finish.js';
import { requests, type Next, type Request } from './request.js';

/** A reader that takes nothing for so long is cut off. */
const slowReader = us.s(5);
const largestAnswer = 8 << 20;
const leastTimeToSend = us.ms(1);
/** What of a worker's connections all edges together may use, and where a service tells no limit. */
const connectionShare = 0.9;
const untoldConnections = 64;
const leastConnections = 2;

/** The last look before sending: news as fresh as it must be, a worker that stays, a client that still waits. */
const lastLook = async (request: Request, worker: WorkerEntry): Promise<WorkerEntry | Next> => {
  const { edge, response } = request;
  if (!(await edge.freshen())) {
    const text = 'this node has just woken and could not refresh its news';
    return requests.reject(request, 'stale', text, requests.soon(request));
  }
  const now = edge.adm.worker(worker.id);
  if (!now || now.leaving) return 'again';
  if (response.gone()) return requests.clientGone(request);
  if (requests.left(request) <= leastTimeToSend)
    return requests.reject(request, 'late', 'the time left ran out before anything was sent', null);
  return now;
};

const leaseOf = ({ edge, forwarding, placement }: Request, worker: WorkerEntry): Lease | undefined => {
  const service = edge.config().services.find((known) => known.name === placement.service);
  const part = ((service?.connections ?? untoldConnections) * connectionShare) / forwarding.edges();
  return forwarding.connections.take(worker, Math.max(leastConnections, Math.floor(part)));
};

const untilDrained = async ({ edge, response }: Request): Promise<void> => {
  const stuck = await Promise.race([
    response.drained().then(() => false),
    time.sleep(edge.lens.clock, slowReader).then(() => true),
  ]);
  if (!stuck || response.gone()) return;
  edge.bump('slow_cut');
  response.cut();
};
/** Events go to the caller as they come; what was said of the first worker stays the answer's head. */
const sinkOf = (request: Request, sentAt: Us): StreamSink => {
  const { edge, plan, placement, relayed, response } = request;
  return {
    head: (status, headers) => {
      edge.adm.sawFirst(plan.cls, edge.lens.clock.now() - sentAt, placement.forced);
      if (request.stages.now() === 'sent') request.stages.go('relay');
      if (relayed.headSent || response.gone()) return;
      relayed.headSent = true;
      response.head(status, headers);
    },
    event: (event) => {
      if (event.hasData) {
        relayed.events += 1;
        relayed.last = event.bytes;
        if (plan.route.keepSeconds > 0) relayed.output += `${events.fields(event.bytes).data}\n`;
      }
      return response.gone() || response.write(event.bytes);
    },
    drained: () => untilDrained(request),
  };
};

const exchangeWith = (request: Request, worker: WorkerEntry, lease: Lease, sentAt: Us): Promise<Outcome> =>
  exchange.run({
    lens: request.edge.lens,
    lease,
    worker,
    dialect: request.forwarding.dialect,
    plan: request.plan,
    body: request.context.body,
    left: requests.left(request),
    lastEvent: request.relayed.lastId,
    say: request.response,
    sink: sinkOf(request, sentAt),
    most: largestAnswer,
  });

/** One worker: looked at again, sent to. `again` if another one is to be chosen. */
export const tryWorker = async (request: Request, worker: WorkerEntry): Promise<Next> => {
  const { edge, plan, placement } = request;
  let took: Us | null = null;
  const another = (): Next => {
    placement.excluded.add(worker.id);
    return 'again';
  };
  try {
    if (request.stages.now() === 'admitted') request.stages.go('charge');
    const now = await lastLook(request, worker);
    if (now === 'done') return 'done';
    if (now === 'again') return another();
    const lease = leaseOf(request, now);
    if (!lease) return another();
    request.stages.go('send');
    placement.sends += 1;
    const sentAt = edge.lens.clock.now();
    const outcome = await exchangeWith(request, now, lease, sentAt);
    if (outcome.how === 'unsent' && outcome.worker) placement.sends -= 1;
    if (outcome.how === 'streamed' || outcome.how === 'answer') took = edge.lens.clock.now() - sentAt;
    return await finish(request, worker, outcome);
  } finally {
    edge.adm.leave(worker.id, plan.cls, took);
  }
};
