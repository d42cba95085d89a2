/** The production runtime (§2.1): system clock, file system, TCP frames, HTTP by polka and undici. */
import { randomFillSync } from 'node:crypto';
import { format } from 'node:util';
import debug from 'debug';
import { clientTraffic } from './client-traffic.js';
import { connectHttp } from './connection.js';
import { openDataFolder } from './data-folder.js';
import { openFrameTransport } from './frames.js';
import { sendRequest } from './http-client.js';
import { openLogOutput, type LogOutput } from './log-output.js';
import { requestListener, serveHttp } from './http-server.js';
import type { BindOptions } from './listener.js';
import { unsentResponseBytes } from './open-responses.js';
import { processUsage } from './process-usage.js';
import type { Clock } from './clock.js';
import type { Microseconds } from './duration.js';
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

let standardError: LogOutput | undefined;
/** Standard error as the output of the log. A reader of standard output that goes away ends no process either. */
const logOutput = (): LogOutput => {
  if (standardError) return standardError;
  process.stdout.on('error', () => undefined);
  standardError = openLogOutput(process.stderr);
  return standardError;
};

const bindOptions = (addressWait: Microseconds): BindOptions => ({ waitMs: addressWait / 1000, log: logOf('listen') });

/** The production implementation of the runtime. */
export const real = {
  requestListener,
  /**
   * Creates the runtime of a process with its data in `folder`.
   * @param addressWait how long a listener waits for an address that a predecessor still uses; by default it fails at
   * once
   */
  runtime: (folder: string, { addressWait = 0 }: { addressWait?: Microseconds } = {}): Runtime => ({
    clock,
    rand,
    disk: openDataFolder(folder),
    net: {
      openFrameTransport: (at, onFrame, onDisconnect, onProtocolError) =>
        openFrameTransport(at, onFrame, onDisconnect, onProtocolError, bindOptions(addressWait)),
      serveHttp: (at, handler, limits) => serveHttp(at, handler, limits, bindOptions(addressWait)),
      request: sendRequest,
      connectHttp: connectHttp,
    },
    log: logOf,
    usage: () => ({
      ...processUsage(),
      ...clientTraffic(),
      log_lines_dropped: standardError?.dropped() ?? 0,
      http_response_bytes_unsent: unsentResponseBytes(),
    }),
  }),
  /** The output of a daemon's log, for lines of its own. */
  logOutput,
  /**
   * Writes the logs of a daemon to `logOutput`. Unless DEBUG is set, enables the logs of all parts but those that log
   * every program or request.
   */
  enableDefaultLogs: (): void => {
    const output = logOutput();
    debug.log = (...args: unknown[]) => output.write(format(...args));
    if (process.env['DEBUG'] === undefined) debug.enable('thornsail:*,-thornsail:admission,-thornsail:requests');
  },
};
