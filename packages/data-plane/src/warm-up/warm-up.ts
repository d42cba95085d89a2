/**
 * Warms a gateway up (§5.10): before the first real request, synthetic requests run through the complete request path
 * in this process, in a separate data plane with stores in memory and a worker on a loopback address. V8 compiles and
 * optimizes functions, not instances, so the data plane that serves benefits too, and its first requests do not run
 * cold code. Nothing of the warm-up is visible outside the process.
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

/** Header names of the warm-up's dialect; only the warm-up reads them. */
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
/** Body of a turn: small, since only the executed code matters and small machines have little memory. */
const turnBody = Buffer.from('z'.repeat(2000));
const maxBodyBytes = 1 << 20;
const connectTimeout = duration.s(1);
/** By then the data plane uses the configuration. */
const settleTime = duration.ms(600);

/** Options of a warm-up. */
export type WarmUpOptions = {
  runtime: Runtime;
  /** Maximum number of programs to run: each has some turns, with tool calls between them. */
  programs: number;
  /** No further program is started after this time. */
  timeout: Microseconds;
  /** The warm-up ends when a request takes no longer than this on average: then there is little more to gain. */
  targetRequestTime: Microseconds;
  /** Called before each program: false ends the warm-up, for example when real requests have arrived. */
  shouldContinue: () => boolean;
};
/** Number of requests of a warm-up; `failed` ones had no response or a status other than 200. */
export type WarmUpResult = { requests: number; failed: number };

const turnsPerProgram = 4;
const callsPerTurn = 2;
const requestsPerProgram = turnsPerProgram * (1 + callsPerTurn);

/** Sends one request and reads the response to its end. Returns the status, or 0 without a complete response. */
const sendRequest = (connection: HttpConnection, target: string, headers: string[], body: Buffer): Promise<number> =>
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

/** Runs one program: its turns in sequence, each continuing the previous one, with tool calls between them. */
const runProgram = async (
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
    const turnHeaders = [
      names.attempt,
      `t${program}.${turn}`,
      names.budget,
      '100000',
      names.usage,
      '2000,10',
      ...previous,
    ];
    await send(`${warmUpNames.turns}x`, [...common, ...turnHeaders], turnBody);
    for (let call = 0; call < callsPerTurn; call++)
      await send(`${warmUpNames.calls}x`, [...common, names.attempt, `c${program}.${turn}.${call}`], Buffer.alloc(0));
  }
};

/** Opens worker, cluster and gateway, and returns a connection to the gateway. Adds the functions that close them. */
const openConnection = async (runtime: Runtime, cleanups: (() => unknown)[]): Promise<HttpConnection> => {
  const worker = await openWarmUpWorker(runtime, loopback, names);
  cleanups.push(worker.close);
  const cluster = await openWarmUpCluster(runtime, loopback, worker.at);
  cleanups.push(cluster.close);
  const plane = dataPlane.open({ runtime, rpc: cluster.rpc, membership: cluster.membership });
  cleanups.push(plane.close);
  const gateway = await runtime.net.serveHttp(loopback, plane.forward(dialect.byHeaders(names)), maxBodyBytes);
  cleanups.push(gateway.close);
  const connection = runtime.net.connectHttp(gateway.at, { connectTimeout });
  cleanups.push(connection.close);
  return connection;
};

/** Runs programs until the timeout, until requests are fast enough, or until `shouldContinue` returns false. */
const runPrograms = async (options: WarmUpOptions, connection: HttpConnection): Promise<WarmUpResult> => {
  const { programs, timeout, targetRequestTime, shouldContinue, runtime } = options;
  const { now } = runtime.clock;
  const result: WarmUpResult = { requests: 0, failed: 0 };
  const send = async (target: string, headers: string[], body: Buffer): Promise<void> => {
    result.requests += 1;
    if ((await sendRequest(connection, target, headers, body)) !== 200) result.failed += 1;
  };
  const endAt = now() + timeout;
  let averageTime: Microseconds = Infinity;
  for (let program = 0; program < programs && averageTime > targetRequestTime; program++) {
    if (now() >= endAt || !shouldContinue()) break;
    const startedAt = now();
    await runProgram(send, program);
    averageTime = (now() - startedAt) / requestsPerProgram;
  }
  return result;
};

const run = async (options: WarmUpOptions): Promise<WarmUpResult> => {
  const silentRuntime: Runtime = { ...options.runtime, log: () => () => undefined };
  const cleanups: (() => unknown)[] = [];
  try {
    const connection = await openConnection(silentRuntime, cleanups);
    await time.sleep(silentRuntime.clock, settleTime);
    return await runPrograms(options, connection);
  } finally {
    // In reverse order of opening.
    await Promise.all(cleanups.reverse().map((close) => close()));
  }
};

/** Runs warm-ups. */
export const warmUp = {
  /** Never rejects: a gateway can serve without a warm-up. */
  run: async (options: WarmUpOptions): Promise<WarmUpResult> => {
    const log = options.runtime.log('warm-up');
    try {
      const result = await run(options);
      log(`${result.requests} requests, ${result.failed} failed.`);
      return result;
    } catch (error) {
      log(`warm-up failed: ${fault.text(error)}.`);
      return { requests: 0, failed: 0 };
    }
  },
};
