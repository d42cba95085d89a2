// How long a lease is vacant after its holder fails or resigns (§3.6).
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { rpc } from '@thornsail/rpc';
import { duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { tableHead, mean, printLine, row } from './table.js';

/** Prints the vacancy times of a lease by the way in which its holder departs. */
export const duties = async (): Promise<void> => {
  printLine('\n### Vacancy of a duty (simulated, 3 voters, 4 candidates, 20 seeds, 5 losses each)\n');
  tableHead('how the holder goes', 'vacant, mean ms', 'worst ms');
  for (const departure of ['it is killed', 'it is frozen', 'it leaves']) {
    const took: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const sim = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
      const voters = [1, 2, 3].map((i) => `127.0.3.${i}:1`);
      for (const [i, address] of voters.entries()) {
        const runtime = sim.runtime(sim.host(`127.0.3.${i + 1}`, `z${i}`));
        void rpc.open(runtime, address).then((endpoint) => leaseVoter.open({ runtime, rpc: endpoint }));
      }
      const hosts = [1, 2, 3, 4].map((i) => sim.host(`127.0.1.${i}`, 'z1'));
      const leases = new Map<number, Lease>();
      let generation = 0;
      const boot = (i: number): void => {
        const runtime = sim.runtime(hosts[i]!);
        void rpc.open(runtime, `127.0.1.${i + 1}:1`).then((endpoint) =>
          leases.set(
            i,
            lease.open({
              runtime,
              rpc: endpoint,
              name: 'sweep',
              holder: `n${i}.${generation++}`,
              voters: () => voters,
            }),
          ),
        );
      };
      for (let i = 0; i < 4; i++) boot(i);
      const holderIndex = (): number =>
        [...leases].find(([i, candidate]) => candidate.holds() && hosts[i]!.alive && !hosts[i]!.frozen)?.[0] ?? -1;
      for (let loss = 0; loss < 5; loss++) {
        while (holderIndex() < 0) await sim.run(sim.now() + duration.ms(10));
        await sim.run(sim.now() + duration.s(1) + sim.rand.int(duration.s(1)));
        const holder = holderIndex();
        const startedAt = sim.now();
        if (departure === 'it is killed') {
          sim.kill(hosts[holder]!, 'process');
          leases.delete(holder);
        } else if (departure === 'it is frozen') sim.freeze(hosts[holder]!);
        else {
          leases.get(holder)!.close();
          leases.delete(holder);
        }
        await sim.run(sim.now() + duration.ms(10));
        while (holderIndex() < 0 && sim.now() - startedAt < duration.s(20)) await sim.run(sim.now() + duration.ms(10));
        took.push(duration.toMs(sim.now() - startedAt));
        if (departure === 'it is killed') {
          sim.start(hosts[holder]!);
          boot(holder);
        } else if (departure === 'it is frozen') sim.thaw(hosts[holder]!);
        else {
          sim.kill(hosts[holder]!, 'process');
          sim.start(hosts[holder]!);
          boot(holder);
        }
      }
    }
    row(departure, Math.round(mean(took)), Math.max(...took));
  }
};
