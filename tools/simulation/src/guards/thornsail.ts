/** Guards of `thornsail`: each replaces a line that enforces a rule, and names the test that must notice it. */
import { guard, type Guard } from './guard.js';

/** Guards of the program `thornsail`. */
export const thornsailGuards: readonly Guard[] = [
  guard({
    name: 'the first live member sweeps without a lease',
    rule: '12 recovery',
    file: 'thornsail/src/sweep-duty.js',
    find: 'firstLiveMember(agreed) === id || ',
    replacement: '',
    noticedBy: { test: 'simulation/test/repair.test.js' },
  }),
  guard({
    name: 'a drain request names the process that it is meant for',
    rule: 'late messages',
    file: 'thornsail/src/drain.js',
    find: 'if ((to ?? id) !== id)',
    replacement: 'if (false)',
    noticedBy: { test: 'thornsail/test/drain.test.js' },
  }),
];
