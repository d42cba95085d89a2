// An order to drain reaches the process that it is meant for, or none (§3.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, real, duration } from '@thornsail/runtime';
import { rpc } from '@thornsail/rpc';
import { obeyDrain } from '../src/drain.js';

const host = `127.${64 + (process.pid % 150)}.15.1`;

test('a process that took over an address does not drain for its predecessor', async () => {
  const runtime = real.runtime('/nonexistent');
  const [client, node] = [await rpc.open(runtime, `${host}:0`), await rpc.open(runtime, `${host}:0`)];
  let drains = 0;
  obeyDrain(node, 'second-life', () => Promise.resolve(void (drains += 1)));
  const order = (body: unknown): Promise<unknown> =>
    client.request(node.address, 'node.drain', body, duration.s(1)).catch((e: unknown) => fault.info(e).code);
  assert.is(await order({ to: 'first-life' }), 'remote');
  assert.is(drains, 0);
  assert.equal(await order({ to: 'second-life' }), { ok: true });
  assert.is(drains, 1);
  // A node of the release before names nobody.
  assert.equal(await order({}), { ok: true });
  assert.is(drains, 2);
  await Promise.all([client.close(), node.close()]);
});
test.run();
