// Guards of the lines of `durable-files` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `durable-files`. */
export const durableFilesGuards: readonly Guard[] = [
  guard({
    name: 'a batch is acknowledged after its sync',
    rule: '9 durable',
    file: 'durable-files/src/batch-writer.js',
    find:
      'await disk.writeReserved(name, () => recordFormat.seal([...(batch = ' +
      'take()).values()].map(({ line }) => line)))',
    replacement:
      'const now = recordFormat.seal([...(batch = take()).values()].map((c) => ' +
      'c.line)); disk.writeReserved(name, () => now)',
    noticedBy: { test: 'durable-files/test/restarts.test.js' },
  }),
  guard({
    name: 'what a killed process left is synced before it is used',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: "await disk.syncExisting([recordFormat.fileName('batch', last)]);",
    replacement: ';',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'names that a killed process left are synced before they are used',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await folder.syncExisting([]);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a batch is written under a name that lasts',
    rule: '9 durable',
    file: 'durable-files/src/batch-writer.js',
    find: 'await reservation.upTo(next.batch);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a removed document is acknowledged after the sync of its folder',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'removeOne);\n            await disk.syncExisting([]);',
    replacement: 'removeOne);',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'the mark of a damaged folder goes last',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await disk.syncExisting([]);\n    await disk.remove(marker);',
    replacement: 'await disk.remove(marker);',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'reserved names far up show that what came before is gone',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: 'batches[0] > lastMerged + limits.reservedFiles',
    replacement: 'false',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a damaged folder is marked before it is emptied',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await write(erasingMarker, 1, {});',
    replacement: '',
    noticedBy: { test: 'durable-files/test/damage.test.js' },
  }),
  guard({
    name: 'a damaged batch is not passed over',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: 'if (!valid.has(batch))',
    replacement: 'if (false)',
    noticedBy: {
      test: 'durable-files/test/damage.test.js',
    },
  }),
  guard({
    name: 'a removal is kept as long as an older record is there',
    rule: '9 durable',
    file: 'durable-files/src/compaction.js',
    find: 'isTombstone(record) && record.olderVersions <= (older.get(key) ?? 0)',
    replacement: 'isTombstone(record)',
    noticedBy: { test: 'durable-files/test/restarts.test.js' },
  }),
  guard({
    name: 'what was merged does not come back',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: '.filter((batch) => batch > lastMerged)',
    replacement: '',
    noticedBy: {
      test: 'durable-files/test/restarts.test.js',
    },
  }),
  guard({
    name: 'a failed disk is not written again',
    rule: '9 durable',
    file: 'durable-files/src/guarded-disk.js',
    find: 'if (failed) throw failed;',
    replacement: '',
    noticedBy: {
      test: 'runtime/test/disk.test.js',
    },
  }),
  guard({
    name: 'a torn file is recognised',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'if (text !== undefined)',
    replacement: 'if (raw !== undefined)',
    noticedBy: { test: 'simulation/test/parts.test.js' },
  }),
];
