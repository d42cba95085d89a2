// A store with the registers of a full day (§8): nothing looks at all of them in one go, and a store is replaced.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  registers,
  store,
  sweep,
  type Group,
  type Registers,
  type Store,
  type SweepResult,
} from '@thornsail/register-store';
import { invariant, duration, type Runtime } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, type Rpc } from '@thornsail/rpc';
import { world, type Host, type World } from '@thornsail/simulation';

const count = 100_000;
/** One key a second for a day, and a seventh as many programs kept for a week: about 100 000 registers. */
const keyOf = (i: number): string => (i % 8 ? `once/push/k${i}` : `program/p${i}`);
const at = (i: number): string => `127.0.2.${i}:7101`;

type Stage = { w: World; hosts: Host[]; stores: Map<number, Store>; boot: (i: number) => Promise<void> };
const stage = (): Stage => {
  invariant.clear();
  const w = world.open({ seed: 1, zoneDelay: duration.ms(1), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
  const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.2.${i}`, `z${i % 3}`));
  const stores = new Map<number, Store>();
  const boot = async (i: number): Promise<void> => {
    const runtime = w.runtime(hosts[i - 1]!);
    const p = await rpc.open(runtime, at(i));
    stores.set(
      i,
      await store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: `k${i}` }),
    );
  };
  return { w, hosts, stores, boot };
};
/** The files as a store leaves them, written once and copied to the others. */
const fill = async (s: Stage): Promise<void> => {
  const put = async (runtime: Runtime): Promise<void> => {
    const durable = await durableStore.open(runtime.disk);
    const copy = {
      promised: [1, 'e'],
      accepted: [1, 'e'],
      held: { value: 1, until: 9e15, ops: ['e.1'] },
      touched: 1,
    };
    await durable.write('identity', 1, { id: 'k1' });
    await Promise.all(Array.from({ length: count }, (_, i) => durable.write(`reg:${keyOf(i)}`, 1, copy)));
  };
  let done = false;
  void put(s.w.runtime(s.hosts[0]!)).then(() => (done = true));
  while (!done) await s.w.run(s.w.now() + duration.s(1));
  const id = [...s.hosts[0]!.files.keys()].find((f) => f.startsWith('identity'))!;
  for (const h of s.hosts.slice(1, 3)) for (const [k, v] of s.hosts[0]!.files) if (k !== id) h.files.set(k, v);
};

test('with 100 000 registers: started, listed, swept, a member replaced, in steps of a few thousand', async () => {
  const s = stage();
  await fill(s);
  for (const i of [1, 2, 3]) void s.boot(i);
  const begun = s.w.now();
  while (s.stores.size < 3) await s.w.run(s.w.now() + duration.ms(100));
  assert.ok(s.w.now() - begun < duration.s(12), 'the start does not fit into the time to serve again');
  assert.is(s.stores.get(1)!.size(), count);
  const runtime = s.w.runtime(s.w.host('127.0.1.1', 'z1'));
  let group: Group = { version: 1, members: [1, 2, 3].map((i) => ({ id: `k${i}`, at: at(i) })) };
  const got: { p?: Rpc; regs?: Registers; pass?: SweepResult } = {};
  void rpc.open(runtime, '127.0.1.1:7101').then((p) => {
    got.p = p;
    got.regs = registers.open({ runtime, rpc: p, clientId: 'e', group: () => group });
  });
  await s.w.run(s.w.now() + duration.ms(50));
  const pass = async (afterGroupChange: boolean, limit: number): Promise<SweepResult> => {
    delete got.pass;
    const o = {
      clock: runtime.clock,
      rpc: got.p!,
      registers: got.regs!,
      group,
      afterGroupChange: afterGroupChange,
      pause: 0,
      shouldContinue: () => true,
    };
    void sweep.pass(o).then((r) => (got.pass = r));
    const end = s.w.now() + limit;
    while (!got.pass && s.w.now() < end) await s.w.run(s.w.now() + duration.ms(50));
    assert.ok(got.pass, 'the sweep did not end in time');
    return got.pass;
  };
  assert.equal(await pass(false, duration.s(2)).then((r) => [r.complete, r.seen]), [true, 0]);
  // A store loses its disk; it is taken out, then an empty one joins: each change is complete at once, because a
  // majority of the new group holds the same.
  s.w.kill(s.hosts[2]!, 'disk');
  void s.boot(4);
  await s.w.run(s.w.now() + duration.s(1));
  group = { version: 2, members: [1, 2].map((i) => ({ id: `k${i}`, at: at(i) })) };
  const out = await pass(true, duration.s(12));
  group = { version: 3, members: [1, 2, 4].map((i) => ({ id: `k${i}`, at: at(i) })) };
  const joined = await pass(true, duration.s(12));
  assert.ok(out.complete && joined.complete);
  assert.ok(
    [1, 2].every((i) => s.stores.get(i)!.counts().longest < 5000),
    'one step looked at too much',
  );
  let v: unknown;
  void got.regs!.read(keyOf(4711)).then((x) => (v = x));
  await s.w.run(s.w.now() + duration.s(1));
  assert.is(v, 1);
  assert.equal(invariant.breaches(), []);
});
test.run();
