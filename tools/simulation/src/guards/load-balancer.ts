// Guards of the lines in `load-balancer` that enforce a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `load-balancer`. */
export const loadBalancerGuards: readonly Guard[] = [
  guard({
    name: 'a leaving worker is not selected',
    rule: '7 leaving',
    file: 'load-balancer/src/selection.js',
    find: '!worker.leaving && !excluded?.has(worker.id)',
    replacement: '!excluded?.has(worker.id)',
    noticedBy: { test: 'load-balancer/test/selection.test.js' },
  }),
  guard({
    name: 'a leaving worker is neither selected nor sent requests',
    rule: '7 leaving',
    file: 'load-balancer/src/selection.js',
    find: '!worker.leaving && !excluded?.has(worker.id)',
    replacement: '!excluded?.has(worker.id)',
    noticedBy: { scenario: 'leaving' },
    otherReplacements: [
      {
        file: 'data-plane/src/requests/attempt.js',
        find: 'if (!current || current.leaving)',
        replacement: 'if (!current)',
      },
    ],
  }),
  guard({
    name: 'a worker that fails more than the others is ejected',
    rule: 'workers',
    file: 'load-balancer/src/selection.js',
    find: 'available.filter(({ id }) => !detector.isEjected(id))',
    replacement: 'available',
    noticedBy: { test: 'load-balancer/test/selection.test.js' },
  }),
  guard({
    name: 'no worker is ejected if all fail alike',
    rule: 'workers',
    file: 'load-balancer/src/outlier-detection.js',
    find: 'Math.max(minExpectedRate, medianRate(state, others))',
    replacement: 'minExpectedRate',
    noticedBy: { test: 'load-balancer/test/outlier-detection.test.js' },
  }),
  guard({
    name: 'a larger share of free slots is used only after reports of the previous rotation have arrived',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'Math.min(shareAt(offset), shareAt(offset - 1))',
    replacement: 'shareAt(offset)',
    noticedBy: { test: 'load-balancer/test/slot-allocation.test.js' },
  }),
  guard({
    name: 'free slots are divided among the gateways',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'return recent < Math.max(allocated, state.config?.limits.leastPart ?? 0);',
    replacement: 'return true;',
    noticedBy: { test: 'load-balancer/test/slot-allocation.test.js' },
  }),
  guard({
    name: 'a class reserve is not lent',
    rule: '11 urgent',
    file: 'load-balancer/src/class-shares.js',
    find: 'free -= Math.max(0, unusedReserve(occupancy, other, reserve));',
    replacement: ';',
    noticedBy: { test: 'load-balancer/test/class-shares.test.js' },
  }),
  guard({
    name: 'borrowed slots are returned first',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'if (!force && mustYield(state, className, ownService))',
    replacement: 'if (false)',
    noticedBy: { test: 'load-balancer/test/class-shares.test.js' },
  }),
  guard({
    name: 'urgent classes have a reserve, priority and get their share back',
    rule: '11 urgent',
    file: 'load-balancer/src/selection.js',
    find: 'if (!force && mustYield(state, className, ownService))',
    replacement: 'if (false)',
    noticedBy: { scenario: 'urgent' },
    otherReplacements: [
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
