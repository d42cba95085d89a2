// State shared by the callers of a run: options, summary, and the history of each idempotency key.
import {
  duration,
  type Address,
  type HttpClientResponse,
  type Microseconds,
  type Random,
  type Runtime,
} from '@thornsail/runtime';
import { emptySummary, type KeyHistory, type ExecutionStatus, type Summary } from './summary.js';

/** Time without a response event after which a caller gives up. */
export const callerTimeout: Microseconds = duration.s(2);

/** The gateways that the callers use, their request classes, deadlines and tolerances. */
export type CallerOptions = {
  runtime: Runtime;
  rand: Random;
  /** The gateways that accept requests at this time. */
  gateways: () => Address[];
  /** Names of the classes for turns, turns of stored conversations, urgent jobs and short jobs. */
  classes: { chat: string; stored: string; urgent: string; ping: string };
  /** Deadline sent with each turn, in milliseconds from its start. */
  chatTimeLeftMs: number;
  /** Deadline of a job over all its attempts, in milliseconds from its start. */
  jobTimeLeftMs: number;
  /** Minimum pause between the turns of a conversation; the maximum is twice as long. */
  turnInterval: Microseconds;
  /** True if a fault has affected this gateway since that time: delays of its callers are then no breach. */
  isExcused: (gateway: Address, since: Microseconds) => boolean;
  /** True if the workers stall on purpose, so that silent streams are expected. */
  workersStall: boolean;
};

/** The body of a rejection; `ran`: whether the request was run by a worker. */
export type Rejection = { error: string; ran?: 'no' | 'unknown' };

/** The wait for the first event of a response: from which gateway, since when, and what arrived. */
export type ResponseWait = { gateway: Address; startedAt: Microseconds; description: string; program: string };

/** State that the callers share, with the methods that record their results. */
export type CallerState = {
  options: CallerOptions;
  summary: Summary;
  /** Histories by idempotency key. */
  keys: Map<string, KeyHistory>;
  /** The history of a key; an empty one is created if there is none. */
  historyOf: (key: string) => KeyHistory;
  /** A random gateway. */
  gateway: () => Address;
  /** Records and returns the wait for the first event; a wait over `callerTimeout` is listed as a silence. */
  recordFirstEvent: (wait: ResponseWait) => Microseconds;
  /** Counts, times and checks a rejection; returns its Retry-After, or null without one. */
  recordRejection: (response: HttpClientResponse, body: Rejection, waited: Microseconds) => Microseconds | null;
  /** Records the execution status that a response reports for its key; null: a request without a key. */
  recordOutcome: (key: string | null, ran: ExecutionStatus) => void;
  /**
   * Records a request without a response. One that was not sent did not run; its time is not added to `notRunAt`, as no
   * node has reported it.
   */
  recordFailure: (key: string | null, isSent: boolean) => void;
};

const countRejection = (
  summary: Summary,
  response: HttpClientResponse,
  { error, ran }: Rejection,
  waited: Microseconds,
): Microseconds | null => {
  summary.rejected[error] = (summary.rejected[error] ?? 0) + 1;
  summary.slowestRejections[error] = Math.max(summary.slowestRejections[error] ?? 0, waited);
  const retryAfter = response.headers['retry-after'];
  const isBusy = response.status === 429 || response.status === 503;
  if (isBusy && (retryAfter === undefined || ran === undefined))
    summary.breaches.push(`${response.status} ${error} without Retry-After or ran`);
  return retryAfter === undefined ? null : duration.s(Number(retryAfter));
};

/** Creates the state for a run, with an empty summary and no keys. */
export const openCallerState = (options: CallerOptions): CallerState => {
  const { clock } = options.runtime;
  const summary = emptySummary();
  const keys = new Map<string, KeyHistory>();
  const historyOf = (key: string): KeyHistory => {
    const history = keys.get(key) ?? { ran: [], ok: false, sent: [], notRunAt: [] };
    keys.set(key, history);
    return history;
  };
  return {
    options,
    summary,
    keys,
    historyOf,
    gateway: () => {
      const gateways = options.gateways();
      return gateways[options.rand.int(gateways.length)]!;
    },
    recordFirstEvent: ({ gateway, startedAt, description, program }) => {
      const waited = clock.now() - startedAt;
      summary.longestWait = Math.max(summary.longestWait, waited);
      if (waited > callerTimeout && !options.isExcused(gateway, startedAt))
        summary.silences.push({ program, startedAt, waited, description });
      return waited;
    },
    recordRejection: (response, body, waited) => countRejection(summary, response, body, waited),
    recordOutcome: (key, ran) => {
      if (key === null) return;
      const history = historyOf(key);
      history.ran.push(ran);
      if (ran === 'yes') history.ok = true;
      if (ran === 'no') history.notRunAt.push(clock.now());
    },
    recordFailure: (key, isSent) => {
      if (key !== null) historyOf(key).ran.push(isSent ? 'unknown' : 'no');
    },
  };
};
