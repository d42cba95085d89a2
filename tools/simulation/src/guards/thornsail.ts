// Guards of the lines of the program `thornsail` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of the program `thornsail`. */
export const thornsailGuards: readonly Guard[] = [
  guard({
    name: 'the first member sweeps without a lease',
    rule: '12 recovery',
    file: 'thornsail/src/sweep-duty.js',
    find: 'firstMember(ordered) === id || ',
    replacement: '',
    noticedBy: { test: 'simulation/test/repair.test.js' },
  }),
  guard({
    name: 'an order to drain names its process',
    rule: 'late messages',
    file: 'thornsail/src/drain.js',
    find: 'if ((to ?? id) !== id)',
    replacement: 'if (false)',
    noticedBy: { test: 'thornsail/test/drain.test.js' },
  }),
];
