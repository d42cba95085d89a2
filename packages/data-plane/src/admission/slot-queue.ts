/** Turns that wait for a slot at a worker (§5.2): a bounded queue for each class, urgent classes first. */
import { serviceOf, type Config } from '@thornsail/config-schema';
import { serviceOfWorker, type LoadBalancer, type SelectionRequest, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { Slot, SlotOptions, SlotRequest } from './types.js';

type WaitingTurn = { request: SelectionRequest; resolve: (slot: Slot) => void; deadline: Microseconds };
type ClassQueue = { waitingSince: Microseconds; turns: WaitingTurn[] };
/** The queues of one gateway. */
export type SlotQueue = {
  acquire: (className: string, options: SlotOptions) => SlotRequest;
  release: (worker: string, className: string) => void;
  /** Serves waiting turns as far as there are slots; called whenever slots may have become free. */
  serve: () => void;
  hasWaitingTurns: () => boolean;
  counts: { slotWaits: number; slotRejects: number };
  close: () => void;
};

/** How often waiting turns are looked at again. */
const serveInterval = duration.ms(20);

const answered = (slot: Slot): SlotRequest => ({ slot: Promise.resolve(slot), abandon: () => undefined });
const selectionOf = (options: SlotOptions): SelectionRequest => ({
  preferred: options.preferred,
  preferredHasContext: options.preferredHasContext ?? false,
  excluded: options.excluded,
  ...(options.service === undefined ? {} : { service: options.service }),
});

/** What the queues need of their gateway. */
type QueueContext = {
  clock: Clock;
  balancer: LoadBalancer;
  config: () => Config | undefined;
  expectedService: (className: string) => Microseconds;
  /** Called when what runs or waits here has changed. */
  onChange: () => void;
};

/** Whether the service that a turn goes to has any worker that takes requests. */
const hasWorker = ({ balancer, config }: QueueContext, className: string, options: SlotOptions): boolean => {
  const settings = config()?.classes[className];
  const service = options.service ?? (settings && serviceOf(settings));
  return balancer
    .workers()
    .some((worker) => serviceOfWorker(worker) === service && !worker.leaving && !options.excluded.has(worker.id));
};
/**
 * Early rejection: what cannot be had in time is said at once, not at the end of the wait (§4.3). What waits at the
 * other gateways wants the same slots.
 */
const isInVain = (context: QueueContext, className: string, waiting: number, limit: Microseconds): boolean => {
  const { balancer, config, expectedService } = context;
  const turnsAhead = (balancer.waiting(className) + 1) / Math.max(1, balancer.fairShare(className));
  const buffer = config()?.classes[className]?.buffer ?? 0;
  return waiting >= buffer || limit <= 0 || turnsAhead * expectedService(className) > limit;
};

/** The queues with what they need of their gateway. */
type Queues = QueueContext & {
  byClass: Map<string, ClassQueue>;
  counts: { slotWaits: number; slotRejects: number };
  /** Whether the timer for the next look at the queues runs. */
  isScheduled: boolean;
  closed: boolean;
};

const acquireAt = ({ balancer, onChange }: Queues, worker: WorkerEntry, className: string): Slot => {
  balancer.acquire(worker.id, className);
  onChange();
  return { type: 'acquired', worker };
};
const dequeued = ({ balancer, onChange }: Queues, className: string): void => {
  balancer.dequeue(className);
  onChange();
};

/** Serves or gives up the first turn of a queue; false if it has to wait on. */
const serveFirst = (queues: Queues, className: string, queue: ClassQueue, now: Microseconds): boolean => {
  const { request, resolve, deadline } = queue.turns[0]!;
  const isLate = deadline <= now;
  const waitedFor = now - queue.waitingSince;
  const worker = isLate ? null : queues.balancer.select(className, { ...request, waitedFor });
  if (!isLate && !worker) return false;
  queue.turns.shift();
  dequeued(queues, className);
  if (worker) resolve(acquireAt(queues, worker, className));
  else {
    queues.counts.slotRejects += 1;
    resolve({ type: 'timed-out' });
  }
  return true;
};
const serve = (queues: Queues): void => {
  const now = queues.clock.now();
  const urgency = (className: string): number => Number(queues.config()?.classes[className]?.urgent ?? false);
  // Urgent classes first, then in the order in which they began to wait.
  for (const className of [...queues.byClass.keys()].sort((a, b) => urgency(b) - urgency(a))) {
    const queue = queues.byClass.get(className)!;
    let served = true;
    while (served && queue.turns.length > 0) served = serveFirst(queues, className, queue, now);
    if (queue.turns.length === 0) queues.byClass.delete(className);
  }
};
/** While turns wait, they are looked at again and again; no timer runs while none do. */
const scheduleServe = (queues: Queues): void => {
  if (queues.isScheduled || queues.closed) return;
  queues.isScheduled = true;
  queues.clock.schedule(serveInterval, () => {
    queues.isScheduled = false;
    if (queues.closed || queues.byClass.size === 0) return;
    serve(queues);
    if (queues.byClass.size > 0) scheduleServe(queues);
  });
};

const abandon = (queues: Queues, className: string, turn: WaitingTurn): void => {
  const turns = queues.byClass.get(className)?.turns;
  const i = turns?.indexOf(turn) ?? -1;
  if (!turns || i < 0) return;
  turns.splice(i, 1);
  if (turns.length === 0) queues.byClass.delete(className);
  dequeued(queues, className);
  turn.resolve({ type: 'abandoned' });
};
const enqueue = (queues: Queues, className: string, options: SlotOptions): SlotRequest => {
  queues.counts.slotWaits += 1;
  let resolve: (slot: Slot) => void = () => undefined;
  const slot = new Promise<Slot>((fulfil) => {
    resolve = fulfil;
  });
  const now = queues.clock.now();
  const turn = { request: selectionOf(options), resolve, deadline: now + options.limit };
  const queue = queues.byClass.get(className);
  if (queue) queue.turns.push(turn);
  else queues.byClass.set(className, { waitingSince: now, turns: [turn] });
  scheduleServe(queues);
  queues.balancer.enqueue(className);
  queues.onChange();
  return { slot, abandon: () => abandon(queues, className, turn) };
};
const acquire = (queues: Queues, className: string, options: SlotOptions): SlotRequest => {
  const worker = queues.balancer.select(className, { ...selectionOf(options), force: options.force });
  const waiting = queues.byClass.get(className)?.turns.length ?? 0;
  if (worker && (options.force || waiting === 0)) return answered(acquireAt(queues, worker, className));
  if (!hasWorker(queues, className, options)) return answered({ type: 'no-worker' });
  if (!isInVain(queues, className, waiting, options.limit)) return enqueue(queues, className, options);
  queues.counts.slotRejects += 1;
  return answered({ type: 'queue-full' });
};

/** Queues of turns that wait for a slot. */
export const slotQueue = {
  open: (context: QueueContext): SlotQueue => {
    const counts = { slotWaits: 0, slotRejects: 0 };
    const queues: Queues = { ...context, byClass: new Map(), counts, isScheduled: false, closed: false };
    return {
      counts,
      acquire: (className, options) => acquire(queues, className, options),
      release: (worker, className) => {
        context.balancer.release(worker, className);
        context.onChange();
      },
      serve: () => serve(queues),
      hasWaitingTurns: () => queues.byClass.size > 0,
      close: () => {
        queues.closed = true;
      },
    };
  },
};
