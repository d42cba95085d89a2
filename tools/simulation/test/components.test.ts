// Durable files, watchers and relay tree, failure detector, dissemination and leases, each in a simulated world with
// faults.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { dissemination, relayTree, type Dissemination } from '@thornsail/dissemination';
import { invariant, duration } from '@thornsail/runtime';
import { durableStore } from '@thornsail/durable-files';
import { failureDetector, ring } from '@thornsail/failure-detector';
import { rpc } from '@thornsail/rpc';
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { world, type Host } from '@thornsail/simulation';

const openWorld = (seed: number): ReturnType<typeof world.open> => {
  invariant.clear();
  return world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
};

test('durable store: acknowledged writes survive power loss; torn and half-written files are detected', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const simulation = openWorld(seed);
    const host = simulation.host('127.0.0.1', 'z1');
    const acknowledged = new Map<string, number>();
    const write = async (): Promise<void> => {
      const durable = await durableStore.open(simulation.runtime(host).disk);
      for (let version = 1; version < 200; version++)
        for (const name of ['a/b', 'c*.d']) {
          await durable.write(name, version, { m: version });
          acknowledged.set(name, version);
        }
    };
    void write();
    await simulation.run(duration.ms(20 + simulation.rand.int(60)));
    simulation.kill(host, 'power');
    simulation.start(host);
    host.files.set('a%2Fb.000000009999', 'torn');
    let recovered:
      { durable: Awaited<ReturnType<typeof durableStore.open>>; first: number; second: number } | undefined;
    void (async () => {
      const durable = await durableStore.open(simulation.runtime(host).disk);
      recovered = {
        durable,
        first: (await durable.read<{ m: number }>('a/b'))?.value.m ?? 0,
        second: (await durable.read<{ m: number }>('c*.d'))?.value.m ?? 0,
      };
    })();
    await simulation.run(simulation.now() + duration.s(1));
    assert.ok(
      recovered!.first >= (acknowledged.get('a/b') ?? 0) && recovered!.second >= (acknowledged.get('c*.d') ?? 0),
      `seed ${seed}`,
    );
    assert.is(recovered!.durable.counts().torn, 1);
    assert.ok([...host.files.keys()].length <= 6, 'old versions are not removed');
  }
});

test('ring and relay tree: every node has its watchers and every relay is reached, for any number of nodes', () => {
  for (let count = 2; count <= 40; count++) {
    const nodes = Array.from({ length: count }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i}:1` }));
    for (const node of nodes)
      assert.is(new Set(ring.watchers(nodes, node.id, 3).map((watcher) => watcher.id)).size, Math.min(3, count - 1));
    const reached = new Set<string>(['n0']);
    const pending = ['n0'];
    for (let id = pending.pop(); id !== undefined; id = pending.pop())
      for (const relay of relayTree.neighbours(nodes, id, 3)) {
        assert.ok(
          relayTree.neighbours(nodes, relay.id, 3).some((neighbour) => neighbour.id === id),
          'the tree is not symmetric',
        );
        if (!reached.has(relay.id)) {
          reached.add(relay.id);
          pending.push(relay.id);
        }
      }
    assert.is(reached.size, count);
  }
});

test('failure detector: a silent node is suspected within 1.5 s; a resumed watcher reports none', async () => {
  const simulation = openWorld(3);
  const nodes = Array.from({ length: 9 }, (_, i) => ({
    id: `n${i}`,
    address: `127.0.0.${i + 1}:1`,
    incarnation: 1,
    host: simulation.host(`127.0.0.${i + 1}`, 'z1'),
  }));
  const suspectedBy = new Map<string, Set<string>>();
  for (const node of nodes)
    void rpc.open(simulation.runtime(node.host), node.address).then((endpoint) =>
      failureDetector.open({
        runtime: simulation.runtime(node.host),
        rpc: endpoint,
        self: () => node,
        members: () => nodes,
        onSuspected: (suspects) => {
          for (const suspect of suspects)
            suspectedBy.set(suspect.id, (suspectedBy.get(suspect.id) ?? new Set()).add(node.id));
        },
      }),
    );
  await simulation.run(duration.s(3));
  assert.is(suspectedBy.size, 0);
  simulation.freeze(nodes[4]!.host);
  await simulation.run(duration.s(4.6));
  assert.equal([...suspectedBy.keys()], ['n4']);
  assert.is(suspectedBy.get('n4')!.size, 3);
  suspectedBy.clear();
  simulation.thaw(nodes[4]!.host);
  await simulation.run(duration.s(7));
  assert.equal(
    [...suspectedBy.values()].flatMap((watchers) => [...watchers]).filter((watcher) => watcher === 'n4'),
    [],
  );
});

const openRelays = async (
  seed: number,
  count: number,
): Promise<{
  simulation: ReturnType<typeof openWorld>;
  nodes: { id: string; host: Host; dissemination: Dissemination }[];
  deadIds: Set<string>;
}> => {
  const simulation = openWorld(seed);
  const deadIds = new Set<string>();
  const members = Array.from({ length: count }, (_, i) => ({ id: `n${i}`, address: `127.0.0.${i + 1}:1` }));
  const nodes: { id: string; host: Host; dissemination: Dissemination }[] = [];
  for (const member of members) {
    const host = simulation.host(member.address.split(':')[0]!, 'z1');
    const runtime = simulation.runtime(host);
    void rpc.open(runtime, member.address).then((endpoint) =>
      nodes.push({
        id: member.id,
        host,
        dissemination: dissemination.open({
          runtime,
          rpc: endpoint,
          self: member.id,
          isLeaf: false,
          relays: () => members.filter((relay) => !deadIds.has(relay.id)),
          parent: () => undefined,
          fallbacks: () => [],
          admits: (name) => !deadIds.has(name.split('/')[1] ?? ''),
        }),
      }),
    );
  }
  await simulation.run(duration.ms(10));
  return { simulation, nodes, deadIds };
};
test('dissemination: updates reach all within 2 s past an undetected dead relay; versions never go back', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { simulation, nodes } = await openRelays(seed, 20);
    simulation.kill(nodes[simulation.rand.int(5)]!.host, 'process');
    const source = nodes.find((node) => node.host.alive)!;
    for (let version = 1; version <= 10; version++) {
      source.dissemination.put('order', version, { m: version });
      await simulation.run(simulation.now() + duration.ms(40));
    }
    await simulation.run(simulation.now() + duration.s(2));
    for (const node of nodes)
      if (node.host.alive) assert.is(node.dissemination.get('order')?.version, 10, `seed ${seed}: ${node.id}`);
    source.dissemination.put('order', 4, { m: 4 });
    assert.is(source.dissemination.get('order')?.version, 10);
  }
});
test('dissemination: an update of a dead node does not come back from nodes that were slower to drop it', async () => {
  const { simulation, nodes, deadIds } = await openRelays(5, 8);
  nodes[0]!.dissemination.put('load/n3', 7, { x: 1 });
  await simulation.run(simulation.now() + duration.s(2));
  assert.ok(nodes.every((node) => node.dissemination.get('load/n3')));
  deadIds.add('n3');
  for (const node of nodes.slice(0, 4)) node.dissemination.retain((topic) => topic !== 'load/n3');
  await simulation.run(simulation.now() + duration.s(4));
  for (const node of nodes.slice(0, 4)) assert.is(node.dissemination.get('load/n3'), undefined);
});

test('leases: one holder at a time although holders freeze and voters restart; fencing tokens only grow', async () => {
  for (let seed = 1; seed <= 15; seed++) {
    const simulation = openWorld(seed);
    const voters = [1, 2, 3].map((i) => ({ host: simulation.host(`127.0.3.${i}`, `z${i}`), at: `127.0.3.${i}:1` }));
    const bootVoter = (voter: { host: Host; at: string }): void => {
      const runtime = simulation.runtime(voter.host);
      void rpc.open(runtime, voter.at).then((endpoint) => leaseVoter.open({ runtime, rpc: endpoint }));
    };
    voters.forEach(bootVoter);
    const holders: { lease: Lease; host: Host }[] = [];
    const fencingTokens: number[] = [];
    for (let i = 1; i <= 4; i++) {
      const host = simulation.host(`127.0.1.${i}`, 'z1');
      const runtime = simulation.runtime(host);
      void rpc.open(runtime, `127.0.1.${i}:1`).then((endpoint) =>
        holders.push({
          host,
          lease: lease.open({
            runtime,
            rpc: endpoint,
            name: 'sweep',
            holder: `n${i}`,
            voters: () => voters.map((voter) => voter.at),
            onAcquired: (fencingToken) => fencingTokens.push(fencingToken),
          }),
        }),
      );
    }
    const random = simulation.rand;
    for (let i = 0; i < 6; i++)
      simulation.scheduleAt(duration.s(4) + random.int(duration.s(20)), () => {
        const holder = holders[random.int(4)]!;
        if (!holder.host.frozen) {
          simulation.freeze(holder.host);
          simulation.scheduleAt(simulation.now() + random.int(duration.s(5)), () => simulation.thaw(holder.host));
        }
      });
    simulation.scheduleAt(duration.s(9), () => {
      const voter = voters[random.int(3)]!;
      simulation.kill(voter.host, 'power');
      simulation.scheduleAt(simulation.now() + duration.ms(300), () => {
        simulation.start(voter.host);
        bootVoter(voter);
      });
    });
    let heldCount = 0;
    while (simulation.now() < duration.s(30)) {
      await simulation.run(simulation.now() + duration.ms(25));
      const holderCount = holders.filter((holder) => holder.lease.holds()).length;
      assert.ok(holderCount <= 1, `seed ${seed}: ${holderCount} holders at once`);
      heldCount += holderCount;
    }
    assert.ok(heldCount > 600, `seed ${seed}: the lease was vacant most of the time`);
    assert.equal(
      [...fencingTokens].sort((a, b) => a - b),
      fencingTokens,
      'a fencing token was granted twice or went back',
    );
    assert.is(new Set(fencingTokens).size, fencingTokens.length);
  }
});
test.run();
