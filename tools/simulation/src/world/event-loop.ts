// The event loop of a simulated world: a priority queue of events by due time, and a hash over the trace (§9.2).
import { seeded, type Microseconds, type Random } from '@thornsail/runtime';
import type { Host, ScheduledEvent } from './host.js';

/** Runs events in order of due time. The same seed gives the same events and the same trace hash. */
export type EventLoop = {
  rand: Random;
  now: () => Microseconds;
  /** Schedules a callback on a host; null if it belongs to no host. */
  schedule: (after: Microseconds, host: Host | null, run: () => void) => void;
  /** Runs all events up to a time. */
  run: (until: Microseconds) => Promise<void>;
  /** Number of events that ran. */
  events: () => number;
  /** Adds a text to the trace hash. */
  trace: (text: string) => void;
  /** The trace hash, in hexadecimal. */
  hash: () => string;
};

/** FNV-1a, 32 bits. */
const hashStart = 0x811c9dc5;
const hashPrime = 0x01000193;
const mix = (hash: number, value: number): number => Math.imul(hash ^ value, hashPrime) >>> 0;

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

const push = (heap: ScheduledEvent[], event: ScheduledEvent): void => {
  heap.push(event);
  let i = heap.length - 1;
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!isBefore(heap[i]!, heap[parent]!)) break;
    [heap[i], heap[parent]] = [heap[parent]!, heap[i]!];
    i = parent;
  }
};
const siftDown = (heap: ScheduledEvent[]): void => {
  let i = 0;
  for (;;) {
    let first = i;
    for (const child of [2 * i + 1, 2 * i + 2])
      if (child < heap.length && isBefore(heap[child]!, heap[first]!)) first = child;
    if (first === i) return;
    [heap[i], heap[first]] = [heap[first]!, heap[i]!];
    i = first;
  }
};
const pop = (heap: ScheduledEvent[]): ScheduledEvent => {
  const top = heap[0]!;
  const last = heap.pop()!;
  if (heap.length) {
    heap[0] = last;
    siftDown(heap);
  }
  return top;
};

/** Waits until all pending promise callbacks have run. */
const settlePromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Whether the event's host still runs in the incarnation that scheduled it; a frozen host defers the event. */
const isRunnable = (event: ScheduledEvent): boolean => {
  const { host } = event;
  if (!host) return true;
  if (!host.alive || host.incarnation !== event.incarnation) return false;
  if (host.frozen) host.deferred.push(event);
  return !host.frozen;
};

/** Creates a loop at time 0. */
export const openEventLoop = (seed: number): EventLoop => {
  const heap: ScheduledEvent[] = [];
  let sequence = 0;
  let now: Microseconds = 0;
  let hash = hashStart;
  let events = 0;
  const runNext = async (): Promise<void> => {
    const event = pop(heap);
    now = event.at;
    if (!isRunnable(event)) return;
    events += 1;
    hash = mix(hash, (event.at & 0xffff) ^ (event.sequence & 0xffff));
    event.run();
    await settlePromises();
  };
  return {
    rand: seeded(seed),
    now: () => now,
    schedule: (after, host, run) => {
      const at = now + Math.max(0, Math.round(after));
      push(heap, { at, sequence: sequence++, host, incarnation: host?.incarnation ?? 0, run });
    },
    run: async (until) => {
      // Code that was started outside the event loop runs up to its first wait.
      await settlePromises();
      while (heap.length && heap[0]!.at <= until) await runNext();
      now = until;
    },
    events: () => events,
    trace: (text) => {
      for (let i = 0; i < text.length; i++) hash = mix(hash, text.charCodeAt(i));
    },
    hash: () => hash.toString(16),
  };
};
