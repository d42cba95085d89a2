/** The production runtime (§2.1): system clock, file system, TCP frames, HTTP by polka and undici. */
import { randomFillSync } from 'node:crypto';
import debug from 'debug';
import { connectHttp } from './connection.js';
import { openDataFolder } from './data-folder.js';
import { openFrameTransport } from './frames.js';
import { sendRequest } from './http-client.js';
import { requestListener, serveHttp } from './http-server.js';
import { processUsage } from './process-usage.js';
import type { Clock } from './clock.js';
import type { Random } from './random.js';
import type { Log, Runtime } from './runtime.js';

const clock: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n),
  // Date.now() follows corrections of the system clock; performance.timeOrigin, fixed at process start, does not.
  // eslint-disable-next-line no-restricted-syntax
  wallTime: () => Date.now() * 1000,
  schedule: (delay, callback) => {
    const timer = setTimeout(callback, Math.max(0, delay / 1000));
    return () => clearTimeout(timer);
  },
};

/** A pool of random bytes, refilled as a whole because each refill is a system call. */
const randomPool = Buffer.allocUnsafeSlow(4096);
let usedBytes = randomPool.length;
/** Reserves `count` bytes of the pool and returns their offset. */
const takeRandomBytes = (count: number): number => {
  if (usedBytes + count > randomPool.length) {
    randomFillSync(randomPool);
    usedBytes = 0;
  }
  usedBytes += count;
  return usedBytes - count;
};
const rand: Random = {
  next: () => randomPool.readUInt32BE(takeRandomBytes(4)) / 4_294_967_296,
  int: (limit) => Math.floor(rand.next() * limit),
  id: () => {
    const offset = takeRandomBytes(9);
    return randomPool.toString('hex', offset, offset + 9);
  },
};

const logOf = (part: string): Log => {
  const logger = debug(`thornsail:${part}`);
  return (text) => {
    if (logger.enabled) logger('%s', typeof text === 'string' ? text : text());
  };
};

/** The production implementation of the runtime. */
export const real = {
  requestListener,
  /** Creates the runtime of a process with its data in `folder`. */
  runtime: (folder: string): Runtime => ({
    clock,
    rand,
    disk: openDataFolder(folder),
    net: {
      openFrameTransport: openFrameTransport,
      serveHttp: serveHttp,
      request: sendRequest,
      connectHttp: connectHttp,
    },
    log: logOf,
    usage: processUsage,
  }),
  /** Enables the logs of all parts except those that log every program or request; has no effect if DEBUG is set. */
  enableDefaultLogs: (): void => {
    if (process.env['DEBUG'] === undefined) debug.enable('thornsail:*,-thornsail:admission,-thornsail:requests');
  },
};
