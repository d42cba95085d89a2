// What callers of a consensus group observe while the disk of a member hangs, is slow or is full (§3.3, §6.1).
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant, duration, type Microseconds } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { rpc } from '@thornsail/rpc';
import { consensus, consensusErrors, type Consensus } from '@thornsail/consensus';
import { simulatedDisk, world, type Host, type World } from '@thornsail/simulation';

type List = { list: string[] };
type Member = { at: string; host: Host; consensus?: Consensus<List> };
type Group = { world: World; members: Member[]; leader: () => Member | undefined };
const openGroup = async (seed: number, diskTime: Microseconds): Promise<Group> => {
  invariant.clear();
  const simulation = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime,
  });
  const founders = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const members: Member[] = founders.map((address, i) => ({
    at: address,
    host: simulation.host(`127.0.3.${i + 1}`, `z${i + 1}`),
  }));
  const boot = async (member: Member): Promise<void> => {
    const runtime = simulation.runtime(member.host);
    member.consensus = await consensus.open<List>({
      runtime,
      rpc: await rpc.open(runtime, member.at),
      durable: await durableStore.open(runtime.disk),
      founders,
      initial: { list: [] },
      onCommit: () => undefined,
    });
  };
  for (const member of members) void boot(member);
  await simulation.run(duration.s(4));
  return { world: simulation, members, leader: () => members.find((member) => member.consensus?.role() === 'leader') };
};
type Calls = {
  acknowledged: { at: Microseconds; id: string }[];
  longestGap: (from: Microseconds, to: Microseconds) => Microseconds;
};
/** Proposes a change to the leader every 20 ms, as a caller does that tries one member after the other. */
const startCalls = (group: Group, until: Microseconds): Calls => {
  const acknowledged: { at: Microseconds; id: string }[] = [];
  let callCount = 0;
  const propose = (): void => {
    const id = `change ${callCount++}`;
    // A member that resigned may still report itself as leader for a moment, so all such members are tried.
    for (const member of group.members)
      if (member.consensus?.role() === 'leader')
        member.consensus
          .propose((state) => ({ state: { list: [...state.list.slice(-20), id] }, result: id }))
          .then(
            () => acknowledged.push({ at: group.world.now(), id }),
            () => undefined,
          );
    if (group.world.now() < until) group.world.scheduleAt(group.world.now() + duration.ms(20), propose);
  };
  propose();
  return {
    acknowledged,
    longestGap: (from, to) => {
      const times = [
        from,
        ...acknowledged.map((acknowledgement) => acknowledgement.at).filter((time) => time > from && time < to),
        to,
      ];
      return Math.max(...times.slice(1).map((time, i) => time - times[i]!));
    },
  };
};

test('a leader whose disk hangs for 5 s hands over leadership: callers wait for about a second at most', async () => {
  let worstGap = 0;
  for (let seed = 1; seed <= 20; seed++) {
    const group = await openGroup(seed, duration.ms(2));
    const from = group.world.now();
    const calls = startCalls(group, from + duration.s(8));
    const stalledMember = group.leader()!;
    group.world.scheduleAt(from + duration.s(1), () => (stalledMember.host.disk.hangsUntil = from + duration.s(6)));
    await group.world.run(from + duration.s(8));
    const gap = calls.longestGap(from, from + duration.s(8));
    worstGap = Math.max(worstGap, gap);
    assert.ok(gap <= duration.s(1), `seed ${seed}: nothing was acknowledged for ${gap / 1000} ms`);
    await group.world.run(from + duration.s(10));
    assert.equal(invariant.breaches(), []);
    // The stalled member has caught up with the others.
    const committedIndexes = group.members.map((member) => member.consensus!.committed()!.index);
    assert.is(Math.max(...committedIndexes) - Math.min(...committedIndexes), 0, committedIndexes.join());
  }
  process.stdout.write(`longest time without an acknowledgement: ${worstGap / 1000} ms\n`);
});
test('callers do not notice a follower whose disk hangs', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = await openGroup(seed, duration.ms(2));
    const from = group.world.now();
    const calls = startCalls(group, from + duration.s(8));
    const stalledMember = group.members.find((member) => member !== group.leader())!;
    group.world.scheduleAt(from + duration.s(1), () => (stalledMember.host.disk.hangsUntil = from + duration.s(6)));
    await group.world.run(from + duration.s(8));
    assert.ok(calls.longestGap(from, from + duration.s(8)) < duration.ms(150), `seed ${seed}`);
  }
});
test('a group whose disks are all thirty times slower keeps acknowledging changes', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const group = await openGroup(seed, duration.ms(seed % 2 ? 12 : 2));
    for (const member of group.members) member.host.disk.syncTimeFactor = 30;
    const from = group.world.now();
    const calls = startCalls(group, from + duration.s(30));
    await group.world.run(from + duration.s(30));
    const lateAcknowledgements = calls.acknowledged.filter(
      (acknowledgement) => acknowledgement.at > from + duration.s(10),
    );
    assert.ok(
      lateAcknowledgements.length > 10,
      `seed ${seed}: ${lateAcknowledgements.length} acknowledged from the tenth second on`,
    );
    assert.equal(invariant.breaches(), []);
  }
});
test('a leader whose disk is full hands over leadership, and catches up again when there is space', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = await openGroup(seed, duration.ms(2));
    const from = group.world.now();
    const calls = startCalls(group, from + duration.s(8));
    const fullMember = group.leader()!;
    group.world.scheduleAt(from + duration.s(1), () => (fullMember.host.disk.full = true));
    group.world.scheduleAt(from + duration.s(5), () => (fullMember.host.disk.full = false));
    await group.world.run(from + duration.s(10));
    const gap = calls.longestGap(from, from + duration.s(8));
    assert.ok(gap < duration.s(2), `seed ${seed}: nothing was acknowledged for ${gap / 1000} ms`);
    const committedIndexes = group.members.map((member) => member.consensus!.committed()!.index);
    assert.is(Math.max(...committedIndexes) - Math.min(...committedIndexes), 0, committedIndexes.join());
  }
});
/** The list that a member reads from these files when it starts again after a loss of power. */
const stateAfter = async (files: Map<string, string>): Promise<string[]> => {
  const simulation = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x' });
  const host = simulation.host('127.0.0.1', 'z1');
  for (const [name, text] of files) host.files.set(name, text);
  const result: { list?: string[] } = {};
  void durableStore.open(simulation.runtime(host).disk).then(async (durable) => {
    const stored = await durable.read<{ state: List }>('state');
    result.list = stored?.value.state.list ?? [];
  });
  await simulation.run(duration.s(1));
  return result.list!;
};
test('an acknowledged change is on a majority in every disk state that a total power loss may leave', async () => {
  let stateCount = 0;
  for (let seed = 1; seed <= 3; seed++) {
    const group = await openGroup(seed, duration.ms(2));
    const from = group.world.now();
    const calls = startCalls(group, from + duration.s(1));
    for (let i = 0; i < 60; i++) {
      await group.world.run(group.world.now() + duration.ms(5));
      const lastId = calls.acknowledged.at(-1)?.id;
      if (lastId === undefined) continue;
      const isOnMember: boolean[] = [];
      for (const member of group.members) {
        const states = [...simulatedDisk.afterPowerLoss(member.host)];
        stateCount += states.length;
        const lists = await Promise.all(states.map((files) => stateAfter(files)));
        isOnMember.push(lists.every((list) => list.includes(lastId)));
      }
      assert.ok(
        isOnMember.filter(Boolean).length >= 2,
        `seed ${seed}: ${lastId} is on ${isOnMember.filter(Boolean).length}`,
      );
    }
  }
  assert.ok(stateCount > 300, `only ${stateCount} disk states were checked`);
});
test('no proposal that was refused takes effect', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const group = await openGroup(seed, duration.ms(2));
    const refused = new Set<string>();
    const from = group.world.now();
    const leader = group.leader()!;
    for (let i = 0; i < 100; i++)
      group.world.scheduleAt(from + i * duration.ms(30), () => {
        const id = `x${i}`;
        leader
          .consensus!.propose((state) => ({ state: { list: [...state.list, id] }, result: id }))
          .catch((error) => {
            if (consensusErrors.is(error, 'not-leader')) refused.add(id);
          });
      });
    group.world.scheduleAt(from + duration.s(0.5), () => (leader.host.disk.hangsUntil = from + duration.s(2)));
    await group.world.run(from + duration.s(8));
    for (const member of group.members)
      for (const id of member.consensus!.committed()!.state.list) assert.not.ok(refused.has(id), `seed ${seed}: ${id}`);
  }
});
test.run();
