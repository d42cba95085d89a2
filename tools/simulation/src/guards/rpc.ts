// Guards of the lines of `rpc` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `rpc`. */
export const rpcGuards: readonly Guard[] = [
  guard({
    name: 'an answer between nodes names the process that asked',
    rule: 'answers',
    file: 'rpc/src/sender.js',
    find: '`${processId}.${++sequence}`',
    replacement: '`${++sequence}`',
    noticedBy: { test: 'rpc/test/identity.test.js' },
  }),
];
