// Guards of the lines of `leases` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `leases`. */
export const leasesGuards: readonly Guard[] = [
  guard({
    name: 'one grant at a time',
    rule: 'duties',
    file: 'leases/src/voter.js',
    find: 'if (isHeld && grant.holder !== holder)',
    replacement: 'if (false)',
    noticedBy: {
      test: 'simulation/test/parts.test.js',
    },
  }),
  guard({
    name: 'a late leave ends no later grant',
    rule: 'late messages',
    file: 'leases/src/voter.js',
    find: '(fencingToken ?? grant.fencingToken) >= grant.fencingToken',
    replacement: 'true',
    noticedBy: { test: 'leases/test/voter.test.js' },
  }),
];
