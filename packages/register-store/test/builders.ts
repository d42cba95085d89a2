/** A simulated cluster of stores and clients, and helpers that its tests share. */
import { world as simulation, type Host, type World } from '@thornsail/simulation';
import * as assert from 'uvu/assert';
import {
  registers,
  store,
  sweep,
  type Group,
  type Registers,
  type Store,
  type SweepResult,
  type Write,
} from '@thornsail/register-store';
import { fault, invariant, duration, type Microseconds } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, type Rpc } from '@thornsail/rpc';

/** A node that reads and changes registers. */
export type Client = { registers: Registers; host: Host; rpc: Rpc };
/** A cluster, in which stores and clients are identified by numbers from 1 on; both are in the zone of their number. */
export type Cluster = {
  world: World;
  /** The hosts of stores 1 to 4. */
  hosts: Host[];
  stores: Map<number, Store>;
  startStore: (storeNumber: number) => Promise<void>;
  /** Sets the group that all clients use. */
  setGroup: (version: number, storeNumbers: number[]) => void;
  openClient: (clientNumber: number, distance?: (storeId: string) => number) => Promise<Client>;
  /** Runs one pass of anti-entropy. */
  runSweep: (client: Pick<Client, 'registers' | 'rpc'>, afterGroupChange: boolean) => Promise<SweepResult>;
  /** Waits in simulated time. */
  wait: (time: Microseconds) => Promise<void>;
};
/** The address of a store. */
export const storeAddress = (storeNumber: number): string => `127.0.2.${storeNumber}:7101`;
/** Runs a test in simulated time on a cluster whose stores 1 to 3 are running, and checks that no invariant broke. */
export const withCluster = async (
  seed: number,
  scenario: (cluster: Cluster) => Promise<void>,
  options: { grace?: Microseconds; diskTime?: Microseconds } = {},
): Promise<void> => {
  invariant.clear();
  const world = simulation.open({
    seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    ...(options.diskTime ? { diskTime: options.diskTime } : {}),
  });
  const hosts = [1, 2, 3, 4].map((i) => world.host(`127.0.2.${i}`, `z${i}`));
  const stores = new Map<number, Store>();
  let group: Group = { version: 0, members: [] };
  const cluster: Cluster = {
    world,
    hosts,
    stores,
    startStore: async (i) => {
      const runtime = world.runtime(hosts[i - 1]!);
      const endpoint = await rpc.open(runtime, storeAddress(i));
      const durable = await durableStore.open(runtime.disk);
      stores.set(
        i,
        await store.open({
          runtime,
          rpc: endpoint,
          durable,
          freshId: `k${i}`,
          ...('grace' in options ? { grace: options.grace! } : {}),
        }),
      );
    },
    setGroup: (version, storeNumbers) => {
      group = { version, members: storeNumbers.map((i) => ({ id: `k${i}`, at: storeAddress(i) })) };
    },
    openClient: async (i, distance) => {
      const host = world.host(`127.0.1.${i}`, `z${i}`);
      const runtime = world.runtime(host);
      const endpoint = await rpc.open(runtime, `127.0.1.${i}:7101`);
      const client = registers.open({
        runtime,
        rpc: endpoint,
        clientId: `e${i}`,
        group: () => group,
        ...(distance ? { distance } : {}),
      });
      return { registers: client, host, rpc: endpoint };
    },
    runSweep: (client, afterGroupChange) =>
      sweep.pass({
        clock: world.runtime(world.host('127.0.8.8', 'z9')).clock,
        rpc: client.rpc,
        registers: client.registers,
        group,
        afterGroupChange,
        pause: 0,
        shouldContinue: () => true,
      }),
    wait: (time) =>
      new Promise((resolve) => {
        world.scheduleAt(world.now() + time, resolve);
      }),
  };
  let outcome = '';
  const runScenario = async (): Promise<void> => {
    for (const i of [1, 2, 3]) await cluster.startStore(i);
    cluster.setGroup(1, [1, 2, 3]);
    await scenario(cluster);
    outcome = 'passed';
  };
  runScenario().catch((error) => {
    outcome = error instanceof Error ? (error.stack ?? error.message) : String(error);
  });
  await world.run(duration.s(20_000));
  assert.is(outcome, 'passed');
  assert.equal(invariant.breaches(), []);
};
/** A change that replaces the value. */
export const put =
  (value: unknown, timeToLive: Microseconds = duration.s(9999)) =>
  (_value: unknown, walls: { max: Microseconds }): Write<void> => ({
    stored: { value, expiresAt: walls.max + timeToLive },
    result: undefined,
  });
/** A change that appends an item to a list and returns the list before it. */
export const append =
  (item: string) =>
  (value: unknown, walls: { max: Microseconds }, expiresAt: Microseconds): Write<string[]> => {
    const list = (value as string[] | undefined) ?? [];
    return {
      stored: { value: [...list, item], expiresAt: Math.max(expiresAt, walls.max + duration.s(60)) },
      result: list,
    };
  };
/** The code with which work fails; 'ok' if it succeeds. */
export const codeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'ok',
    (error) => fault.info(error).code ?? String(error),
  );
/** The frames sent, the bytes sent between zones, and the simulated time that work takes. */
export const costOf = async (
  world: World,
  work: () => Promise<unknown>,
): Promise<{ frames: number; bytes: number; took: Microseconds }> => {
  const [frames, bytes, startedAt] = [world.frames(), world.zoneBytes(), world.now()];
  await work();
  return { frames: world.frames() - frames, bytes: world.zoneBytes() - bytes, took: world.now() - startedAt };
};
/** The wall time this much later than now. */
export const wallTimeIn = (world: World, delay: Microseconds): Microseconds =>
  world.runtime(world.host('127.0.8.7', 'z9')).clock.wallTime() + delay;

/** The option of a change that tries an opening first. */
export const expectAbsent = { expectAbsent: true };
/** Leaves an opening of a key on some stores only: its client reaches no others, and loses power during the round. */
export const leavePartialOpening = async (
  cluster: Cluster,
  clientNumber: number,
  key: string,
  reachedStores: number[],
): Promise<void> => {
  const client = await cluster.openClient(clientNumber);
  await client.registers.change(`warm${clientNumber}`, put(1));
  await cluster.wait(duration.s(1));
  cluster.world.partition(
    [client.host],
    cluster.hosts.filter((_, i) => !reachedStores.includes(i + 1)),
  );
  void client.registers.change(key, append(`stray${clientNumber}`), duration.s(2), expectAbsent).catch(() => undefined);
  await cluster.wait(duration.ms(5));
  cluster.world.kill(client.host, 'power');
};
