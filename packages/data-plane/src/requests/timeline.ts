/** Opens the timeline of a request of either interface. */
import type { Microseconds } from '@thornsail/runtime';
import type { Gateway } from '../gateway.js';
import { requestTimeline, type Timeline } from '../request-timeline.js';

/** A timeline whose summary goes to the gateway when it closes. `arrivedAt` defaults to now. */
export const openTimeline = (
  { runtime, requestEnded }: Gateway,
  className: string,
  program: string | null,
  arrivedAt: Microseconds = runtime.clock.now(),
): Timeline => requestTimeline.open({ clock: runtime.clock, className, program, arrivedAt, observe: requestEnded });
