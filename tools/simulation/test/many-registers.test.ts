// Stores with the registers of a full day (§8): no step processes all of them at once, and a store is replaced.
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

const registerCount = 100_000;
/** One key a second for a day, and a seventh as many programs stored for a week: about 100 000 registers. */
const keyOf = (i: number): string => (i % 8 ? `once/push/k${i}` : `program/p${i}`);
const addressOf = (i: number): string => `127.0.2.${i}:7101`;

type Cluster = { simulation: World; hosts: Host[]; stores: Map<number, Store>; boot: (i: number) => Promise<void> };
const openCluster = (): Cluster => {
  invariant.clear();
  const simulation = world.open({
    seed: 1,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
  });
  const hosts = [1, 2, 3, 4].map((i) => simulation.host(`127.0.2.${i}`, `z${i % 3}`));
  const stores = new Map<number, Store>();
  const boot = async (i: number): Promise<void> => {
    const runtime = simulation.runtime(hosts[i - 1]!);
    const endpoint = await rpc.open(runtime, addressOf(i));
    stores.set(
      i,
      await store.open({ runtime, rpc: endpoint, durable: await durableStore.open(runtime.disk), freshId: `k${i}` }),
    );
  };
  return { simulation, hosts, stores, boot };
};
/** Writes the files of one store, as a store leaves them, and copies them to two others. */
const fillStores = async (cluster: Cluster): Promise<void> => {
  const writeFiles = async (runtime: Runtime): Promise<void> => {
    const durable = await durableStore.open(runtime.disk);
    const replica = {
      promised: [1, 'e'],
      accepted: [1, 'e'],
      held: { value: 1, until: 9e15, ops: ['e.1'] },
      touched: 1,
    };
    await durable.write('identity', 1, { id: 'k1' });
    await Promise.all(Array.from({ length: registerCount }, (_, i) => durable.write(`reg:${keyOf(i)}`, 1, replica)));
  };
  let isDone = false;
  void writeFiles(cluster.simulation.runtime(cluster.hosts[0]!)).then(() => (isDone = true));
  while (!isDone) await cluster.simulation.run(cluster.simulation.now() + duration.s(1));
  const identityFile = [...cluster.hosts[0]!.files.keys()].find((file) => file.startsWith('identity'))!;
  for (const host of cluster.hosts.slice(1, 3))
    for (const [file, text] of cluster.hosts[0]!.files) if (file !== identityFile) host.files.set(file, text);
};

test('100 000 registers: stores start, list, sweep and replace a member in steps of a few thousand', async () => {
  const cluster = openCluster();
  await fillStores(cluster);
  for (const i of [1, 2, 3]) void cluster.boot(i);
  const startedAt = cluster.simulation.now();
  while (cluster.stores.size < 3) await cluster.simulation.run(cluster.simulation.now() + duration.ms(100));
  assert.ok(
    cluster.simulation.now() - startedAt < duration.s(12),
    'the start exceeds the time allowed until service resumes',
  );
  assert.is(cluster.stores.get(1)!.size(), registerCount);
  const runtime = cluster.simulation.runtime(cluster.simulation.host('127.0.1.1', 'z1'));
  let group: Group = { version: 1, members: [1, 2, 3].map((i) => ({ id: `k${i}`, at: addressOf(i) })) };
  const session: { endpoint?: Rpc; client?: Registers; result?: SweepResult } = {};
  void rpc.open(runtime, '127.0.1.1:7101').then((endpoint) => {
    session.endpoint = endpoint;
    session.client = registers.open({ runtime, rpc: endpoint, clientId: 'e', group: () => group });
  });
  await cluster.simulation.run(cluster.simulation.now() + duration.ms(50));
  const runSweep = async (afterGroupChange: boolean, limit: number): Promise<SweepResult> => {
    delete session.result;
    const options = {
      clock: runtime.clock,
      rpc: session.endpoint!,
      registers: session.client!,
      group,
      afterGroupChange,
      pause: 0,
      shouldContinue: () => true,
    };
    void sweep.pass(options).then((result) => (session.result = result));
    const deadline = cluster.simulation.now() + limit;
    while (!session.result && cluster.simulation.now() < deadline)
      await cluster.simulation.run(cluster.simulation.now() + duration.ms(50));
    assert.ok(session.result, 'the sweep did not end in time');
    return session.result;
  };
  assert.equal(await runSweep(false, duration.s(2)).then((result) => [result.complete, result.seen]), [true, 0]);
  // A store loses its disk; it is removed, then an empty one joins. Each change is complete after one sweep, because a
  // majority of the new group holds the same replicas.
  cluster.simulation.kill(cluster.hosts[2]!, 'disk');
  void cluster.boot(4);
  await cluster.simulation.run(cluster.simulation.now() + duration.s(1));
  group = { version: 2, members: [1, 2].map((i) => ({ id: `k${i}`, at: addressOf(i) })) };
  const removal = await runSweep(true, duration.s(12));
  group = { version: 3, members: [1, 2, 4].map((i) => ({ id: `k${i}`, at: addressOf(i) })) };
  const addition = await runSweep(true, duration.s(12));
  assert.ok(removal.complete && addition.complete);
  assert.ok(
    [1, 2].every((i) => cluster.stores.get(i)!.counts().longest < 5000),
    'one step processed too many registers',
  );
  let value: unknown;
  void session.client!.read(keyOf(4711)).then((result) => (value = result));
  await cluster.simulation.run(cluster.simulation.now() + duration.s(1));
  assert.is(value, 1);
  assert.equal(invariant.breaches(), []);
});
test.run();
