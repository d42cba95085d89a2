// Guards of the lines of `dissemination` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `dissemination`. */
export const disseminationGuards: readonly Guard[] = [
  guard({
    name: 'an older mark never replaces a newer',
    rule: '8 configuration',
    file: 'dissemination/src/item-store.js',
    find: 'if ((current && current.version >= version) || !admits(name))',
    replacement: 'if (!admits(name) || current?.version === version)',
    noticedBy: { test: 'simulation/test/parts.test.js' },
  }),
  guard({
    name: "a dead node's news is not taken again",
    rule: 'news',
    file: 'dissemination/src/item-store.js',
    find: '|| !admits(name)',
    replacement: '',
    noticedBy: {
      test: 'simulation/test/parts.test.js',
    },
  }),
];
