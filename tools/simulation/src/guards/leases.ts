// Guards of the lines of `leases` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `leases`. */
export const leasesGuards: readonly Guard[] = [
  guard({
    name: 'one grant at a time',
    rule: 'duties',
    file: 'leases/src/index.js',
    find: 'if (held && g.by !== by)',
    replacement: 'if (false)',
    noticedBy: {
      test: 'simulation/test/parts.test.js',
    },
  }),
  guard({
    name: 'a late leave ends no later grant',
    rule: 'late messages',
    file: 'leases/src/index.js',
    find: '(left ?? grant.mark) >= grant.mark',
    replacement: 'true',
    noticedBy: { test: 'leases/test/late.test.js' },
  }),
];
