// Mutations of `rpc` that break a rule; the named tests must detect them.
import { guard, type Guard } from './guard.js';

/** The guards of the package `rpc`. */
export const rpcGuards: readonly Guard[] = [
  guard({
    name: 'a request id is unique to the requesting process',
    rule: 'answers',
    file: 'rpc/src/sender.js',
    find: '`${processId}.${++sequence}`',
    replacement: '`${++sequence}`',
    noticedBy: { test: 'rpc/test/identity.test.js' },
  }),
];
