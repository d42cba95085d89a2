// Frames between nodes and files on disk are those of the release before, byte for byte. The fixtures were made by the
// sources of that release, which played the same history (history.ts).
import { readFileSync } from 'node:fs';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { durableStore } from '@thornsail/durable-files';
import { registers, store, sweep, type Group, type Write } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { playHistory, readFolders, type HistoryGroup, type Next, type Played, type Release } from './history.js';

const fixture = (name: string): string => readFileSync(new URL(`./fixtures/${name}`, import.meta.url), 'utf8');
type Restarted = Pick<Played, 'registers' | 'files'>;
const former = JSON.parse(fixture('history.json')) as { played: Omit<Played, 'frames'>; restarted: Restarted };
const formerFrames = fixture('history-frames.txt').trimEnd().split('\n');

const toGroup = ({ version, members }: HistoryGroup): Group => ({ version, members });
const toWrite = (next: Next): Write<void> => {
  if (next === 'keep') return { keep: true, result: undefined };
  if (next === 'remove') return { stored: null, result: undefined };
  return { stored: { value: next.value, expiresAt: next.expiresAt }, result: undefined };
};
/** The code under test. */
const present: Release = {
  openStore: async ({ runtime, at, id, limits, grace }) => {
    const endpoint = await rpc.open(runtime, at);
    const durable = await durableStore.open(runtime.disk);
    await store.open({ runtime, rpc: endpoint, durable, freshId: id, limits, grace });
  },
  openRegisters: async ({ runtime, at, by, group }) => {
    const endpoint = await rpc.open(runtime, at);
    const opened = registers.open({ runtime, rpc: endpoint, by, group: () => toGroup(group()) });
    return {
      change: (key, next, o) => opened.change<void>(key, (v, walls) => toWrite(next(v, walls.max)), undefined, o),
      reserve: (key) => opened.reserve(key),
      extend: (keys, until) => opened.extend(keys, until),
      readMany: (keys, o) => opened.readMany(keys, undefined, o),
      sweep: async (g, all) => {
        const { complete, groupVersion, seen, repaired, purged, ranges } = await sweep.pass({
          clock: runtime.clock,
          rpc: endpoint,
          registers: opened,
          group: toGroup(g),
          all,
          pause: 0,
          shouldContinue: () => true,
        });
        return { complete, mark: groupVersion, seen, mended: repaired, purged, ranges };
      },
    };
  },
  writeDocument: async (runtime, name, version, value) =>
    (await durableStore.open(runtime.disk)).write(name, version, value),
};

test('the same history sends the same frames and writes the same files as the release before', async () => {
  const { frames, ...played } = await playHistory(present);
  assert.is(frames.length, formerFrames.length);
  for (const [i, frame] of frames.entries()) assert.is(frame, formerFrames[i], `frame ${i}`);
  assert.equal(played.registers, former.played.registers);
  assert.equal(played.passes, former.played.passes);
  assert.equal(played.files, former.played.files);
});
test('data folders that the release before left are read to the same registers', async () => {
  const { registers: values, files } = await readFolders(present, former.played.files);
  assert.equal(values, former.restarted.registers);
  assert.equal(values, former.played.registers);
  assert.equal(files, former.restarted.files);
});
test.run();
