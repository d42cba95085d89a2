// A store that is closed: its folder may be taken over by a successor (§6.1).
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, real } from '@thornsail/runtime';
import { durableStore } from '../src/index.js';

test('a closed store has ended its writes and refuses further ones', async () => {
  const { disk } = real.runtime(mkdtempSync(path.join(tmpdir(), 'close-')));
  const store = await durableStore.open(disk);
  const running = [1, 2, 3].map((version) => store.write('a', version, { version }));
  const outcomes = Promise.allSettled([...running, store.close()]);
  const late = await store.write('b', 1, {}).catch((error: unknown) => error);
  assert.is(fault.info(late).code, 'full');
  await store.close();
  const successor = await durableStore.open(disk);
  const settled = await outcomes;
  const written = settled.slice(0, 3).filter((outcome) => outcome.status === 'fulfilled').length;
  assert.is((await successor.read<{ version: number }>('a'))?.version ?? 0, written);
  assert.is(await successor.read('b'), undefined);
});
test.run();
