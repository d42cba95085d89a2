// Mutations of `membership` that break a rule; the named tests must detect them.
import { guard, type Guard } from './guard.js';

/** The guards of the package `membership`. */
export const membershipGuards: readonly Guard[] = [
  guard({
    name: 'load updates are batched when there are many relays',
    rule: 'urgent',
    file: 'membership/src/membership.js',
    find: "isBatched: (name) => name.startsWith('load/')",
    replacement: 'isBatched: () => false',
    noticedBy: { test: 'simulation/test/load-dissemination.test.js' },
  }),
];
