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
