// A sweep after a group change while a member is lost (§6.5) takes no longer than the other members need.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant, duration } from '@thornsail/runtime';
import { registers, store, sweep, type Group, type SweepResult } from '@thornsail/register-store';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { world } from '@thornsail/simulation';

const registerCount = 300;
const addressOf = (i: number): string => `127.0.2.${i}:7101`;
const groupOf = (version: number, members: number[]): Group => ({
  version,
  members: members.map((i) => ({ id: `k${i}`, at: addressOf(i) })),
});

test('a sweep does not wait for a member without power in each range', async () => {
  invariant.clear();
  const simulation = world.open({
    seed: 1,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
  });
  const hosts = [1, 2, 3, 4].map((i) => simulation.host(`127.0.2.${i}`, `z${i % 3}`));
  for (const [i, host] of hosts.entries()) {
    const runtime = simulation.runtime(host);
    const openStore = async (): Promise<void> => {
      const endpoint = await rpc.open(runtime, addressOf(i + 1));
      await store.open({
        runtime,
        rpc: endpoint,
        durable: await durableStore.open(runtime.disk),
        freshId: `k${i + 1}`,
      });
    };
    void openStore();
  }
  let group = groupOf(1, [1, 2, 3]);
  const runtime = simulation.runtime(simulation.host('127.0.1.1', 'z1'));
  const endpoint = await rpc.open(runtime, '127.0.1.1:7101');
  const client = registers.open({ runtime, rpc: endpoint, clientId: 'e', group: () => group });
  let written = 0;
  await simulation.run(duration.s(1));
  for (let i = 0; i < registerCount; i++)
    void client
      .change(`key/${i}`, () => ({ stored: { value: i, expiresAt: 9e15 }, result: true }), duration.s(3))
      .then(() => (written += 1));
  await simulation.run(simulation.now() + duration.s(5));
  assert.is(written, registerCount);

  simulation.kill(hosts[2]!, 'power');
  group = groupOf(2, [1, 2, 3, 4]);
  const startedAt = simulation.now();
  let result: SweepResult | undefined;
  let elapsed = Infinity;
  void sweep
    .pass({
      clock: runtime.clock,
      rpc: endpoint,
      registers: client,
      group,
      afterGroupChange: true,
      pause: 0,
      shouldContinue: () => true,
    })
    .then((completed) => {
      result = completed;
      elapsed = simulation.now() - startedAt;
    });
  await simulation.run(startedAt + duration.s(20));
  assert.ok(result?.complete, 'the sweep is not complete');
  assert.is(result.seen, registerCount);
  assert.ok(elapsed < duration.ms(500), `the sweep took ${duration.toMs(elapsed)} ms`);
  assert.equal(invariant.breaches(), []);
});
test.run();
