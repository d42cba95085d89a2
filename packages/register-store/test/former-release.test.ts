// Frames between nodes and files on disk are the same as those of the previous release, byte for byte. The fixtures
// were made by running the same history (history.ts) with the sources of that release (fixtures/make.mjs).
import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { durableStore } from '@thornsail/durable-files';
import { registers, store, sweep, type Group, type Write } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import {
  runHistory,
  readFolders,
  type HistoryGroup,
  type NextValue,
  type HistoryResult,
  type Release,
} from './history.js';

const readFixture = (name: string): string => readFileSync(new URL(`./fixtures/${name}`, import.meta.url), 'utf8');
type Restarted = Pick<HistoryResult, 'registers' | 'files'>;
const formerResults = JSON.parse(readFixture('history.json')) as {
  played: Omit<HistoryResult, 'frames'>;
  restarted: Restarted;
};
const formerFrames = readFixture('history-frames.txt').trimEnd().split('\n');

const toGroup = ({ version, members }: HistoryGroup): Group => ({ version, members });
const toWrite = (next: NextValue): Write<void> => {
  if (next === 'keep') return { keep: true, result: undefined };
  if (next === 'remove') return { stored: null, result: undefined };
  return { stored: { value: next.value, expiresAt: next.expiresAt }, result: undefined };
};
/** The code under test. */
const currentRelease: Release = {
  openStore: async ({ runtime, address, id, limits, grace }) => {
    const endpoint = await rpc.open(runtime, address);
    const durable = await durableStore.open(runtime.disk);
    await store.open({ runtime, rpc: endpoint, durable, freshId: id, limits, grace });
  },
  openRegisters: async ({ runtime, address, clientId, group }) => {
    const endpoint = await rpc.open(runtime, address);
    const client = registers.open({ runtime, rpc: endpoint, clientId, group: () => toGroup(group()) });
    return {
      change: (key, next, options) =>
        client.change<void>(key, (value, walls) => toWrite(next(value, walls.max)), undefined, options),
      reserve: (key) => client.reserve(key),
      extend: (keys, until) => client.extend(keys, until),
      readMany: (keys, options) => client.readMany(keys, undefined, options),
      sweep: async (sweptGroup, afterGroupChange) => {
        const { complete, groupVersion, seen, repaired, purged, ranges } = await sweep.pass({
          clock: runtime.clock,
          rpc: endpoint,
          registers: client,
          group: toGroup(sweptGroup),
          afterGroupChange,
          pause: 0,
          shouldContinue: () => true,
        });
        // The fixtures have the result under the names of the previous release.
        return { complete, mark: groupVersion, seen, mended: repaired, purged, ranges };
      },
    };
  },
  writeDocument: async (runtime, name, version, value) =>
    (await durableStore.open(runtime.disk)).write(name, version, value),
};

test('a history sends the same frames and writes the same files as with the previous release', async () => {
  const { frames, ...result } = await runHistory(currentRelease);
  assert.is(frames.length, formerFrames.length);
  for (const [i, frame] of frames.entries()) assert.is(frame, formerFrames[i], `frame ${i}`);
  assert.equal(result.registers, formerResults.played.registers);
  assert.equal(result.passes, formerResults.played.passes);
  assert.equal(result.files, formerResults.played.files);
});
test('stores read the data folders of the previous release to the same registers', async () => {
  const { registers: values, files } = await readFolders(currentRelease, formerResults.played.files);
  assert.equal(values, formerResults.restarted.registers);
  assert.equal(values, formerResults.played.registers);
  assert.equal(files, formerResults.restarted.files);
});
test.run();
