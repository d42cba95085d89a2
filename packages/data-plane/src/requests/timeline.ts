/** Opens the timeline of a request, whichever interface it comes by. */
import type { Microseconds } from '@thornsail/runtime';
import type { Gateway } from '../gateway.js';
import { requestTimeline, type Timeline } from '../request-timeline.js';

/** A timeline that the gateway is told of when it closes. `arrivedAt` is now, unless the request came before. */
export const openTimeline = (
  { runtime, requestEnded }: Gateway,
  className: string,
  program: string | null,
  arrivedAt: Microseconds = runtime.clock.now(),
): Timeline => requestTimeline.open({ clock: runtime.clock, className, program, arrivedAt, observe: requestEnded });
