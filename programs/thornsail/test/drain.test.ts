// A drain request is handled only by the process that it is meant for, not by a later process at its address (§3.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, real, duration } from '@thornsail/runtime';
import { rpc } from '@thornsail/rpc';
import { handleDrainRequests } from '../src/drain.js';

const host = `127.${64 + (process.pid % 150)}.15.1`;

test('a process does not handle a drain request meant for the previous process at its address', async () => {
  const runtime = real.runtime('/nonexistent');
  const [client, node] = [await rpc.open(runtime, `${host}:0`), await rpc.open(runtime, `${host}:0`)];
  let drains = 0;
  handleDrainRequests(node, 'second-process', () => Promise.resolve(void (drains += 1)));
  const requestDrain = (body: unknown): Promise<unknown> =>
    client.request(node.address, 'node.drain', body, duration.s(1)).catch((error: unknown) => fault.info(error).code);
  assert.is(await requestDrain({ to: 'first-process' }), 'remote');
  assert.is(drains, 0);
  assert.equal(await requestDrain({ to: 'second-process' }), { ok: true });
  assert.is(drains, 1);
  // A node of the previous release does not name the process that the request is meant for.
  assert.equal(await requestDrain({}), { ok: true });
  assert.is(drains, 2);
  await Promise.all([client.close(), node.close()]);
});
test.run();
