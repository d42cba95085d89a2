// Consensus groups in simulated worlds with power loss, freezes and partitions: one leader, one order, and no loss of
// acknowledged changes.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fault, invariant, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { consensus, consensusErrors, type Consensus, type Snapshot } from '@thornsail/consensus';
import { world, type Host, type World } from '@thornsail/simulation';

type List = { list: string[] };
type Coordinator = { at: string; host: Host; consensus: Consensus<List> | null; delivered: Snapshot<List>[] };

const runHistory = async (
  seed: number,
  faults: 'none' | 'any',
): Promise<{
  acknowledged: string[];
  refused: Set<string>;
  coordinators: Coordinator[];
  statesByIndex: Map<number, string>;
  problems: string[];
  now: number;
}> => {
  invariant.clear();
  const simulation = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
  });
  const addresses = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const statesByIndex = new Map<number, string>();
  const problems: string[] = [];
  const coordinators: Coordinator[] = addresses.map((address, i) => ({
    at: address,
    host: simulation.host(`127.0.3.${i + 1}`, `z${i + 1}`),
    consensus: null,
    delivered: [],
  }));
  const boot = async (coordinator: Coordinator): Promise<void> => {
    const runtime = simulation.runtime(coordinator.host);
    const incarnation = coordinator.host.incarnation;
    let lastIndex = -1;
    const opened = await consensus.open<List>({
      runtime,
      rpc: await rpc.open(runtime, coordinator.at),
      durable: await durableStore.open(runtime.disk),
      founders: addresses,
      initial: { list: [] },
      onCommit: (snapshot) => {
        // One order for all: an index stands for one state, whichever member delivers it, and never goes back.
        const text = `${snapshot.term}:${snapshot.state.list.join()}`;
        if ((statesByIndex.get(snapshot.index) ?? text) !== text)
          problems.push(`index ${snapshot.index} was delivered as two states`);
        statesByIndex.set(snapshot.index, text);
        if (snapshot.index <= lastIndex)
          problems.push(`${coordinator.at} delivered ${snapshot.index} after ${lastIndex}`);
        lastIndex = snapshot.index;
        coordinator.delivered.push(snapshot);
      },
    });
    if (coordinator.host.incarnation === incarnation) coordinator.consensus = opened;
  };
  for (const coordinator of coordinators) void boot(coordinator);
  await simulation.run(duration.s(3));
  const random = simulation.rand;
  const acknowledged: string[] = [];
  const refused = new Set<string>();
  for (let i = 0; i < 80; i++)
    simulation.scheduleAt(duration.s(3) + random.int(duration.s(12)), () => {
      const coordinator = coordinators[random.int(3)]!;
      if (!coordinator.host.alive || !coordinator.consensus) return;
      const id = `x${i}`;
      coordinator.consensus
        .propose((state) => ({ state: { list: [...state.list, id] }, result: id }))
        .then(
          () => acknowledged.push(id),
          (error) => {
            if (consensusErrors.is(error, 'not-leader')) refused.add(id);
          },
        );
    });
  if (faults === 'any' && seed % 2 === 0) {
    simulation.scheduleAt(duration.s(3), () => simulation.setFrameFaults(0.05, duration.ms(10)));
    simulation.scheduleAt(duration.s(16), () => simulation.setFrameFaults(0, 0));
  }
  if (faults === 'any')
    for (let i = 0; i < 6; i++)
      simulation.scheduleAt(duration.s(3) + random.int(duration.s(11)), () => {
        const coordinator = coordinators[random.int(3)]!;
        const faultKind = random.int(3);
        if (faultKind === 0 && coordinator.host.alive) {
          simulation.kill(coordinator.host, 'power');
          coordinator.consensus = null;
          simulation.scheduleAt(simulation.now() + random.int(duration.s(2)), () => {
            simulation.start(coordinator.host);
            void boot(coordinator);
          });
        } else if (faultKind === 1 && coordinator.host.alive && !coordinator.host.frozen) {
          simulation.freeze(coordinator.host);
          simulation.scheduleAt(simulation.now() + random.int(duration.s(3)), () => simulation.thaw(coordinator.host));
        } else {
          const heal = simulation.partition(
            [coordinator.host],
            coordinators.filter((other) => other !== coordinator).map((other) => other.host),
          );
          simulation.scheduleAt(simulation.now() + random.int(duration.s(3)), heal);
        }
      });
  await simulation.run(duration.s(24));
  return {
    acknowledged,
    refused,
    coordinators,
    statesByIndex,
    problems: [...problems, ...invariant.breaches()],
    now: simulation.now(),
  };
};
const finalList = (coordinators: Coordinator[]): string[] =>
  coordinators
    .map((coordinator) => coordinator.consensus?.committed())
    .filter((snapshot): snapshot is Snapshot<List> => snapshot !== undefined)
    .sort((a, b) => b.index - a.index)[0]!.state.list;

test('coordinators form a group, one leads, all deliver one order', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const result = await runHistory(seed, 'none');
    assert.equal(result.problems, [], `seed ${seed}`);
    assert.is(result.coordinators.filter((coordinator) => coordinator.consensus?.role() === 'leader').length, 1);
    assert.equal([...finalList(result.coordinators)].sort(), [...result.acknowledged].sort());
    assert.is(new Set(result.coordinators.map((coordinator) => coordinator.consensus!.committed()!.index)).size, 1);
  }
});
test('power loss, freezes, partitions: acknowledged changes stay, refused ones never appear, one order', async () => {
  let acknowledgedCount = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const result = await runHistory(seed, 'any');
    assert.equal(result.problems, [], `seed ${seed}`);
    const list = finalList(result.coordinators);
    for (const id of result.acknowledged) assert.ok(list.includes(id), `seed ${seed}: acknowledged ${id} is lost`);
    for (const id of result.refused)
      assert.not.ok(list.includes(id), `seed ${seed}: ${id} was refused, but took effect`);
    assert.is(new Set(list).size, list.length);
    assert.is(
      result.coordinators.filter((coordinator) => coordinator.consensus?.role() === 'leader').length,
      1,
      `seed ${seed}: not exactly one leader at the end`,
    );
    acknowledgedCount += result.acknowledged.length;
  }
  assert.ok(acknowledgedCount > 200, `only ${acknowledgedCount} acknowledged`);
});
test('a leader lost while it adds a member does not leave the coordinators without a leader for ever', async () => {
  for (let seed = 1; seed <= 6; seed++) {
    invariant.clear();
    const simulation = world.open({
      seed,
      zoneDelay: duration.ms(1.5),
      clientDelay: duration.ms(1),
      clientIp: '127.0.9.9',
    });
    const addresses = [1, 2, 3, 4].map((i) => `127.0.3.${i}:7101`);
    const hosts = addresses.map((_, i) => simulation.host(`127.0.3.${i + 1}`, 'z1'));
    const members: Consensus<List>[] = [];
    const boot = async (i: number, founders: string[]): Promise<void> => {
      const runtime = simulation.runtime(hosts[i]!);
      const dependencies = {
        runtime,
        rpc: await rpc.open(runtime, addresses[i]!),
        durable: await durableStore.open(runtime.disk),
      };
      members[i] = await consensus.open<List>({
        ...dependencies,
        founders,
        initial: { list: [] },
        onCommit: () => undefined,
      });
    };
    for (const i of [0, 1, 2]) void boot(i, addresses.slice(0, 3));
    await simulation.run(duration.s(3));
    const leaderIndex = (): number => members.findIndex((member, i) => hosts[i]!.alive && member.role() === 'leader');
    // One member loses its disk; an empty replacement starts at a new address.
    const lostIndex = (leaderIndex() + 1) % 3;
    simulation.kill(hosts[lostIndex]!, 'disk');
    void boot(3, []);
    await simulation.run(duration.s(4));
    const leader = leaderIndex();
    const otherFollower = [0, 1, 2].find((i) => i !== leader && i !== lostIndex)!;
    // The change that adds the replacement reaches only the leader itself.
    const heal = simulation.partition([hosts[leader]!], [hosts[otherFollower]!, hosts[3]!]);
    const newMember = { id: members[3]!.id, at: addresses[3]! };
    members[leader]!.propose((state, current) => ({ state, members: [...current, newMember], result: 0 })).catch(
      () => undefined,
    );
    await simulation.run(duration.s(7));
    heal();
    await simulation.run(duration.s(14));
    let committedIndex = 0;
    const nextLeader = leaderIndex();
    assert.ok(nextLeader >= 0, `seed ${seed}: no leader after ten seconds`);
    void members[nextLeader]!.propose((state) => ({ state: { list: [...state.list, 'x'] }, result: 0 })).then(
      (result) => (committedIndex = result.index),
    );
    await simulation.run(duration.s(16));
    assert.ok(committedIndex > 0, `seed ${seed}: no change can be committed`);
    assert.equal(invariant.breaches(), []);
  }
});
type Group = {
  simulation: World;
  hosts: Host[];
  members: Consensus<List>[];
  boot: (i: number) => Promise<void>;
  leaderIndex: () => number;
};
/** Starts three coordinators and waits until they have formed a group. */
const openGroup = async (seed: number): Promise<Group> => {
  invariant.clear();
  const simulation = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
  });
  const addresses = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const hosts = addresses.map((_, i) => simulation.host(`127.0.3.${i + 1}`, `z${i + 1}`));
  const members: Consensus<List>[] = [];
  const boot = async (i: number): Promise<void> => {
    const runtime = simulation.runtime(hosts[i]!);
    const dependencies = {
      runtime,
      rpc: await rpc.open(runtime, addresses[i]!),
      durable: await durableStore.open(runtime.disk),
    };
    members[i] = await consensus.open<List>({
      ...dependencies,
      founders: addresses,
      initial: { list: [] },
      onCommit: () => undefined,
    });
  };
  for (const i of [0, 1, 2]) void boot(i);
  await simulation.run(duration.s(3));
  return {
    simulation,
    hosts,
    members,
    boot,
    leaderIndex: () => members.findIndex((member, i) => hosts[i]!.alive && member.role() === 'leader'),
  };
};
/** The state that the leader reads, confirmed by a majority. */
const readConfirmed = async (group: Group): Promise<Snapshot<List>> => {
  let read: Snapshot<List> | undefined;
  void group.members[group.leaderIndex()]!.readLinearizable().then((version) => (read = version));
  await group.simulation.run(group.simulation.now() + duration.ms(400));
  assert.ok(read, 'the leader confirmed no state');
  return read;
};
test('coordinators that have all restarted have exactly one leader within 0.35 s', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const group = await openGroup(seed);
    const { simulation } = group;
    const termBefore = group.members[0]!.committed()!.term;
    const isPowerLoss = seed % 2 === 0;
    for (const host of group.hosts) simulation.kill(host, isPowerLoss ? 'power' : 'process');
    await simulation.run(duration.s(4));
    // Processes of a fleet do not start at the same moment.
    const startTimes = group.hosts.map(() => duration.s(4) + simulation.rand.int(duration.ms(50)));
    for (const [i, host] of group.hosts.entries())
      simulation.scheduleAt(startTimes[i]!, () => {
        simulation.start(host);
        void group.boot(i);
      });
    await simulation.run(Math.max(...startTimes) + duration.ms(350));
    assert.is(
      group.members.filter((member) => member.role() === 'leader').length,
      1,
      `seed ${seed}: one leader within 0.35 s`,
    );
    assert.is(
      group.members[group.leaderIndex()]!.committed()?.term,
      termBefore + 1,
      `seed ${seed}: the first attempt succeeded`,
    );
    await simulation.run(duration.s(8));
    assert.is(
      group.members[group.leaderIndex()]!.committed()!.term,
      termBefore + 1,
      `seed ${seed}: the term did not change`,
    );
    assert.equal(invariant.breaches(), []);
  }
});
test('two coordinators that restart without the third have a leader within a second', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const group = await openGroup(seed);
    const { simulation } = group;
    for (const host of group.hosts) simulation.kill(host, 'power');
    const restarted = [0, 1, 2].filter((i) => i !== seed % 3);
    await simulation.run(duration.s(4));
    for (const i of restarted) {
      simulation.start(group.hosts[i]!);
      void group.boot(i);
    }
    await simulation.run(duration.s(5));
    assert.ok(group.leaderIndex() >= 0, `seed ${seed}: no leader after a second`);
    assert.equal(invariant.breaches(), []);
  }
});
test('coordinators that restart do not replace a live leader', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const group = await openGroup(seed);
    const { simulation } = group;
    const leader = group.leaderIndex();
    const termBefore = group.members[leader]!.committed()!.term;
    const followers = [0, 1, 2].filter((i) => i !== leader);
    // One follower after the other, then both at the same moment.
    for (const restarting of [[followers[0]!], [followers[1]!], followers]) {
      for (const i of restarting) simulation.kill(group.hosts[i]!, 'process');
      await simulation.run(simulation.now() + duration.ms(300));
      for (const i of restarting) {
        simulation.start(group.hosts[i]!);
        void group.boot(i);
      }
      await simulation.run(simulation.now() + duration.s(2));
      assert.is(group.leaderIndex(), leader, `seed ${seed}`);
      assert.is(group.members[leader]!.committed()!.term, termBefore, `seed ${seed}: the term did not change`);
    }
    assert.equal(invariant.breaches(), []);
  }
});
test('a leader whose disk stalls for seconds is replaced within two seconds and confirms nothing later', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = await openGroup(seed);
    const { simulation } = group;
    const stalledIndex = group.leaderIndex();
    // A write takes 2.4 to 12 s.
    group.hosts[stalledIndex]!.disk.syncTimeFactor = 12_000;
    const outcomes: string[] = [];
    const propose = (memberIndex: number, text: string): void =>
      void group.members[memberIndex]!.propose((state) => ({ state: { list: [...state.list, text] }, result: 0 })).then(
        () => outcomes.push(`${text} confirmed`),
        (error) => outcomes.push(`${text} ${fault.info(error).code}`),
      );
    propose(stalledIndex, 'stalled');
    await simulation.run(simulation.now() + duration.s(2));
    assert.equal(outcomes, ['stalled outcome-unknown'], `seed ${seed}: the proposer has its answer`);
    const nextLeader = group.members.findIndex((member, i) => i !== stalledIndex && member.role() === 'leader');
    assert.ok(nextLeader >= 0, `seed ${seed}: no other leader within two seconds`);
    propose(nextLeader, 'next');
    await simulation.run(simulation.now() + duration.s(3));
    group.hosts[stalledIndex]!.disk.syncTimeFactor = 1;
    await simulation.run(simulation.now() + duration.s(30));
    assert.equal(outcomes, ['stalled outcome-unknown', 'next confirmed'], `seed ${seed}`);
    assert.equal(
      group.members.map((member) => member.committed()?.state.list.includes('next')),
      [true, true, true],
      `seed ${seed}`,
    );
    assert.equal(invariant.breaches(), []);
  }
});
test('coordinators that all restart five times in a row keep confirmed changes', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = await openGroup(seed);
    const { simulation } = group;
    const confirmed: string[] = [];
    for (let restart = 1; restart <= 5; restart++) {
      const text = `restart${restart}`;
      group.members[group.leaderIndex()]!.propose((state) => ({
        state: { list: [...state.list, text] },
        result: 0,
      })).then(
        () => confirmed.push(text),
        () => undefined,
      );
      await simulation.run(simulation.now() + duration.ms(20) + simulation.rand.int(duration.ms(200)));
      for (const host of group.hosts) simulation.kill(host, simulation.rand.int(2) ? 'power' : 'process');
      await simulation.run(simulation.now() + duration.ms(100));
      for (const [i, host] of group.hosts.entries())
        simulation.scheduleAt(simulation.now() + simulation.rand.int(duration.ms(300)), () => {
          simulation.start(host);
          void group.boot(i);
        });
      await simulation.run(simulation.now() + duration.s(2));
      assert.ok(group.leaderIndex() >= 0, `seed ${seed}: no leader two seconds after start ${restart}`);
      const { state } = await readConfirmed(group);
      for (const change of confirmed)
        assert.ok(state.list.includes(change), `seed ${seed}: ${change} is lost after restart ${restart}`);
    }
    assert.ok(confirmed.length > 2, `seed ${seed}: ${confirmed.length} confirmed`);
    assert.equal(invariant.breaches(), []);
  }
});
test.run();
