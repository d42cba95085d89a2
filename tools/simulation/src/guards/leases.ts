// Mutations of `leases` that break a rule; the named tests must detect them.
import { guard, type Guard } from './guard.js';

/** The guards of the package `leases`. */
export const leasesGuards: readonly Guard[] = [
  guard({
    name: 'a voter grants a lease to one holder at a time',
    rule: 'duties',
    file: 'leases/src/voter.js',
    find: 'if (isHeld && grant.holder !== holder)',
    replacement: 'if (false)',
    noticedBy: {
      test: 'simulation/test/components.test.js',
    },
  }),
  guard({
    name: 'a delayed release does not end a later grant',
    rule: 'late messages',
    file: 'leases/src/voter.js',
    find: '(fencingToken ?? grant.fencingToken) >= grant.fencingToken',
    replacement: 'true',
    noticedBy: { test: 'leases/test/voter.test.js' },
  }),
];
