// How long a duty is vacant when its holder goes (§3.6).
import { lease, leaseVoter, type Lease } from '@thornsail/leases';
import { rpc } from '@thornsail/rpc';
import { duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { head, mean, out, row } from './table.js';

export const duties = async (): Promise<void> => {
  out('\n### Vacancy of a duty (simulated, 3 voters, 4 candidates, 20 seeds, 5 losses each)\n');
  head('how the holder goes', 'vacant, mean ms', 'worst ms');
  for (const how of ['it is killed', 'it is frozen', 'it leaves']) {
    const took: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
      const voters = [1, 2, 3].map((i) => `127.0.3.${i}:1`);
      for (const [i, at] of voters.entries()) {
        const runtime = w.runtime(w.host(`127.0.3.${i + 1}`, `z${i}`));
        void rpc.open(runtime, at).then((p) => leaseVoter.open({ runtime, rpc: p }));
      }
      const hosts = [1, 2, 3, 4].map((i) => w.host(`127.0.1.${i}`, 'z1'));
      const duties = new Map<number, Lease>();
      let gen = 0;
      const boot = (i: number): void => {
        const runtime = w.runtime(hosts[i]!);
        void rpc
          .open(runtime, `127.0.1.${i + 1}:1`)
          .then((p) =>
            duties.set(
              i,
              lease.open({ runtime, rpc: p, name: 'sweep', holder: `n${i}.${gen++}`, voters: () => voters }),
            ),
          );
      };
      for (let i = 0; i < 4; i++) boot(i);
      const holder = (): number =>
        [...duties].find(([i, d]) => d.holds() && hosts[i]!.alive && !hosts[i]!.frozen)?.[0] ?? -1;
      for (let k = 0; k < 5; k++) {
        while (holder() < 0) await w.run(w.now() + duration.ms(10));
        await w.run(w.now() + duration.s(1) + w.rand.int(duration.s(1)));
        const h = holder();
        const begun = w.now();
        if (how === 'it is killed') {
          w.kill(hosts[h]!, 'process');
          duties.delete(h);
        } else if (how === 'it is frozen') w.freeze(hosts[h]!);
        else {
          duties.get(h)!.close();
          duties.delete(h);
        }
        await w.run(w.now() + duration.ms(10));
        while (holder() < 0 && w.now() - begun < duration.s(20)) await w.run(w.now() + duration.ms(10));
        took.push(duration.toMs(w.now() - begun));
        if (how === 'it is killed') {
          w.start(hosts[h]!);
          boot(h);
        } else if (how === 'it is frozen') w.thaw(hosts[h]!);
        else {
          w.kill(hosts[h]!, 'process');
          w.start(hosts[h]!);
          boot(h);
        }
      }
    }
    row(how, Math.round(mean(took)), Math.max(...took));
  }
};
