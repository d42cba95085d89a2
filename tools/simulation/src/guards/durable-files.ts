/** Mutation guards for `durable-files`: lines of its built code without which a test must fail. */
import { guard, type Guard } from './guard.js';

/** The guards of `durable-files`. */
export const durableFilesGuards: readonly Guard[] = [
  guard({
    name: 'a batch is acknowledged only after its sync',
    rule: '9 durable',
    file: 'durable-files/src/batch-writer.js',
    find:
      'await disk.writeReserved(name, () => recordFormat.seal([...(batch = ' +
      'take()).values()].map(({ line }) => line)))',
    replacement:
      'const now = recordFormat.seal([...(batch = take()).values()].map((change) => ' +
      'change.line)); disk.writeReserved(name, () => now)',
    noticedBy: { test: 'durable-files/test/restarts.test.js' },
  }),
  guard({
    name: 'the last batch of a killed process is synced at startup',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: "await disk.syncExisting([recordFormat.fileName('batch', last)]);",
    replacement: ';',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'the folder of a killed process is synced at startup',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await folder.syncExisting([]);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a batch is written only to a file with a durable name',
    rule: '9 durable',
    file: 'durable-files/src/batch-writer.js',
    find: 'await reservation.ensureReserved(next.batch);',
    replacement: '',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'the removal of a document is acknowledged only after the sync of its folder',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'removeDocument);\n            await disk.syncExisting([]);',
    replacement: 'removeDocument);',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'the erasing marker of a damaged folder is removed last',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await disk.syncExisting([]);\n    await disk.remove(marker);',
    replacement: 'await disk.remove(marker);',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'reserved files too far ahead show that earlier files were lost',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: 'batches[0] > lastMerged + limits.reservedFiles',
    replacement: 'false',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a damaged folder is marked before it is erased',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'await write(erasingMarker, 1, {});',
    replacement: '',
    noticedBy: { test: 'durable-files/test/damage.test.js' },
  }),
  guard({
    name: 'a damaged batch is not skipped',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: 'if (!valid.has(batch))',
    replacement: 'if (false)',
    noticedBy: {
      test: 'durable-files/test/damage.test.js',
    },
  }),
  guard({
    name: 'a tombstone is preserved as long as an older version exists',
    rule: '9 durable',
    file: 'durable-files/src/compaction.js',
    find: 'isTombstone(record) && record.olderVersions <= (older.get(key) ?? 0)',
    replacement: 'isTombstone(record)',
    noticedBy: { test: 'durable-files/test/restarts.test.js' },
  }),
  guard({
    name: 'a merged batch is not loaded again',
    rule: '9 durable',
    file: 'durable-files/src/record-loader.js',
    find: '.filter((batch) => batch > lastMerged)',
    replacement: '',
    noticedBy: {
      test: 'durable-files/test/restarts.test.js',
    },
  }),
  guard({
    name: 'a disk is not written after a failed write',
    rule: '9 durable',
    file: 'durable-files/src/guarded-disk.js',
    find: 'if (failed) throw failed;',
    replacement: '',
    noticedBy: {
      test: 'runtime/test/disk.test.js',
    },
  }),
  guard({
    name: 'a torn document is recognised by its checksum',
    rule: '9 durable',
    file: 'durable-files/src/durable-store.js',
    find: 'if (text !== undefined)',
    replacement: 'if (raw !== undefined)',
    noticedBy: { test: 'simulation/test/components.test.js' },
  }),
];
