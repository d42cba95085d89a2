/** What the steps of a request have in common at both interfaces, the product's own (§5.1) and the forwarded (§5.7). */
import type { HttpResponseWriter, Microseconds } from '@thornsail/runtime';
import type { ErrorCode } from '../errors.js';
import type { Gateway } from '../gateway.js';
import type { Phases } from '../phases.js';
import type { Timeline } from '../request-timeline.js';

/** `answered`: the request has its final answer; `continue`: the next step follows, or the next worker. */
export type StepResult = 'continue' | 'answered';

/** A request while it is served. */
export type ActiveRequest = {
  gateway: Gateway;
  response: HttpResponseWriter;
  phases: Phases;
  /** Where its time goes. */
  timeline: Timeline;
  /** Names the request in its records: its claim and its charge. */
  id: string;
  arrivedAt: Microseconds;
};

/** Gives a request up before anything was sent. `retryAfter` in seconds; null: a repeat would not be served either. */
export type Reject<Request> = (
  request: Request,
  code: ErrorCode,
  text: string,
  retryAfter: number | null,
) => 'answered';
