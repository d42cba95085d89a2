// Mutations of `dissemination` that break a rule; the named tests must detect them.
import { guard, type Guard } from './guard.js';

/** The guards of the package `dissemination`. */
export const disseminationGuards: readonly Guard[] = [
  guard({
    name: 'an older version never replaces a newer one',
    rule: '8 configuration',
    file: 'dissemination/src/item-store.js',
    find: 'if ((current && current.version >= version) || !admits(name))',
    replacement: 'if (!admits(name) || current?.version === version)',
    noticedBy: { test: 'simulation/test/components.test.js' },
  }),
  guard({
    name: 'updates about a dead node are not stored again',
    rule: 'news',
    file: 'dissemination/src/item-store.js',
    find: '|| !admits(name)',
    replacement: '',
    noticedBy: {
      test: 'simulation/test/components.test.js',
    },
  }),
];
