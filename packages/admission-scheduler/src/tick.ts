/** The periodic pass over all programs and workers (ThunderAgent's scheduler tick, §4.2). */
import type { Microseconds } from '@thornsail/runtime';
import { releaseOverdueTurns } from './forced-release.js';
import { pauseUntilSafe } from './pause.js';
import { expireIdlePrograms } from './program-table.js';
import { greedyResume } from './resume.js';
import type { SchedulerEffect, SchedulerState } from './types.js';

/** Runs one tick. Resume precedes pause, as in ThunderAgent, so that no program is paused and resumed in one tick. */
export const tick = (state: SchedulerState, now: Microseconds): SchedulerEffect[] => [
  ...expireIdlePrograms(state, now),
  ...releaseOverdueTurns(state, now),
  ...greedyResume(state, now),
  ...pauseUntilSafe(state),
];
