// What callers meet while a member's disk hangs, is slow or full (§3.3, §6.1).
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
const group = async (seed: number, diskTime: Microseconds): Promise<Group> => {
  invariant.clear();
  const w = world.open({
    seed,
    zoneDelay: duration.ms(1.5),
    clientDelay: duration.ms(1),
    clientIp: '127.0.9.9',
    diskTime,
  });
  const founders = [1, 2, 3].map((i) => `127.0.3.${i}:7101`);
  const members: Member[] = founders.map((at, i) => ({ at, host: w.host(`127.0.3.${i + 1}`, `z${i + 1}`) }));
  const boot = async (member: Member): Promise<void> => {
    const runtime = w.runtime(member.host);
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
  await w.run(duration.s(4));
  return { world: w, members, leader: () => members.find((m) => m.consensus?.role() === 'leader') };
};
type Calls = {
  acknowledged: { at: Microseconds; id: string }[];
  longestGap: (from: Microseconds, to: Microseconds) => Microseconds;
};
/** A caller that asks every 20 ms whoever leads, as it would by asking one member after the other. */
const calls = (g: Group, until: Microseconds): Calls => {
  const acknowledged: { at: Microseconds; id: string }[] = [];
  let n = 0;
  const ask = (): void => {
    const id = `change ${n++}`;
    // A member that gave its lead up may still be named for a moment: callers ask all.
    for (const member of g.members)
      if (member.consensus?.role() === 'leader')
        member.consensus
          .propose((s) => ({ state: { list: [...s.list.slice(-20), id] }, result: id }))
          .then(
            () => acknowledged.push({ at: g.world.now(), id }),
            () => undefined,
          );
    if (g.world.now() < until) g.world.scheduleAt(g.world.now() + duration.ms(20), ask);
  };
  ask();
  return {
    acknowledged,
    longestGap: (from, to) => {
      const times = [from, ...acknowledged.map((a) => a.at).filter((t) => t > from && t < to), to];
      return Math.max(...times.slice(1).map((t, i) => t - times[i]!));
    },
  };
};

test('a leader whose disk hangs for 5 s hands over: callers wait for about a second at most', async () => {
  let worst = 0;
  for (let seed = 1; seed <= 20; seed++) {
    const g = await group(seed, duration.ms(2));
    const from = g.world.now();
    const made = calls(g, from + duration.s(8));
    const stalled = g.leader()!;
    g.world.scheduleAt(from + duration.s(1), () => (stalled.host.disk.hangsUntil = from + duration.s(6)));
    await g.world.run(from + duration.s(8));
    const gap = made.longestGap(from, from + duration.s(8));
    worst = Math.max(worst, gap);
    assert.ok(gap <= duration.s(1), `seed ${seed}: nothing was acknowledged for ${gap / 1000} ms`);
    await g.world.run(from + duration.s(10));
    assert.equal(invariant.breaches(), []);
    // The one that was stalled has what the others have.
    const newest = g.members.map((m) => m.consensus!.committed()!.index);
    assert.is(Math.max(...newest) - Math.min(...newest), 0, newest.join());
  }
  process.stdout.write(`longest time without an acknowledgement: ${worst / 1000} ms\n`);
});
test('a follower whose disk hangs is not noticed by callers', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const g = await group(seed, duration.ms(2));
    const from = g.world.now();
    const made = calls(g, from + duration.s(8));
    const stalled = g.members.find((m) => m !== g.leader())!;
    g.world.scheduleAt(from + duration.s(1), () => (stalled.host.disk.hangsUntil = from + duration.s(6)));
    await g.world.run(from + duration.s(8));
    assert.ok(made.longestGap(from, from + duration.s(8)) < duration.ms(150), `seed ${seed}`);
  }
});
test('disks that are all thirty times slower go on acknowledging', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const g = await group(seed, duration.ms(seed % 2 ? 12 : 2));
    for (const m of g.members) m.host.disk.syncTimeFactor = 30;
    const from = g.world.now();
    const made = calls(g, from + duration.s(30));
    await g.world.run(from + duration.s(30));
    const late = made.acknowledged.filter((a) => a.at > from + duration.s(10));
    assert.ok(late.length > 10, `seed ${seed}: ${late.length} acknowledged from the tenth second on`);
    assert.equal(invariant.breaches(), []);
  }
});
test('a leader whose disk is full hands over, and takes part again when there is room', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const g = await group(seed, duration.ms(2));
    const from = g.world.now();
    const made = calls(g, from + duration.s(8));
    const full = g.leader()!;
    g.world.scheduleAt(from + duration.s(1), () => (full.host.disk.full = true));
    g.world.scheduleAt(from + duration.s(5), () => (full.host.disk.full = false));
    await g.world.run(from + duration.s(10));
    const gap = made.longestGap(from, from + duration.s(8));
    assert.ok(gap < duration.s(2), `seed ${seed}: nothing was acknowledged for ${gap / 1000} ms`);
    const newest = g.members.map((m) => m.consensus!.committed()!.index);
    assert.is(Math.max(...newest) - Math.min(...newest), 0, newest.join());
  }
});
/** What the folder of a member says after its machine has lost power and it was started again. */
const stateAfter = async (files: Map<string, string>): Promise<string[]> => {
  const w = world.open({ seed: 1, zoneDelay: 1, clientDelay: 1, clientIp: 'x' });
  const host = w.host('127.0.0.1', 'z1');
  for (const [name, text] of files) host.files.set(name, text);
  const got: { list?: string[] } = {};
  void durableStore.open(w.runtime(host).disk).then(async (durable) => {
    const kept = await durable.read<{ state: List }>('state');
    got.list = kept?.value.state.list ?? [];
  });
  await w.run(duration.s(1));
  return got.list!;
};
test('what was acknowledged is on a majority in every state that a loss of power of all may leave', async () => {
  let looked = 0;
  for (let seed = 1; seed <= 3; seed++) {
    const g = await group(seed, duration.ms(2));
    const from = g.world.now();
    const made = calls(g, from + duration.s(1));
    for (let i = 0; i < 60; i++) {
      await g.world.run(g.world.now() + duration.ms(5));
      const last = made.acknowledged.at(-1)?.id;
      if (last === undefined) continue;
      const holders: boolean[] = [];
      for (const m of g.members) {
        const all = [...simulatedDisk.afterPowerLoss(m.host)];
        looked += all.length;
        const held = await Promise.all(all.map((files) => stateAfter(files)));
        holders.push(held.every((list) => list.includes(last)));
      }
      assert.ok(holders.filter(Boolean).length >= 2, `seed ${seed}: ${last} is on ${holders.filter(Boolean).length}`);
    }
  }
  assert.ok(looked > 300, `only ${looked} states`);
});
test('no proposal is said to be refused and in force all the same', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const g = await group(seed, duration.ms(2));
    const refused = new Set<string>();
    const from = g.world.now();
    const leader = g.leader()!;
    for (let i = 0; i < 100; i++)
      g.world.scheduleAt(from + i * duration.ms(30), () => {
        const id = `x${i}`;
        leader
          .consensus!.propose((s) => ({ state: { list: [...s.list, id] }, result: id }))
          .catch((e) => {
            if (consensusErrors.is(e, 'not-leader')) refused.add(id);
          });
      });
    g.world.scheduleAt(from + duration.s(0.5), () => (leader.host.disk.hangsUntil = from + duration.s(2)));
    await g.world.run(from + duration.s(8));
    for (const m of g.members)
      for (const id of m.consensus!.committed()!.state.list) assert.not.ok(refused.has(id), `seed ${seed}: ${id}`);
  }
});
test.run();
