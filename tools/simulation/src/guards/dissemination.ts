// Guards of the lines of `dissemination` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `dissemination`. */
export const disseminationGuards: readonly Guard[] = [
  guard({
    name: 'an older mark never replaces a newer',
    rule: '8 configuration',
    file: 'dissemination/src/index.js',
    find: 'if ((cur && cur.mark >= n.mark) || !o.admits(n.name))',
    replacement: 'if (!o.admits(n.name) || cur?.mark === n.mark)',
    noticedBy: { test: 'simulation/test/parts.test.js' },
  }),
  guard({
    name: "a dead node's news is not taken again",
    rule: 'news',
    file: 'dissemination/src/index.js',
    find: '|| !o.admits(n.name)',
    replacement: '',
    noticedBy: {
      test: 'simulation/test/parts.test.js',
    },
  }),
];
