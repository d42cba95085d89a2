/**
 * A network of nodes in one process with a virtual clock. Frames and disk calls take fixed times, so that the frames
 * sent and files written depend only on the code under test, and can be compared byte for byte with those of another
 * release.
 */
import type { Address, Clock, Microseconds, Runtime } from '@thornsail/runtime';

/** The wall time at the start of every run, in microseconds since 1970. */
const startWallTime = 1_700_000_000_000_000;
/**
 * The duration of each disk call in microseconds; all differ, so that calls do not end at the same moment by chance.
 */
const diskDurations = {
  writeDocument: 701,
  reserveFiles: 307,
  writeReserved: 503,
  syncExisting: 109,
  read: 71,
  list: 31,
  remove: 131,
};

type Timer = { dueAt: Microseconds; order: number; run: () => void };
/** The contents of a node's files by name. */
export type Files = Map<string, string>;
/** A node; its files outlive it. */
export type LoopbackNode = { runtime: Runtime; files: Files };
/** A network. */
export type Loopback = {
  clock: Clock;
  /** Starts a node, with the files of an earlier one if given. */
  node: (address: Address, files?: Files) => LoopbackNode;
  /** Drops the frames between two nodes until the returned function is called. */
  disconnect: (first: Address, second: Address) => () => void;
  /** Takes a node off the network: frames to and from its current process are lost. */
  stop: (address: Address) => void;
  sleep: (time: Microseconds) => Promise<void>;
  /** Moves the clock from timer to timer until the work is done. */
  run: <T>(work: Promise<T>) => Promise<T>;
  /** All frames in the order of sending, as `sender>receiver text`. */
  frames: string[];
};

const openClock = (): { clock: Clock; step: () => boolean } => {
  const timers: Timer[] = [];
  let now = 0;
  let order = 0;
  const schedule = (after: Microseconds, run: () => void): (() => void) => {
    const timer = { dueAt: now + Math.max(0, after), order: order++, run };
    timers.push(timer);
    return () => {
      const i = timers.indexOf(timer);
      if (i >= 0) timers.splice(i, 1);
    };
  };
  const step = (): boolean => {
    timers.sort((a, b) => a.dueAt - b.dueAt || a.order - b.order);
    const timer = timers.shift();
    if (!timer) return false;
    now = timer.dueAt;
    timer.run();
    return true;
  };
  // The previous release, whose code is run to make the fixtures, calls `schedule` by its former name `tick`.
  const clock = { now: () => now, wallTime: () => startWallTime + now, schedule, tick: schedule };
  return { clock, step };
};

const openDisk = (sleep: (time: Microseconds) => Promise<void>, files: Files): Runtime['disk'] => ({
  writeDocument: async (name, text) => {
    await sleep(diskDurations.writeDocument);
    files.set(name, text);
  },
  reserveFiles: async (names) => {
    await sleep(diskDurations.reserveFiles);
    for (const name of names) if (!files.has(name)) files.set(name, '');
  },
  writeReserved: async (name, text) => {
    await sleep(diskDurations.writeReserved);
    const content = text();
    await sleep(diskDurations.writeReserved);
    files.set(name, content);
  },
  syncExisting: () => sleep(diskDurations.syncExisting),
  read: async (name) => {
    await sleep(diskDurations.read);
    return files.get(name);
  },
  readPart: async (name, offset, length) => {
    await sleep(diskDurations.read);
    const part = Buffer.from(files.get(name) ?? '').subarray(offset, offset + length);
    return part.length === length ? part.toString() : undefined;
  },
  size: (name) => Promise.resolve(files.has(name) ? Buffer.byteLength(files.get(name)!) : undefined),
  list: async () => {
    await sleep(diskDurations.list);
    return [...files.keys()].sort();
  },
  remove: async (name) => {
    await sleep(diskDurations.remove);
    files.delete(name);
  },
});

type ReceiveFrame = (from: Address, text: string) => void;
const linkOf = (first: Address, second: Address): string => [first, second].sort().join(' ');
/** The latency between two nodes, computed from the last bytes of their addresses. */
const latencyOf = (first: Address, second: Address): Microseconds =>
  [first, second].reduce((total, address) => total + 97 * Number(address.split('.')[3]!.split(':')[0]), 400);

/** Opens an empty network. */
export const openLoopback = (): Loopback => {
  const { clock, step } = openClock();
  const receivers = new Map<Address, ReceiveFrame>();
  const disconnected = new Set<string>();
  const frames: string[] = [];
  const processCounts = new Map<Address, number>();
  const sleep = (time: Microseconds): Promise<void> => new Promise((resolve) => void clock.schedule(time, resolve));
  const openTransport = (address: Address, receive: ReceiveFrame): object => {
    receivers.set(address, receive);
    const send = (to: Address, text: string): void => {
      if (receivers.get(address) !== receive) return;
      frames.push(`${address}>${to} ${text}`);
      clock.schedule(latencyOf(address, to), () => {
        if (receivers.get(address) === receive && !disconnected.has(linkOf(address, to)))
          receivers.get(to)?.(address, text);
      });
    };
    return { at: address, send, close: () => Promise.resolve() };
  };
  const node: Loopback['node'] = (address, files = new Map()) => {
    const processNumber = (processCounts.get(address) ?? 0) + 1;
    processCounts.set(address, processNumber);
    let idCount = 0;
    const id = (): string => `${address.split('.')[3]}-${processNumber}-${++idCount}`.padEnd(24, 'x');
    const rand = { next: () => 0.5, int: (below: number) => Math.floor(below / 2), id };
    const net = {
      openFrameTransport: (localAddress: Address, receive: ReceiveFrame) =>
        Promise.resolve(openTransport(localAddress, receive)),
    };
    const runtime = { clock, rand, disk: openDisk(sleep, files), net, log: () => () => undefined };
    return { runtime: runtime as unknown as Runtime, files };
  };
  return {
    clock,
    node,
    frames,
    sleep,
    stop: (address) => void receivers.delete(address),
    disconnect: (first, second) => {
      disconnected.add(linkOf(first, second));
      return () => void disconnected.delete(linkOf(first, second));
    },
    run: async (work) => {
      let isDone = false;
      const markDone = (): void => void (isDone = true);
      work.then(markDone, markDone);
      for (;;) {
        // Let all work that follows from the last timer finish before the next timer.
        for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
        if (isDone) return work;
        if (!step()) throw new Error('no timer is pending, but the work is not done');
      }
    },
  };
};
