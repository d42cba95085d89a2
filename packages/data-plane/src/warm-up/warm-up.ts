/**
 * Warms a gateway up (§5.10): before the first request comes, the whole way of a request is gone many times in this
 * process, at a data plane of its own with stores in memory and a worker on a loopback address. The engine compiles
 * and optimizes by function, not by instance, so the data plane that serves has it already: the first requests do not
 * pay for code that has never run. Nothing of it is seen outside the process.
 */
import {
  duration,
  fault,
  time,
  type Address,
  type HttpConnection,
  type Microseconds,
  type Runtime,
} from '@thornsail/runtime';
import { dataPlane } from '../data-plane.js';
import { dialect, type HeaderNames } from '../forward/dialect.js';
import { openWarmUpCluster, warmUpNames } from './cluster.js';
import { openWarmUpWorker } from './worker.js';

/** The header names of a warm-up: no others are needed, as nobody else reads them. */
const names: HeaderNames = {
  attempt: 'warm-up-attempt',
  deadlineMs: 'warm-up-deadline-ms',
  key: 'warm-up-key',
  program: 'warm-up-program',
  session: 'warm-up-session',
  remainingMs: 'warm-up-remaining-ms',
  budget: 'warm-up-budget',
  usage: 'warm-up-usage',
  previous: 'warm-up-previous',
  lastEvent: 'last-event-id',
  expectInstance: 'warm-up-instance',
  expectVersion: 'warm-up-version',
  weightVersion: 'warm-up-weights',
  notRun: 'warm-up-not-run',
  seal: 'warm-up-seal',
  load: 'warm-up-load',
};
const loopback: Address = '127.0.0.1:0';
/** Small: what counts is the code that runs, and memory is short on small machines. */
const turnBody = Buffer.from('z'.repeat(2000));
const largestRequest = 1 << 20;
const connectWithin = duration.s(1);
/** The configuration is taken over within this. */
const settleTime = duration.ms(600);

/** How much is done. */
export type WarmUpOptions = {
  runtime: Runtime;
  /** Programs that are played: each has some turns, with calls of tools between them. */
  programs: number;
  /** The longest time that it takes. */
  within: Microseconds;
  /** It ends once a request takes no longer than this: on a fast machine there is little to gain. */
  goodEnough: Microseconds;
  /** Asked before each program: false ends the warm-up, as when real requests have come. */
  shouldContinue: () => boolean;
};
/** What a warm-up did; `failed` requests had another status than 200, or none. */
export type WarmUpResult = { requests: number; failed: number };

const turnsPerProgram = 4;
const callsPerTurn = 2;
const requestsPerProgram = turnsPerProgram * (1 + callsPerTurn);

/** Sends one request and reads its answer to the end; its status, 0 without an answer. */
const exchangeOnce = (connection: HttpConnection, target: string, headers: string[], body: Buffer): Promise<number> =>
  new Promise((resolve) => {
    let status = 0;
    connection.exchange(
      {
        method: 'POST',
        target,
        headers: ['host', warmUpNames.host, 'content-length', String(body.length), ...headers],
        body,
      },
      {
        onSent: () => undefined,
        onHead: (code) => {
          status = code;
        },
        onData: () => undefined,
        onEnd: () => resolve(status),
        onError: () => resolve(0),
      },
    );
  });

/** Plays one program: its turns one after another, each behind the one before, with calls between them. */
const playProgram = async (
  send: (target: string, headers: string[], body: Buffer) => Promise<void>,
  program: number,
): Promise<void> => {
  const common = [
    names.program,
    `p${program}`,
    names.session,
    's',
    names.remainingMs,
    '60000',
    names.deadlineMs,
    '5000',
  ];
  for (let turn = 0; turn < turnsPerProgram; turn++) {
    const previous = turn === 0 ? [] : [names.previous, `t${program}.${turn - 1}`];
    const own = [names.attempt, `t${program}.${turn}`, names.budget, '100000', names.usage, '2000,10', ...previous];
    await send(`${warmUpNames.turns}x`, [...common, ...own], turnBody);
    for (let call = 0; call < callsPerTurn; call++)
      await send(`${warmUpNames.calls}x`, [...common, names.attempt, `c${program}.${turn}.${call}`], Buffer.alloc(0));
  }
};

/** Opens all that a warm-up needs, and gives a connection to its gateway; what is open is closed by `cleanups`. */
const openStage = async (runtime: Runtime, cleanups: (() => unknown)[]): Promise<HttpConnection> => {
  const worker = await openWarmUpWorker(runtime, loopback, names);
  cleanups.push(worker.close);
  const cluster = await openWarmUpCluster(runtime, loopback, worker.at);
  cleanups.push(cluster.close);
  const plane = dataPlane.open({ runtime, rpc: cluster.rpc, membership: cluster.membership });
  cleanups.push(plane.close);
  const gateway = await runtime.net.serveHttp(loopback, plane.forward(dialect.byHeaders(names)), largestRequest);
  cleanups.push(gateway.close);
  const connection = runtime.net.connectHttp(gateway.at, { connectWithin });
  cleanups.push(connection.close);
  return connection;
};

/** Plays programs until the time is up, they are fast enough, or no more may be played. */
const playPrograms = async (options: WarmUpOptions, connection: HttpConnection): Promise<WarmUpResult> => {
  const { programs, within, goodEnough, shouldContinue, runtime } = options;
  const { now } = runtime.clock;
  const result: WarmUpResult = { requests: 0, failed: 0 };
  const send = async (target: string, headers: string[], body: Buffer): Promise<void> => {
    result.requests += 1;
    if ((await exchangeOnce(connection, target, headers, body)) !== 200) result.failed += 1;
  };
  const end = now() + within;
  let perRequest: Microseconds = Infinity;
  for (let program = 0; program < programs && perRequest > goodEnough; program++) {
    if (now() >= end || !shouldContinue()) break;
    const begun = now();
    await playProgram(send, program);
    perRequest = (now() - begun) / requestsPerProgram;
  }
  return result;
};

const run = async (options: WarmUpOptions): Promise<WarmUpResult> => {
  const quiet: Runtime = { ...options.runtime, log: () => () => undefined };
  const cleanups: (() => unknown)[] = [];
  try {
    const connection = await openStage(quiet, cleanups);
    await time.sleep(quiet.clock, settleTime);
    return await playPrograms(options, connection);
  } finally {
    // What was opened last is closed first.
    await Promise.all(cleanups.reverse().map((close) => close()));
  }
};

/** Warms gateways up. */
export const warmUp = {
  /** Never rejects: a gateway serves without it, too. */
  run: async (options: WarmUpOptions): Promise<WarmUpResult> => {
    const log = options.runtime.log('warm-up');
    try {
      const result = await run(options);
      log(`${result.requests} requests, ${result.failed} failed.`);
      return result;
    } catch (error) {
      log(`not warmed up: ${fault.text(error)}.`);
      return { requests: 0, failed: 0 };
    }
  },
};
