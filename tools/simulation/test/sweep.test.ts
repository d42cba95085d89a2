// A sweep after a change of group while a member is lost (§6.5): it takes as long as the others need, and no longer.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant, duration } from '@thornsail/runtime';
import { registers, store, sweep, type Group, type SweepResult } from '@thornsail/register-store';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { world } from '@thornsail/simulation';

const count = 300;
const at = (i: number): string => `127.0.2.${i}:7101`;
const groupOf = (mark: number, members: number[]): Group => ({
  version: mark,
  members: members.map((i) => ({ id: `k${i}`, at: at(i) })),
});

test('a member without power is not waited for in each range', async () => {
  invariant.clear();
  const w = world.open({ seed: 1, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
  const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.2.${i}`, `z${i % 3}`));
  for (const [i, host] of hosts.entries()) {
    const runtime = w.runtime(host);
    const open = async (): Promise<void> => {
      const p = await rpc.open(runtime, at(i + 1));
      await store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: `k${i + 1}` });
    };
    void open();
  }
  let group = groupOf(1, [1, 2, 3]);
  const runtime = w.runtime(w.host('127.0.1.1', 'z1'));
  const p = await rpc.open(runtime, '127.0.1.1:7101');
  const regs = registers.open({ runtime, rpc: p, clientId: 'e', group: () => group });
  let written = 0;
  await w.run(duration.s(1));
  for (let i = 0; i < count; i++)
    void regs
      .change(`key/${i}`, () => ({ stored: { value: i, expiresAt: 9e15 }, result: true }), duration.s(3))
      .then(() => (written += 1));
  await w.run(w.now() + duration.s(5));
  assert.is(written, count);

  w.kill(hosts[2]!, 'power');
  group = groupOf(2, [1, 2, 3, 4]);
  const begun = w.now();
  let done: SweepResult | undefined;
  let took = Infinity;
  void sweep
    .pass({
      clock: runtime.clock,
      rpc: p,
      registers: regs,
      group,
      afterGroupChange: true,
      pause: 0,
      shouldContinue: () => true,
    })
    .then((r) => {
      done = r;
      took = w.now() - begun;
    });
  await w.run(begun + duration.s(20));
  assert.ok(done?.complete, 'the sweep is not complete');
  assert.is(done.seen, count);
  assert.ok(took < duration.ms(500), `the sweep took ${duration.toMs(took)} ms`);
  assert.equal(invariant.breaches(), []);
});
test.run();
