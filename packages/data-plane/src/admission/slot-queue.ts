/** Queues of turns that wait for a slot at a worker (§5.2): one bounded queue for each class, urgent classes first. */
import { serviceOf, type Config } from '@thornsail/config-schema';
import { serviceOfWorker, type LoadBalancer, type SelectionRequest, type WorkerEntry } from '@thornsail/load-balancer';
import { duration, type Clock, type Microseconds } from '@thornsail/runtime';
import type { SlotResult, SlotOptions, SlotRequest } from './types.js';

type WaitingTurn = { request: SelectionRequest; resolve: (slot: SlotResult) => void; deadline: Microseconds };
type ClassQueue = { waitingSince: Microseconds; turns: WaitingTurn[] };
/** The queues of one gateway. */
export type SlotQueue = {
  acquire: (className: string, options: SlotOptions) => SlotRequest;
  release: (worker: string, className: string) => void;
  /** Gives free slots to waiting turns; called whenever slots may have become free. */
  serve: () => void;
  hasWaitingTurns: () => boolean;
  counts: { slotWaits: number; slotRejects: number };
  close: () => void;
};

/** Interval at which waiting turns are checked. */
const serveInterval = duration.ms(20);

const immediateResult = (slot: SlotResult): SlotRequest => ({ slot: Promise.resolve(slot), abandon: () => undefined });
const selectionOf = (options: SlotOptions): SelectionRequest => ({
  preferred: options.preferred,
  preferredHasContext: options.preferredHasContext ?? false,
  excluded: options.excluded,
  ...(options.service === undefined ? {} : { service: options.service }),
});

/** What the queues need from their gateway. */
type QueueContext = {
  clock: Clock;
  balancer: LoadBalancer;
  config: () => Config | undefined;
  expectedService: (className: string) => Microseconds;
  /** Called when the number of running or waiting turns has changed. */
  onChange: () => void;
};

/** Whether the service of a turn has a worker that accepts requests and is not excluded. */
const hasWorker = ({ balancer, config }: QueueContext, className: string, options: SlotOptions): boolean => {
  const settings = config()?.classes[className];
  const service = options.service ?? (settings && serviceOf(settings));
  return balancer
    .workers()
    .some((worker) => serviceOfWorker(worker) === service && !worker.leaving && !options.excluded.has(worker.id));
};
/**
 * Early rejection (§4.3): whether the queue is full or the expected wait exceeds the limit, so that the turn is
 * rejected at once and not at the end of its wait. Turns that wait at other gateways compete for the same slots and are
 * counted.
 */
const cannotServeInTime = (context: QueueContext, className: string, waiting: number, limit: Microseconds): boolean => {
  const { balancer, config, expectedService } = context;
  const turnsAhead = (balancer.waiting(className) + 1) / Math.max(1, balancer.fairShare(className));
  const buffer = config()?.classes[className]?.buffer ?? 0;
  return waiting >= buffer || limit <= 0 || turnsAhead * expectedService(className) > limit;
};

/** State of the queues, and what they need from their gateway. */
type Queues = QueueContext & {
  byClass: Map<string, ClassQueue>;
  counts: { slotWaits: number; slotRejects: number };
  /** Whether the timer of the next check is running. */
  isScheduled: boolean;
  closed: boolean;
};

const acquireAt = ({ balancer, onChange }: Queues, worker: WorkerEntry, className: string): SlotResult => {
  balancer.acquire(worker.id, className);
  onChange();
  return { type: 'acquired', worker };
};
const dequeued = ({ balancer, onChange }: Queues, className: string): void => {
  balancer.dequeue(className);
  onChange();
};

/** Serves the first turn of a queue, or rejects it after its deadline; false if it continues to wait. */
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
  // Urgent classes first, then in the order in which the queues were created.
  for (const className of [...queues.byClass.keys()].sort((a, b) => urgency(b) - urgency(a))) {
    const queue = queues.byClass.get(className)!;
    let served = true;
    while (served && queue.turns.length > 0) served = serveFirst(queues, className, queue, now);
    if (queue.turns.length === 0) queues.byClass.delete(className);
  }
};
/** Schedules the next check while turns wait; without waiting turns no timer runs. */
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
  const index = turns?.indexOf(turn) ?? -1;
  if (!turns || index < 0) return;
  turns.splice(index, 1);
  if (turns.length === 0) queues.byClass.delete(className);
  dequeued(queues, className);
  turn.resolve({ type: 'abandoned' });
};
const enqueue = (queues: Queues, className: string, options: SlotOptions): SlotRequest => {
  queues.counts.slotWaits += 1;
  let resolve: (slot: SlotResult) => void = () => undefined;
  const slot = new Promise<SlotResult>((resolvePromise) => {
    resolve = resolvePromise;
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
  if (worker && (options.force || waiting === 0)) return immediateResult(acquireAt(queues, worker, className));
  if (!hasWorker(queues, className, options)) return immediateResult({ type: 'no-worker' });
  if (!cannotServeInTime(queues, className, waiting, options.limit)) return enqueue(queues, className, options);
  queues.counts.slotRejects += 1;
  return immediateResult({ type: 'queue-full' });
};

/** Opens the queues of a gateway. */
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
