// Guards of the lines of `admission-scheduler` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `admission-scheduler`. */
export const admissionSchedulerGuards: readonly Guard[] = [
  guard({
    name: 'a hold ends before the silence limit',
    rule: '2 hold',
    file: 'admission-scheduler/src/index.js',
    find: 'Math.min(s.options.resumeTimeout, s.options.holdLimit, e.timeLeft - e.expected, e.silence)',
    replacement: 's.options.resumeTimeout',
    noticedBy: { scenario: 'hold' },
  }),
  guard({
    name: 'a program is paused only between turns',
    rule: '3 uncut',
    file: 'admission-scheduler/src/index.js',
    find: "p.phase === 'acting' && p.turn === null",
    replacement: 'true',
    noticedBy: { test: 'admission-scheduler/test/admission-scheduler.test.js' },
  }),
];
