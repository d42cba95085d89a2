// Guards of the lines of `load-balancer` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `load-balancer`. */
export const loadBalancerGuards: readonly Guard[] = [
  guard({
    name: 'a leaving worker is not picked',
    rule: '7 leaving',
    file: 'load-balancer/src/selection.js',
    find: '!worker.leaving && !excluded?.has(worker.id)',
    replacement: '!excluded?.has(worker.id)',
    noticedBy: { test: 'load-balancer/test/selection.test.js' },
  }),
  guard({
    name: 'a leaving worker is neither picked nor sent to',
    rule: '7 leaving',
    file: 'load-balancer/src/selection.js',
    find: '!worker.leaving && !excluded?.has(worker.id)',
    replacement: '!excluded?.has(worker.id)',
    noticedBy: { scenario: 'leaving' },
    also: [
      {
        file: 'data-plane/src/requests/attempt.js',
        find: 'if (!current || current.leaving)',
        replacement: 'if (!current)',
      },
    ],
  }),
  guard({
    name: 'a worker that fails more than the others do is passed by',
    rule: 'workers',
    file: 'load-balancer/src/selection.js',
    find: 'available.filter(({ id }) => !detector.isEjected(id))',
    replacement: 'available',
    noticedBy: { test: 'load-balancer/test/selection.test.js' },
  }),
  guard({
    name: 'where all workers fail alike none is passed by',
    rule: 'workers',
    file: 'load-balancer/src/outlier-detection.js',
    find: 'Math.max(leastExpectedRate, medianRate(state, others))',
    replacement: 'leastExpectedRate',
    noticedBy: { test: 'load-balancer/test/outlier-detection.test.js' },
  }),
  guard({
    name: 'a part of a slot that is new waits for the news of the one before',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'Math.min(part(offset), part(offset - 1))',
    replacement: 'part(offset)',
    noticedBy: { test: 'load-balancer/test/slot-dealing.test.js' },
  }),
  guard({
    name: 'free slots are dealt out over the edges',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'return recent < Math.max(dealt, state.config?.limits.leastPart ?? 0);',
    replacement: 'return true;',
    noticedBy: { test: 'load-balancer/test/slot-dealing.test.js' },
  }),
  guard({
    name: 'the reserve is not lent',
    rule: '11 urgent',
    file: 'load-balancer/src/class-shares.js',
    find: 'free -= Math.max(0, unusedReserve(occupancy, other, reserve));',
    replacement: ';',
    noticedBy: { test: 'load-balancer/test/class-shares.test.js' },
  }),
  guard({
    name: 'borrowed shares go back first',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'if (!force && mustGiveWay(state, className, ownService))',
    replacement: 'if (false)',
    noticedBy: { test: 'load-balancer/test/class-shares.test.js' },
  }),
  guard({
    name: 'urgent classes have a reserve, priority and their share back',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'if (!force && mustGiveWay(state, className, ownService))',
    replacement: 'if (false)',
    noticedBy: { scenario: 'urgent' },
    also: [
      {
        file: 'load-balancer/src/class-shares.js',
        find: 'free -= Math.max(0, unusedReserve(occupancy, other, reserve));',
        replacement: ';',
      },
      { file: 'load-balancer/src/class-shares.js', find: 'if (ownReserve > 0)', replacement: 'if (false)' },
      {
        file: 'data-plane/src/admission/slot-queue.js',
        find: 'urgency(b) - urgency(a)',
        replacement: '0',
      },
    ],
  }),
];
