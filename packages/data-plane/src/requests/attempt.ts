/**
 * Steps around one attempt at a worker, shared by both interfaces. The retry loops stay with the interfaces, because
 * each makes its own promises on which failures are retried and how often (§5.4, §5.7).
 */
import type { WorkerEntry } from '@thornsail/load-balancer';
import { duration, time, type HttpResponseWriter, type Microseconds } from '@thornsail/runtime';
import type { Gateway } from '../gateway.js';
import type { ActiveRequest, Reject, StepResult } from './steps.js';

/** An interface's rules for the check before a request is sent. */
export type PreSendCheckRules<Request> = {
  /** Time until the caller gives up. */
  remaining: (request: Request) => Microseconds;
  /** A request with no more than this time remaining is not sent. */
  minimumTime: Microseconds;
  reject: Reject<Request>;
  /** Value of Retry-After in seconds. */
  retryAfter: (request: Request) => number;
  clientDisconnected: (request: Request) => 'answered';
};

const staleText = 'this node has just woken and could not refresh its news';
/** Answer to a request whose time ran out before it was sent. */
export const lateText = 'the time left ran out before anything was sent';

/**
 * The last check before sending: the membership is fresh (`refreshed`), the worker is not leaving, the client is still
 * connected and time remains. Returns the current entry of the worker, or `continue` to choose another worker.
 */
export const preSendCheck =
  <Request extends ActiveRequest>(rules: PreSendCheckRules<Request>) =>
  (request: Request, worker: WorkerEntry, refreshed: boolean): WorkerEntry | StepResult => {
    if (!refreshed) return rules.reject(request, 'stale', staleText, rules.retryAfter(request));
    const current = request.gateway.admission.worker(worker.id);
    if (!current || current.leaving) return 'continue';
    if (request.response.isClosed()) return rules.clientDisconnected(request);
    if (rules.remaining(request) <= rules.minimumTime)
      return rules.reject(request, 'late', lateText, rules.retryAfter(request));
    return current;
  };

/** A client that reads nothing for this long is disconnected. */
const slowReaderTimeout = duration.s(5);
/** Resolves when the client has read all that was written, or was disconnected because it stopped reading (§5.6). */
export const waitUntilRead = async (gateway: Gateway, response: HttpResponseWriter): Promise<void> => {
  const timedOut = await Promise.race([
    response.drained().then(() => false),
    time.sleep(gateway.runtime.clock, slowReaderTimeout).then(() => true),
  ]);
  if (!timedOut || response.isClosed()) return;
  gateway.count('slow_cut');
  response.abort();
};
