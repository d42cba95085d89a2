// Guards of the lines of `membership` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `membership`. */
export const membershipGuards: readonly Guard[] = [
  guard({
    name: 'news of load is gathered among many relays',
    rule: 'urgent',
    file: 'membership/src/membership.js',
    find: "isBatched: (name) => name.startsWith('load/')",
    replacement: 'isBatched: () => false',
    noticedBy: { test: 'simulation/test/load.test.js' },
  }),
];
