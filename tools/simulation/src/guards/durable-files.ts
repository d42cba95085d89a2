// Guards of the lines of `durable-files` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `durable-files`. */
export const durableFilesGuards: readonly Guard[] = [
  guard({
    name: 'a batch is acknowledged after its sync',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: 'await disk.fill(name, () => format.seal([...(batch = take()).values()].map((w) => w.text)))',
    replacement:
      'const now = format.seal([...(batch = take()).values()].map((w) => w.text)); void disk.fill(name, () => now)',
    noticedBy: { test: 'durable-files/test/batches.test.js' },
  }),
  guard({
    name: 'what a killed process left is synced before it is used',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: "await disk.settle([format.file('b', last)]);",
    replacement: ';',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'names that a killed process left are synced before they are used',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'await folder.settle([]);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a batch is written under a name that lasts',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: 'await reserved.upTo(next);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a removed document is acknowledged after the sync of its folder',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'work));\n                await disk.settle([]);',
    replacement: 'work));',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'the mark of a damaged folder goes last',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'await disk.settle([]);\n                await disk.drop(file(wiping, 1));',
    replacement: 'await disk.drop(file(wiping, 1));',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'reserved names far up show that what came before is gone',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: 'list[0] > upTo + limits.reservedFiles',
    replacement: 'false',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a damaged folder is marked before it is emptied',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'await write(wiping, 1, {});',
    replacement: '',
    noticedBy: { test: 'durable-files/test/batches.test.js' },
  }),
  guard({
    name: 'a damaged batch is not passed over',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: 'if (!sound.has(n))',
    replacement: 'if (false)',
    noticedBy: {
      test: 'durable-files/test/batches.test.js',
    },
  }),
  guard({
    name: 'a removal is kept as long as an older record is there',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: 'isGone(x) && x.older <= (older.get(key) ?? 0)',
    replacement: 'isGone(x)',
    noticedBy: { test: 'durable-files/test/batches.test.js' },
  }),
  guard({
    name: 'what was merged does not come back',
    rule: '9 durable',
    file: 'durable-files/src/batches.js',
    find: '.filter((n) => n > upTo)',
    replacement: '',
    noticedBy: {
      test: 'durable-files/test/batches.test.js',
    },
  }),
  guard({
    name: 'a failed disk is not written again',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'if (failed) throw failed;',
    replacement: '',
    noticedBy: {
      test: 'runtime/test/disk.test.js',
    },
  }),
  guard({
    name: 'a torn file is recognised',
    rule: '9 durable',
    file: 'durable-files/src/index.js',
    find: 'if (text !== undefined)',
    replacement: 'if (raw !== undefined)',
    noticedBy: { test: 'simulation/test/parts.test.js' },
  }),
];
