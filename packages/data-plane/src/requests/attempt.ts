/**
 * What both interfaces do around an attempt at a worker. The loops over workers stay with the interfaces: which
 * failures may be repeated, and how often, is a promise of each (§5.4, §5.7).
 */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, time, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { Gateway } from '../gateway.js';
import type { ActiveRequest, Reject, StepResult } from './steps.js';

/** How an interface looks at a request for the last time before it is sent. */
export type LastCheckRules<Request> = {
  /** Until the caller gives up. */
  remaining: (request: Request) => Microseconds;
  /** With no more time than this a request is not sent any more. */
  minimumTime: Microseconds;
  reject: Reject<Request>;
  /** In seconds. */
  retryAfter: (request: Request) => number;
  clientDisconnected: (request: Request) => 'answered';
};

const staleText = 'this node has just woken and could not refresh its news';
/** Answer to a request whose time ran out before it was sent. */
export const lateText = 'the time left ran out before anything was sent';

/**
 * The last check before sending: a fresh membership (`refreshed`), a worker that stays, a client that still waits.
 * Returns the worker as it is known now; `continue` where another one is to be chosen.
 */
export const lastCheck =
  <Request extends ActiveRequest>(rules: LastCheckRules<Request>) =>
  (request: Request, worker: WorkerEntry, refreshed: boolean): WorkerEntry | StepResult => {
    if (!refreshed) return rules.reject(request, 'stale', staleText, rules.retryAfter(request));
    const current = request.gateway.admission.worker(worker.id);
    if (!current || current.leaving) return 'continue';
    if (request.response.isClosed()) return rules.clientDisconnected(request);
    if (rules.remaining(request) <= rules.minimumTime)
      return rules.reject(request, 'late', lateText, rules.retryAfter(request));
    return current;
  };

/** A reader that takes nothing for so long is disconnected. */
const slowReaderTimeout = duration.s(5);
/** Resolves when the client has read what was written, or was disconnected because it stopped reading (§5.6). */
export const untilRead = async (gateway: Gateway, response: HttpResponseWriter): Promise<void> => {
  const isStuck = await Promise.race([
    response.drained().then(() => false),
    time.sleep(gateway.runtime.clock, slowReaderTimeout).then(() => true),
  ]);
  if (!isStuck || response.isClosed()) return;
  gateway.count('slow_cut');
  response.abort();
};
