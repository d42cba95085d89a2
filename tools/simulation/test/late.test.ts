// Messages between nodes that arrive long after they were sent (§3.1): what a cut held up, and what lay in the sockets
// of a process that stood still.
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { invariant, duration } from '@thornsail/runtime';
import { rpc, validate, type Rpc } from '@thornsail/rpc';
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { world, type Host, type World } from '@thornsail/simulation';

const open = (seed: number): World => {
  invariant.clear();
  return world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
};

test('a request that was given up is carried out when the cut is over, and its answer goes to nobody', async () => {
  const w = open(1);
  w.setFrameRetransmission(true);
  const [client, server] = [w.host('127.0.1.1', 'a'), w.host('127.0.1.2', 'b')];
  const at = '127.0.1.2:1';
  const served: number[] = [];
  const here = await rpc.open(w.runtime(client), '127.0.1.1:1');
  const there = await rpc.open(w.runtime(server), at);
  there.on<number>('note', validate.integer, (n) => (served.push(n), n));
  const got: string[] = [];
  const ask = (n: number): Promise<void> =>
    here.request<number>(at, 'note', n, duration.ms(400)).then(
      (answer) => void got.push(`${n}: ${answer}`),
      () => void got.push(`${n}: late`),
    );
  const heal = w.partition([client], [server]);
  void ask(1);
  await w.run(w.now() + duration.s(20));
  assert.equal([served, got], [[], ['1: late']]);
  heal();
  void ask(2);
  await w.run(w.now() + duration.s(1));
  assert.equal(served.sort(), [1, 2], 'both were carried out');
  assert.equal(got, ['1: late', '2: 2']);
});

const voters = 3;
const holders = 4;
/** Cuts and standstills between holders and voters; what they held up arrives late. */
const troubles = (w: World, nodes: Host[], voterHosts: Host[]): void => {
  for (let n = 0; n < 8; n++)
    w.scheduleAt(duration.s(4) + w.rand.int(duration.s(20)), () => {
      const holder = nodes[w.rand.int(nodes.length)]!;
      const some = voterHosts.filter(() => w.rand.int(2) === 0);
      const heal = w.partition([holder], some);
      w.scheduleAt(w.now() + w.rand.int(duration.s(4)), heal);
    });
  for (let n = 0; n < 4; n++)
    w.scheduleAt(duration.s(4) + w.rand.int(duration.s(20)), () => {
      const voter = voterHosts[w.rand.int(voters)]!;
      if (voter.frozen) return;
      w.freeze(voter);
      w.scheduleAt(w.now() + w.rand.int(duration.s(3)), () => w.thaw(voter));
    });
};
test('duties: one holder at a time though ballots and leaves arrive late and overtake one another', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const w = open(seed);
    w.setFrameRetransmission(true);
    w.setFrameFaults(0.02, duration.ms(350));
    const voterHosts = Array.from({ length: voters }, (_, i) => w.host(`127.0.3.${i + 1}`, `z${i}`));
    const places = voterHosts.map((_, i) => `127.0.3.${i + 1}:1`);
    for (const [i, host] of voterHosts.entries())
      leaseVoter.open({ runtime: w.runtime(host), rpc: await rpc.open(w.runtime(host), places[i]!) });
    const duties: Lease[] = [];
    const nodes = Array.from({ length: holders }, (_, i) => w.host(`127.0.1.${i + 1}`, 'z1'));
    for (const [i, host] of nodes.entries()) {
      const runtime = w.runtime(host);
      const own: Rpc = await rpc.open(runtime, `127.0.1.${i + 1}:1`);
      duties.push(lease.open({ runtime, rpc: own, name: 'sweep', holder: `n${i}`, voters: () => places }));
    }
    troubles(w, nodes, voterHosts);
    let held = 0;
    while (w.now() < duration.s(28)) {
      await w.run(w.now() + duration.ms(25));
      const now = duties.filter((duty) => duty.holds()).length;
      assert.ok(now <= 1, `seed ${seed}: ${now} holders at once at ${duration.toMs(w.now())} ms`);
      held += now;
    }
    assert.ok(held > 200, `seed ${seed}: the duty was vacant most of the time (${held})`);
  }
});
test.run();
