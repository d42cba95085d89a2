// Guards of the lines of `register-store` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `register-store`. */
export const registerStoreGuards: readonly Guard[] = [
  guard({
    name: 'a read needs a majority',
    rule: '6 kept',
    file: 'register-store/src/members.js',
    find: 'majority = (n) => Math.floor(n / 2) + 1',
    replacement: 'majority = (n) => 1',
    noticedBy: { test: 'simulation/test/registers.test.js' },
  }),
  guard({
    name: "the stores' earliest wall decides",
    rule: '6 kept',
    file: 'register-store/src/proposer.js',
    find: 'min: Math.min(...walls)',
    replacement: 'min: Math.max(...walls)',
    noticedBy: { scenario: 'kept', to: 6 },
    also: [
      {
        file: 'register-store/src/registers.js',
        find: 'min: Math.min(...walls)',
        replacement: 'min: Math.max(...walls)',
      },
    ],
  }),
  guard({
    name: 'a lost member holds up no sweep',
    rule: '12 recovery',
    file: 'register-store/src/sweep.js',
    find: 'o.all ? majority(o.group.members.length) : undefined',
    replacement: 'undefined',
    noticedBy: { test: 'simulation/test/sweep.test.js' },
  }),
  guard({
    name: 'a new group is swept before the next change',
    rule: '6 kept',
    file: 'register-store/src/sweep.js',
    find: 'if (!isSound(found))',
    replacement: 'if (false)',
    noticedBy: { test: 'simulation/test/registers.test.js' },
  }),
  guard({
    name: 'an extension outlives changes that know nothing of it',
    rule: '6 kept',
    file: 'register-store/src/store.js',
    find: 'Math.max(cur.extended ?? 0, m.extended ?? 0)',
    replacement: '0',
    noticedBy: { test: 'register-store/test/registers.test.js' },
  }),
  guard({
    name: 'an extension is on a majority before anybody is told of it',
    rule: '6 kept',
    file: 'register-store/src/read.js',
    find: '(hangsOnExtension(a) && extended < need)',
    replacement: 'false',
    noticedBy: { test: 'register-store/test/registers.test.js' },
  }),
  guard({
    name: 'an extended copy is not dropped',
    rule: '6 kept',
    file: 'register-store/src/replica-table.js',
    find: 'Math.max(c.touched, c.held?.until ?? 0, c.extended ?? 0)',
    replacement: 'Math.max(c.touched, c.held?.until ?? 0)',
    noticedBy: { test: 'register-store/test/registers.test.js' },
  }),
  guard({
    name: 'the ballots of a dropped copy are not used again',
    rule: '6 kept',
    file: 'register-store/src/store.js',
    find: 'slot?.value.promised[0] ?? 0',
    replacement: '0',
    noticedBy: { test: 'register-store/test/registers.test.js' },
  }),
  guard({
    name: 'an old group mark is refused',
    rule: '6 kept',
    file: 'register-store/src/store.js',
    find: 'if (group.mark > markOf(m))',
    replacement: 'if (false)',
    noticedBy: {
      test: 'simulation/test/registers.test.js',
    },
  }),
  guard({
    name: 'synced before the reply',
    rule: '9 durable',
    file: 'register-store/src/store.js',
    find: 'await records.write(m.key, next);',
    replacement: 'void records.write(m.key, next);',
    noticedBy: { test: 'simulation/test/registers.test.js' },
  }),
  guard({
    name: 'a change takes effect once',
    rule: 'registers',
    file: 'register-store/src/registers.js',
    find: 'held?.ops.find((op) => tried.has(op))',
    replacement: 'undefined',
    noticedBy: { test: 'simulation/test/registers.test.js' },
  }),
];
