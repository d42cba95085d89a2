/** Types shared by the request steps of both interfaces, the product API (§5.1) and the forwarding interface (§5.7). */
import type { HttpResponseWriter, Microseconds } from '@thornsail/runtime';
import type { ErrorCode } from '../errors.js';
import type { Gateway } from '../gateway.js';
import type { Phases } from '../phases.js';
import type { Timeline } from '../request-timeline.js';

/** `answered`: the final answer was given; `continue`: proceed with the next step, or with the next worker. */
export type StepResult = 'continue' | 'answered';

/** State of a request that is being served. */
export type ActiveRequest = {
  gateway: Gateway;
  response: HttpResponseWriter;
  phases: Phases;
  /** Records the time spent in each stage. */
  timeline: Timeline;
  /** Identifies the request in its records: its claim and its charge. */
  id: string;
  /** By the monotonic clock of the runtime. */
  arrivedAt: Microseconds;
};

/** Rejects a request before anything was sent. `retryAfter` in seconds; null: a retry would not be served either. */
export type Reject<Request> = (
  request: Request,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
) => 'answered';
