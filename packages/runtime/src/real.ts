// The real outside: the system clock, a data folder, TCP frames, polka and undici (§2.1).
import { randomFillSync } from 'node:crypto';
import debug from 'debug';
import { connect } from './connection.js';
import { files } from './data-folder.js';
import { frames } from './frames.js';
import { call } from './http-client.js';
import { listener, serve } from './http-server.js';
import type { Clock } from './clock.js';
import type { Random } from './random.js';
import type { Log, Runtime } from './runtime.js';

const clock: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n),
  // The system's clock as it is now: it follows corrections, which the process's own origin does not.
  // eslint-disable-next-line no-restricted-syntax
  wallTime: () => Date.now() * 1000,
  schedule: (after, fn) => {
    const t = setTimeout(fn, Math.max(0, after / 1000));
    return () => clearTimeout(t);
  },
};

/** Random bytes are fetched some thousands at a time: each fetch is a system call. */
const randomPool = Buffer.allocUnsafeSlow(4096);
let randomUsed = randomPool.length;
const randomAt = (n: number): number => {
  if (randomUsed + n > randomPool.length) {
    randomFillSync(randomPool);
    randomUsed = 0;
  }
  randomUsed += n;
  return randomUsed - n;
};
const rand: Random = {
  next: () => randomPool.readUInt32BE(randomAt(4)) / 4_294_967_296,
  int: (below) => Math.floor(rand.next() * below),
  id: () => {
    const at = randomAt(9);
    return randomPool.toString('hex', at, at + 9);
  },
};

const logs = (part: string): Log => {
  const logger = debug(`thornsail:${part}`);
  return (text) => {
    if (logger.enabled) logger('%s', typeof text === 'string' ? text : text());
  };
};

export const real = {
  listener,
  runtime: (folder: string): Runtime => ({
    clock,
    rand,
    disk: files(folder),
    net: { openFrameTransport: frames, serveHttp: serve, request: call, connectHttp: connect },
    log: logs,
  }),
  /** What a daemon says unless DEBUG says otherwise: all parts but those that speak for each program or request. */
  logsByDefault: (): void => {
    if (process.env['DEBUG'] === undefined) debug.enable('thornsail:*,-thornsail:admission,-thornsail:requests');
  },
};
