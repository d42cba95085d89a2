/**
 * Nodes in one process with a virtual clock: frames and disk calls take fixed times, so what is sent and written
 * depends on the code under test alone, and can be compared byte for byte with what another release sends and writes.
 */
import type { Address, Clock, Microseconds, Runtime } from '@thornsail/runtime';

/** Wall time at the start of every history, in microseconds since 1970. */
const wallAtStart = 1_700_000_000_000_000;
/** How long each call of a disk takes; all differ, so that no two of one kind end at the same moment by chance. */
const diskTimes = { put: 701, reserve: 307, fill: 503, settle: 109, get: 71, list: 31, drop: 131 };

type Timer = { at: Microseconds; order: number; run: () => void };
export type Files = Map<string, string>;
export type LoopbackNode = { runtime: Runtime; files: Files };
export type Loopback = {
  clock: Clock;
  node: (at: Address, files?: Files) => LoopbackNode;
  /** Frames between these two are lost from now on, until the function that it gives is called. */
  disconnect: (one: Address, other: Address) => () => void;
  /** Takes a node off the network: frames to and from its present process are lost. */
  stop: (at: Address) => void;
  sleep: (time: Microseconds) => Promise<void>;
  /** Moves the clock from timer to timer until the work is done. */
  run: <T>(work: Promise<T>) => Promise<T>;
  /** All frames in the order in which they were sent, as `sender>receiver text`. */
  frames: string[];
};

const openClock = (): { clock: Clock; step: () => boolean } => {
  const timers: Timer[] = [];
  let now = 0;
  let order = 0;
  const schedule = (after: Microseconds, run: () => void): (() => void) => {
    const timer = { at: now + Math.max(0, after), order: order++, run };
    timers.push(timer);
    return () => {
      const i = timers.indexOf(timer);
      if (i >= 0) timers.splice(i, 1);
    };
  };
  const step = (): boolean => {
    timers.sort((a, b) => a.at - b.at || a.order - b.order);
    const timer = timers.shift();
    if (!timer) return false;
    now = timer.at;
    timer.run();
    return true;
  };
  // `tick` is the former name of `schedule`.
  const clock = { now: () => now, wallTime: () => wallAtStart + now, schedule, tick: schedule };
  return { clock, step };
};

const openDisk = (sleep: (time: Microseconds) => Promise<void>, files: Files): Runtime['disk'] => ({
  writeDocument: async (name, text) => {
    await sleep(diskTimes.put);
    files.set(name, text);
  },
  reserveFiles: async (names) => {
    await sleep(diskTimes.reserve);
    for (const name of names) if (!files.has(name)) files.set(name, '');
  },
  writeReserved: async (name, text) => {
    await sleep(diskTimes.fill);
    const content = text();
    await sleep(diskTimes.fill);
    files.set(name, content);
  },
  syncExisting: () => sleep(diskTimes.settle),
  read: async (name) => {
    await sleep(diskTimes.get);
    return files.get(name);
  },
  list: async () => {
    await sleep(diskTimes.list);
    return [...files.keys()].sort();
  },
  remove: async (name) => {
    await sleep(diskTimes.drop);
    files.delete(name);
  },
});

type Receiver = (from: Address, text: string) => void;
const linkOf = (one: Address, other: Address): string => [one, other].sort().join(' ');
/** Latency by the numbers of both nodes: different for each pair. */
const latencyOf = (one: Address, other: Address): Microseconds =>
  [one, other].reduce((sum, at) => sum + 97 * Number(at.split('.')[3]!.split(':')[0]), 400);

/** Opens an empty network. */
export const openLoopback = (): Loopback => {
  const { clock, step } = openClock();
  const receivers = new Map<Address, Receiver>();
  const disconnected = new Set<string>();
  const frames: string[] = [];
  const processes = new Map<Address, number>();
  const sleep = (time: Microseconds): Promise<void> => new Promise((done) => void clock.schedule(time, done));
  const openFrames = (at: Address, receive: Receiver): object => {
    receivers.set(at, receive);
    const send = (to: Address, text: string): void => {
      if (receivers.get(at) !== receive) return;
      frames.push(`${at}>${to} ${text}`);
      clock.schedule(latencyOf(at, to), () => {
        if (receivers.get(at) === receive && !disconnected.has(linkOf(at, to))) receivers.get(to)?.(at, text);
      });
    };
    return { at, send, close: () => Promise.resolve() };
  };
  const node: Loopback['node'] = (at, files = new Map()) => {
    const process = (processes.get(at) ?? 0) + 1;
    processes.set(at, process);
    let ids = 0;
    const id = (): string => `${at.split('.')[3]}-${process}-${++ids}`.padEnd(24, 'x');
    const rand = { next: () => 0.5, int: (below: number) => Math.floor(below / 2), id };
    const net = {
      openFrameTransport: (address: Address, receive: Receiver) => Promise.resolve(openFrames(address, receive)),
    };
    const runtime = { clock, rand, disk: openDisk(sleep, files), net, log: () => () => undefined };
    return { runtime: runtime as unknown as Runtime, files };
  };
  return {
    clock,
    node,
    frames,
    sleep,
    stop: (at) => void receivers.delete(at),
    disconnect: (one, other) => {
      disconnected.add(linkOf(one, other));
      return () => void disconnected.delete(linkOf(one, other));
    },
    run: async (work) => {
      let over = false;
      const end = (): void => void (over = true);
      work.then(end, end);
      for (;;) {
        // All that follows from the last timer happens before the next one.
        for (let i = 0; i < 3; i++) await new Promise((done) => setImmediate(done));
        if (over) return work;
        if (!step()) throw new Error('nothing is left to happen, and the work is not done');
      }
    },
  };
};
