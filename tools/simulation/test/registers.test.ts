// Histories of concurrent register operations in simulated worlds with faults and group changes, checked for
// linearizability; and sweeps of the register stores.
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
import { fault, invariant, time, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc, type Rpc } from '@thornsail/rpc';
import { world, type Host } from '@thornsail/simulation';

type Operation = {
  id: string;
  key: string;
  from: number;
  to: number;
  returned: string[] | null;
  ok: boolean;
  reads?: boolean;
};

/**
 * The violations of linearizability. Every append returns a prefix of the final list, in real-time order, and takes
 * effect at most once. A read returns a prefix, too: with all that ended before it began, and nothing that began after
 * it ended.
 */
const findViolations = (operations: Operation[], finalLists: Map<string, string[]>): string[] => {
  const violations: string[] = [];
  for (const [key, list] of finalLists) {
    if (new Set(list).size !== list.length) violations.push(`${key}: an append took effect twice`);
    const reads = operations.filter((operation) => operation.key === key && operation.ok && operation.reads);
    for (const read of reads) {
      const length = read.returned!.length;
      if (read.returned!.join() !== list.slice(0, length).join())
        violations.push(`${key}: a read returned a state that never existed`);
      for (const other of operations) {
        if (other.key !== key || other === read || !other.ok) continue;
        const position = other.reads ? other.returned!.length - 1 : list.indexOf(other.id);
        if (other.to < read.from && position >= length)
          violations.push(`${key}: a read missed ${other.id}, which ended before it`);
        if (!other.reads && read.to < other.from && position < length)
          violations.push(`${key}: a read returned ${other.id} before it began`);
      }
    }
    for (const append of operations.filter((operation) => operation.key === key && operation.ok && !operation.reads)) {
      const position = list.indexOf(append.id);
      if (position < 0) {
        violations.push(`${key}: an acknowledged append is lost`);
        continue;
      }
      if (append.returned!.join() !== list.slice(0, position).join())
        violations.push(`${key}: ${append.id} returned a state that never preceded it`);
      for (const other of operations)
        if (
          other.key === key &&
          other.ok &&
          !other.reads &&
          other.to < append.from &&
          list.indexOf(other.id) > position
        )
          violations.push(`${key}: ${other.id} ended before ${append.id} began, yet follows it`);
    }
  }
  return violations;
};

const runHistory = async (
  seed: number,
  options: { faults: boolean; regroup: boolean; mixed?: boolean; fresh?: boolean },
): Promise<{ problems: string[]; done: number; unknown: number; reads: number; opened: number }> => {
  /** With `fresh`, new keys that two or three edges open at about the same time. */
  const keyCount = options.fresh ? 24 : 3;
  /** Longer with `fresh`: for a while after a store did not answer, no key is opened. */
  const span = duration.s(options.fresh ? 12 : 3);
  invariant.clear();
  // With faults the disk is slower than the network; otherwise a missing sync would not be detected.
  const simulation = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    ...(options.faults ? { diskTime: duration.ms(12) } : {}),
  });
  const machines = [1, 2, 3, 4].map((i) => ({
    host: simulation.host(`127.0.2.${i}`, `z${i}`),
    at: `127.0.2.${i}:7101`,
    id: `k${i}`,
  }));
  const bootStore = async (host: Host, address: string, id: string): Promise<void> => {
    const runtime = simulation.runtime(host);
    const endpoint = await rpc.open(runtime, address);
    await store.open({ runtime, rpc: endpoint, durable: await durableStore.open(runtime.disk), freshId: id });
  };
  for (const machine of machines) void bootStore(machine.host, machine.at, machine.id);
  const membersOf = (ids: number[]): Group['members'] => ids.map((i) => ({ id: `k${i}`, at: `127.0.2.${i}:7101` }));
  let group: Group = { version: 1, members: membersOf([1, 2, 3]) };
  // An edge learns of a new group late, and uses the old one meanwhile.
  const initialGroup = group;
  const lags = [0, 1, 2].map((edge) => (edge === 0 || !options.regroup ? 0 : simulation.rand.int(duration.s(3))));
  const edges: Registers[] = [];
  const hosts: Host[] = [];
  const rpcs: Rpc[] = [];
  for (let edgeIndex = 0; edgeIndex < 3; edgeIndex++) {
    const host = simulation.host(`127.0.1.${edgeIndex}`, `z${edgeIndex + 1}`);
    hosts.push(host);
    const runtime = simulation.runtime(host);
    void rpc.open(runtime, `127.0.1.${edgeIndex}:7101`).then((endpoint) => {
      rpcs[edgeIndex] = endpoint;
      const near = (id: string): number => (options.mixed && id === `k${edgeIndex + 1}` ? 0 : 1);
      edges[edgeIndex] = registers.open({
        runtime,
        rpc: endpoint,
        clientId: `edge${edgeIndex}`,
        distance: near,
        group: () => (simulation.now() < lags[edgeIndex]! ? initialGroup : group),
      });
    });
  }
  await simulation.run(duration.ms(50));
  const operations: Operation[] = [];
  const random = simulation.rand;
  let openCount = 0;
  let remainingBlackouts = options.faults ? 2 : 0;
  /** All stores lose power right after an acknowledgement. */
  const losePower = (): void => {
    remainingBlackouts -= 1;
    for (const machine of machines.slice(0, 3))
      if (machine.host.alive) {
        simulation.kill(machine.host, 'power');
        simulation.scheduleAt(simulation.now() + duration.ms(50), () => {
          simulation.start(machine.host);
          void bootStore(machine.host, machine.at, machine.id);
        });
      }
  };
  if (options.fresh)
    for (const edge of edges)
      void edge
        .change(
          'warm',
          (_value, clocks) => ({ stored: { value: 1, expiresAt: clocks.max + duration.s(9999) }, result: 0 }),
          duration.ms(40),
        )
        .catch(() => undefined);
  const keyInterval = span / keyCount;
  for (let i = 0; i < 60; i++) {
    const edgeIndex = random.int(3);
    const keyIndex = options.fresh ? i % keyCount : random.int(3);
    const key = `key${keyIndex}`;
    simulation.scheduleAt(
      duration.ms(50) + (options.fresh ? keyIndex * keyInterval + random.int(duration.ms(8)) : random.int(span)),
      () => {
        const operation: Operation = {
          id: `a${i}`,
          key,
          from: simulation.now(),
          to: Infinity,
          returned: null,
          ok: false,
        };
        operations.push(operation);
        openCount += 1;
        edges[edgeIndex]!.change(
          key,
          (value, clocks) => {
            const list = (value as string[] | undefined) ?? [];
            return {
              stored: { value: [...list, operation.id], expiresAt: clocks.max + duration.s(9999) },
              result: list,
            };
          },
          duration.ms(700),
          { expectAbsent: options.fresh === true },
        )
          .then(
            (returned) => {
              operation.returned = returned;
              operation.ok = true;
              operation.to = simulation.now();
              if (remainingBlackouts > 0 && random.int(8) === 0) losePower();
            },
            (error) => {
              assert.is(fault.info(error).code, 'no-majority');
            },
          )
          .finally(() => {
            openCount -= 1;
          });
      },
    );
  }
  // Reads of several keys, reservations some time before a change, and extensions in between.
  const wallTime = simulation.runtime(simulation.host('127.0.8.8', 'z1')).clock.wallTime;
  const allKeys = Array.from({ length: keyCount }, (_, i) => `key${i}`);
  const readKeys = (edge: Registers, requestedKeys: string[]): void => {
    const from = simulation.now();
    edge.readMany(requestedKeys, duration.ms(700)).then(
      (lists) => {
        for (const [i, key] of requestedKeys.entries()) {
          const returned = (lists[i] as string[] | undefined) ?? [];
          operations.push({ id: 'a read', key, from, to: simulation.now(), returned, ok: true, reads: true });
        }
      },
      () => undefined,
    );
  };
  if (options.mixed)
    for (let i = 0; i < 60; i++) {
      const [edgeIndex, action, key] = [random.int(3), random.int(4), allKeys[random.int(keyCount)]!];
      simulation.scheduleAt(duration.ms(50) + random.int(span), () => {
        const edge = edges[edgeIndex]!;
        if (action === 0) void edge.reserve(key, duration.ms(500)).catch(() => undefined);
        else if (action === 1)
          void edge.extend(allKeys, wallTime() + duration.s(9999 + i), duration.ms(500)).catch(() => undefined);
        else readKeys(edge, action === 2 ? allKeys : [key]);
      });
    }
  // Every other history has a network that loses, duplicates and reorders messages.
  if (options.faults && seed % 2 === 0) {
    simulation.setFrameFaults(0.05, duration.ms(10));
    simulation.scheduleAt(span + duration.s(2), () => simulation.setFrameFaults(0, 0));
  }
  if (options.faults)
    for (let i = 0; i < 5; i++)
      simulation.scheduleAt(random.int(span), () => {
        const machine = machines[random.int(3)]!;
        if (!machine.host.alive) return;
        if (random.int(3) === 0) {
          simulation.freeze(machine.host);
          simulation.scheduleAt(simulation.now() + random.int(duration.ms(600)), () => simulation.thaw(machine.host));
          return;
        }
        simulation.kill(machine.host, 'power');
        simulation.scheduleAt(simulation.now() + random.int(duration.ms(500)), () => {
          simulation.start(machine.host);
          void bootStore(machine.host, machine.at, machine.id);
        });
      });
  const { clock } = simulation.runtime(simulation.host('127.0.8.9', 'z1'));
  const runSweep = (afterGroupChange: boolean): Promise<SweepResult> =>
    sweep.pass({
      clock,
      rpc: rpcs[0]!,
      registers: edges[0]!,
      group,
      afterGroupChange: afterGroupChange,
      pause: 0,
      shouldContinue: () => true,
    });
  if (options.fresh) {
    // The group is swept, filled and then changed again: 4 joins, 1 leaves and rejoins with its old disk, 2 leaves.
    const groups = options.regroup
      ? [
          [1, 2, 3, 4],
          [2, 3, 4],
          [1, 2, 3, 4],
          [1, 3, 4],
          [1, 3],
          [1, 3, 2],
        ]
      : [];
    const runSweeps = async (): Promise<void> => {
      let [version, sweptVersion] = [1, 1];
      for (let i = 0; simulation.now() < span + duration.s(2); i++) {
        const result = await runSweep(sweptVersion !== version);
        if (result.complete) sweptVersion = version;
        const next = groups[version - 1];
        if (result.complete && next && i % 3 === 2) group = { version: ++version, members: membersOf(next) };
        await time.sleep(clock, duration.ms(60));
      }
    };
    simulation.scheduleAt(duration.ms(100), () => void runSweeps());
    if (options.regroup && seed % 3 > 0) simulation.setFrameFaults(0.03, duration.ms(8));
    simulation.scheduleAt(span + duration.s(2), () => simulation.setFrameFaults(0, 0));
  } else if (options.regroup) {
    // Add k4, settle every key under the new version, remove k1, settle again.
    const replaceMember = async (): Promise<void> => {
      group = { version: 2, members: membersOf([1, 2, 3, 4]) };
      for (const key of allKeys) await edges[0]!.settleKey(key, duration.s(3));
      group = { version: 3, members: membersOf([2, 3, 4]) };
      for (const key of allKeys) await edges[0]!.settleKey(key, duration.s(3));
      simulation.kill(machines[0]!.host, 'disk');
    };
    simulation.scheduleAt(duration.ms(900), () => void replaceMember());
    // Two edges are each partitioned from a different store, so that their majorities differ.
    const heals = [
      simulation.partition([hosts[1]!], [machines[2]!.host]),
      simulation.partition([hosts[2]!], [machines[1]!.host]),
    ];
    simulation.scheduleAt(duration.s(5), () => heals.forEach((heal) => heal()));
  }
  await simulation.run(span + duration.s(3));
  const finalLists = new Map<string, string[]>();
  for (const key of allKeys)
    void edges[random.int(3)]!.read(key, duration.s(4)).then((value) =>
      finalLists.set(key, (value as string[] | undefined) ?? []),
    );
  await simulation.run(span + duration.s(8));
  assert.is(openCount, 0);
  assert.is(finalLists.size, keyCount, 'the registers could not be read at the end');
  return {
    problems: [...findViolations(operations, finalLists), ...invariant.breaches()],
    done: operations.filter((operation) => operation.ok && !operation.reads).length,
    unknown: operations.filter((operation) => !operation.ok).length,
    reads: operations.filter((operation) => operation.reads).length,
    opened: edges.reduce((sum, edge) => sum + edge.counts().opened, 0),
  };
};

test('the checker finds a lost, a duplicated and a reordered append', () => {
  const operation = (id: string, from: number, to: number, returned: string[]): Operation => ({
    id,
    key: 'k',
    from,
    to,
    returned,
    ok: true,
  });
  assert.is(findViolations([operation('a', 0, 1, [])], new Map([['k', []]])).length, 1);
  assert.is(findViolations([operation('a', 0, 1, [])], new Map([['k', ['a', 'a']]])).length, 1);
  assert.ok(
    findViolations([operation('a', 0, 1, ['b']), operation('b', 2, 3, [])], new Map([['k', ['b', 'a']]])).length > 0,
  );
  assert.is(
    findViolations([operation('a', 0, 1, []), operation('b', 2, 3, ['a'])], new Map([['k', ['a', 'b']]])).length,
    0,
  );
});
test('register histories are linearizable without faults', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const result = await runHistory(seed, { faults: false, regroup: false });
    assert.equal(result.problems, [], `seed ${seed}`);
    assert.is(result.unknown, 0);
  }
});
test('register histories are linearizable with stores losing power and freezing', async () => {
  let done = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const result = await runHistory(seed, { faults: true, regroup: false });
    assert.equal(result.problems, [], `seed ${seed}`);
    done += result.done;
  }
  assert.ok(done > 40 * 20, `only ${done} appends were acknowledged`);
});
test('register histories are linearizable while the group changes and its old member is lost', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const result = await runHistory(seed, { faults: false, regroup: true });
    assert.equal(result.problems, [], `seed ${seed}`);
    assert.ok(result.done > 30);
  }
});
test('histories with reservations, nearest-store reads of many keys and extensions are linearizable', async () => {
  for (const [faults, regroup] of [
    [false, false],
    [true, false],
    [false, true],
  ] as const) {
    let reads = 0;
    let done = 0;
    for (let seed = 1; seed <= 24; seed++) {
      const result = await runHistory(seed, { faults, regroup, mixed: true });
      assert.equal(result.problems, [], `seed ${seed}`);
      reads += result.reads;
      done += result.done;
    }
    assert.ok(reads > 24 * 30 && done > 24 * 20, `${reads} reads, ${done} appends`);
  }
});
test('histories of keys opened by several edges at once are linearizable, with faults and group changes', async () => {
  for (const [faults, regroup, mixed] of [
    [false, false, false],
    [false, false, true],
    [true, false, true],
    [false, true, true],
  ] as const) {
    let opened = 0;
    let done = 0;
    for (let seed = 1; seed <= 40; seed++) {
      const result = await runHistory(seed, { faults, regroup, mixed, fresh: true });
      assert.equal(result.problems, [], `seed ${seed}, faults ${faults}, regroup ${regroup}`);
      opened += result.opened;
      done += result.done;
    }
    assert.ok(done > 40 * (faults ? 20 : 30), `${done} changes`);
    assert.ok(opened > 40 * (faults || regroup ? 1 : 5), `${opened} openings`);
  }
});
test('the checker finds a read that is stale, ahead, or of a state that never existed', () => {
  const operation = (id: string, from: number, to: number, returned: string[], reads = false): Operation => ({
    ...{ id, key: 'k', from, to, returned, ok: true },
    ...(reads ? { reads } : {}),
  });
  const [appendA, appendB] = [operation('a', 0, 1, []), operation('b', 4, 5, ['a'])];
  const finalLists = new Map([['k', ['a', 'b']]]);
  assert.equal(
    findViolations(
      [appendA, appendB, operation('r', 2, 3, ['a'], true), operation('r', 2, 6, ['a', 'b'], true)],
      finalLists,
    ),
    [],
  );
  assert.is(findViolations([appendA, appendB, operation('r', 2, 3, [], true)], finalLists).length, 1);
  assert.is(findViolations([appendA, appendB, operation('r', 2, 3, ['a', 'b'], true)], finalLists).length, 1);
  assert.ok(findViolations([appendA, appendB, operation('r', 2, 3, ['b'], true)], finalLists).length > 0);
  assert.is(
    findViolations(
      [appendA, appendB, operation('r', 4, 5, ['a', 'b'], true), operation('r', 6, 7, ['a'], true)],
      finalLists,
    ).length,
    2,
  );
});

/** Runs a scenario in simulated time on up to four stores, addressed by number, with one register client. */
const runScenario = async (
  seed: number,
  scenario: (context: {
    simulation: ReturnType<typeof world.open>;
    client: Registers;
    boot: (i: number) => Promise<Store>;
    hosts: Host[];
    setGroup: (version: number, ids: number[]) => void;
    runSweep: (afterGroupChange: boolean) => Promise<SweepResult>;
    wait: (delay: number) => Promise<void>;
  }) => Promise<void>,
): Promise<void> => {
  invariant.clear();
  const simulation = world.open({
    seed,
    zoneDelay: duration.ms(1),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
  });
  const addressOf = (i: number): string => `127.0.2.${i}:7101`;
  const hosts = [1, 2, 3, 4].map((i) => simulation.host(`127.0.2.${i}`, 'z1'));
  const boot = async (i: number): Promise<Store> => {
    const runtime = simulation.runtime(hosts[i - 1]!);
    const endpoint = await rpc.open(runtime, addressOf(i));
    return store.open({ runtime, rpc: endpoint, durable: await durableStore.open(runtime.disk), freshId: `k${i}` });
  };
  let group: Group = { version: 0, members: [] };
  const runtime = simulation.runtime(simulation.host('127.0.1.1', 'z1'));
  let outcome = '';
  const run = async (): Promise<void> => {
    const endpoint = await rpc.open(runtime, '127.0.1.1:7101');
    const client = registers.open({ runtime, rpc: endpoint, clientId: 'e', group: () => group });
    await scenario({
      simulation,
      client,
      boot,
      hosts,
      setGroup: (version, ids) => {
        group = { version, members: ids.map((i) => ({ id: `k${i}`, at: addressOf(i) })) };
      },
      runSweep: (afterGroupChange) =>
        sweep.pass({
          clock: runtime.clock,
          rpc: endpoint,
          registers: client,
          group,
          afterGroupChange: afterGroupChange,
          pause: 0,
          shouldContinue: () => true,
        }),
      wait: (delay) =>
        new Promise((resolve) => {
          simulation.scheduleAt(simulation.now() + delay, resolve);
        }),
    });
    outcome = 'yes';
  };
  run().catch((error) => {
    outcome = String(error);
  });
  await simulation.run(duration.s(5000));
  assert.is(outcome, 'yes');
  assert.equal(invariant.breaches(), []);
};

test('a sweep copies registers that a minority of the new group holds to a majority', () =>
  runScenario(8, async ({ simulation, client, boot, hosts, setGroup, runSweep }) => {
    // Store 3 is down during these writes: only stores 1 and 2 hold them.
    for (const i of [1, 2, 4]) await boot(i);
    setGroup(1, [1, 2, 3]);
    for (let i = 0; i < 300; i++)
      await client.change(`k${i}`, (_value, clocks) => ({
        stored: { value: i, expiresAt: clocks.max + duration.s(9999) },
        result: 0,
      }));
    await boot(3);
    setGroup(2, [1, 2, 3, 4]);
    const firstPass = await runSweep(true);
    setGroup(3, [2, 3, 4]);
    const secondPass = await runSweep(true);
    // Registers that the first pass copied to all stores need no second pass.
    assert.ok(
      firstPass.complete && secondPass.complete && firstPass.seen === 300 && secondPass.seen === 0,
      JSON.stringify([firstPass, secondPass]),
    );
    simulation.kill(hosts[0]!, 'disk');
    simulation.kill(hosts[1]!, 'disk');
    for (let i = 0; i < 300; i++) assert.is(await client.read(`k${i}`, duration.s(2)), i);
  }));

test('a sweep lists only ranges that differ, repairs them, and then finds nothing', () =>
  runScenario(9, async ({ simulation, client, boot, hosts, setGroup, runSweep, wait }) => {
    for (const i of [1, 2, 3]) await boot(i);
    setGroup(1, [1, 2, 3]);
    const write = (key: string): Promise<number> =>
      client.change(key, (_value, clocks) => ({
        stored: { value: key, expiresAt: clocks.max + duration.s(99_999) },
        result: 0,
      }));
    for (let i = 0; i < 200; i++) await write(`k${i}`);
    await wait(duration.s(1));
    assert.equal(await runSweep(false).then((result) => [result.complete, result.ranges, result.seen]), [true, 0, 0]);
    simulation.kill(hosts[2]!, 'power');
    for (let i = 0; i < 3; i++) await write(`late${i}`);
    simulation.start(hosts[2]!);
    await boot(3);
    const result = await runSweep(false);
    assert.ok(
      result.complete && result.ranges >= 1 && result.ranges <= 3 && result.repaired === 3,
      JSON.stringify(result),
    );
    await wait(duration.s(1));
    assert.is((await runSweep(false)).ranges, 0);
    simulation.kill(hosts[0]!, 'disk');
    for (let i = 0; i < 3; i++) assert.is(await client.read(`late${i}`, duration.s(2)), `late${i}`);
  }));

test('an expired register is absent, is purged only when every store holds the same, and does not come back', () =>
  runScenario(10, async ({ simulation, client, boot, hosts, setGroup, runSweep, wait }) => {
    for (const i of [1, 2, 3]) await boot(i);
    setGroup(1, [1, 2, 3]);
    const write = (value: string, retention: number): Promise<number> =>
      client.change('k', (_value, clocks) => ({
        stored: { value, expiresAt: clocks.max + retention },
        result: 0,
      }));
    await write('old', duration.s(3000));
    await wait(duration.s(1));
    // Store 3 misses the last value, which expires before the older one.
    simulation.kill(hosts[2]!, 'power');
    await write('new', duration.s(10));
    await wait(duration.s(700));
    assert.is(await client.read('k'), undefined);
    assert.is((await runSweep(false)).purged, 0, 'purged while a store with an older copy was down');
    simulation.start(hosts[2]!);
    await boot(3);
    assert.is(await client.read('k', duration.s(2)), undefined);
    await runSweep(false);
    await wait(duration.s(700));
    assert.is((await runSweep(false)).purged, 1);
    assert.is(await client.read('k', duration.s(2)), undefined);
    for (const i of [1, 2, 3]) {
      simulation.kill(hosts[i - 1]!, 'power');
      simulation.start(hosts[i - 1]!);
      assert.is((await boot(i)).size(), 0, 'a copy is left on disk');
    }
  }));
test.run();
