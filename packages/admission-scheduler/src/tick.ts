/** The periodic pass over all programs and workers (the source's scheduler tick, §4.2). */
import type { Microseconds } from '@thornsail/runtime';
import { releaseOverdue } from './forced-release.js';
import { pauseUntilSafe } from './pause.js';
import { expireIdle } from './program-table.js';
import { greedyResume } from './resume.js';
import type { SchedulerEffect, SchedulerState } from './types.js';

/** Resume comes before pause, as in the source: what is paused in a tick cannot be resumed in the same one. */
export const tick = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => [
  ...expireIdle(state, now),
  ...releaseOverdue(state, now),
  ...greedyResume(state, now),
  ...pauseUntilSafe(state),
];
