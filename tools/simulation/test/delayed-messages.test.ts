// Messages between nodes that arrive long after they were sent (§3.1): those that a partition delayed, and those in the
// socket buffers of a process that was frozen.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant, duration } from '@thornsail/runtime';
import { rpc, validate, type Rpc } from '@thornsail/rpc';
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { world, type Host, type World } from '@thornsail/simulation';

const openWorld = (seed: number): World => {
  invariant.clear();
  return world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
};

test('a request that timed out is served when the partition heals, and its late reply is dropped', async () => {
  const simulation = openWorld(1);
  simulation.setFrameRetransmission(true);
  const [client, server] = [simulation.host('127.0.1.1', 'a'), simulation.host('127.0.1.2', 'b')];
  const serverAddress = '127.0.1.2:1';
  const served: number[] = [];
  const clientRpc = await rpc.open(simulation.runtime(client), '127.0.1.1:1');
  const serverRpc = await rpc.open(simulation.runtime(server), serverAddress);
  serverRpc.on<number>('note', validate.integer, (n) => (served.push(n), n));
  const outcomes: string[] = [];
  const sendRequest = (n: number): Promise<void> =>
    clientRpc.request<number>(serverAddress, 'note', n, duration.ms(400)).then(
      (answer) => void outcomes.push(`${n}: ${answer}`),
      () => void outcomes.push(`${n}: timed out`),
    );
  const heal = simulation.partition([client], [server]);
  void sendRequest(1);
  await simulation.run(simulation.now() + duration.s(20));
  assert.equal([served, outcomes], [[], ['1: timed out']]);
  heal();
  void sendRequest(2);
  await simulation.run(simulation.now() + duration.s(1));
  assert.equal(served.sort(), [1, 2], 'both requests were served');
  assert.equal(outcomes, ['1: timed out', '2: 2']);
});

const voterCount = 3;
const holderCount = 4;
/** Schedules partitions between holders and voters and freezes of voters; the messages that they delay arrive late. */
const scheduleFaults = (simulation: World, nodes: Host[], voterHosts: Host[]): void => {
  for (let n = 0; n < 8; n++)
    simulation.scheduleAt(duration.s(4) + simulation.rand.int(duration.s(20)), () => {
      const holder = nodes[simulation.rand.int(nodes.length)]!;
      const partitionedVoters = voterHosts.filter(() => simulation.rand.int(2) === 0);
      const heal = simulation.partition([holder], partitionedVoters);
      simulation.scheduleAt(simulation.now() + simulation.rand.int(duration.s(4)), heal);
    });
  for (let n = 0; n < 4; n++)
    simulation.scheduleAt(duration.s(4) + simulation.rand.int(duration.s(20)), () => {
      const voter = voterHosts[simulation.rand.int(voterCount)]!;
      if (voter.frozen) return;
      simulation.freeze(voter);
      simulation.scheduleAt(simulation.now() + simulation.rand.int(duration.s(3)), () => simulation.thaw(voter));
    });
};
test('leases: one holder at a time although ballots and releases arrive late and overtake one another', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const simulation = openWorld(seed);
    simulation.setFrameRetransmission(true);
    simulation.setFrameFaults(0.02, duration.ms(350));
    const voterHosts = Array.from({ length: voterCount }, (_, i) => simulation.host(`127.0.3.${i + 1}`, `z${i}`));
    const voterAddresses = voterHosts.map((_, i) => `127.0.3.${i + 1}:1`);
    for (const [i, host] of voterHosts.entries())
      leaseVoter.open({
        runtime: simulation.runtime(host),
        rpc: await rpc.open(simulation.runtime(host), voterAddresses[i]!),
      });
    const leases: Lease[] = [];
    const nodes = Array.from({ length: holderCount }, (_, i) => simulation.host(`127.0.1.${i + 1}`, 'z1'));
    for (const [i, host] of nodes.entries()) {
      const runtime = simulation.runtime(host);
      const holderRpc: Rpc = await rpc.open(runtime, `127.0.1.${i + 1}:1`);
      leases.push(
        lease.open({ runtime, rpc: holderRpc, name: 'sweep', holder: `n${i}`, voters: () => voterAddresses }),
      );
    }
    scheduleFaults(simulation, nodes, voterHosts);
    let heldCount = 0;
    while (simulation.now() < duration.s(28)) {
      await simulation.run(simulation.now() + duration.ms(25));
      const current = leases.filter((candidate) => candidate.holds()).length;
      assert.ok(current <= 1, `seed ${seed}: ${current} holders at once at ${duration.toMs(simulation.now())} ms`);
      heldCount += current;
    }
    assert.ok(heldCount > 200, `seed ${seed}: the lease was vacant most of the time (${heldCount})`);
  }
});
test.run();
