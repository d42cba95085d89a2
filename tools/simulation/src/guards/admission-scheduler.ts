// Guards of the lines in `admission-scheduler` that enforce a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `admission-scheduler`. */
export const admissionSchedulerGuards: readonly Guard[] = [
  guard({
    name: 'a held turn is released before its client stops waiting',
    rule: '2 hold',
    file: 'admission-scheduler/src/forced-release.js',
    find: 'Math.min(resumeTimeout, holdLimit, untilDeadline, arrival.patience)',
    replacement: 'resumeTimeout',
    noticedBy: { scenario: 'hold' },
  }),
  guard({
    name: 'a program is paused only between turns',
    rule: '3 uncut',
    file: 'admission-scheduler/src/pause.js',
    find: "program.phase === 'acting' && program.runningTurn === null",
    replacement: 'true',
    noticedBy: { test: 'admission-scheduler/test/pause.test.js' },
  }),
];
