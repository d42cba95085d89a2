// Failure detection: detection time against the rate of false suspicions (§3.2).
import { failureDetector } from '@thornsail/failure-detector';
import { rpc } from '@thornsail/rpc';
import { type Microseconds, duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { tableHead, mean, printLine, row } from './table.js';

/** Prints detection times and false suspicions by silence limit and number of watchers. */
export const detection = async (): Promise<void> => {
  printLine('\n### Failure detection against false suspicion (simulated; 20 nodes, 10 seeds, 40 freezes each)\n');
  tableHead(
    'silence limit',
    'watchers',
    'killed node suspected by two after, mean ms',
    'worst ms',
    'frozen nodes wrongly suspected by two, of 400',
  );
  for (const silenceMs of [300, 600, 1000, 2000])
    for (const watchers of [2, 3]) {
      const detectionTimes: number[] = [];
      let falseSuspicions = 0;
      for (let seed = 1; seed <= 10; seed++) {
        const sim = world.open({
          seed,
          zoneDelay: duration.ms(1.5),
          clientDelay: duration.ms(1),
          clientIp: '127.0.9.9',
        });
        const nodes = Array.from({ length: 20 }, (_, i) => ({
          id: `n${i}`,
          address: `127.0.0.${i + 1}:1`,
          incarnation: 1,
          host: sim.host(`127.0.0.${i + 1}`, `z${i % 3}`),
        }));
        const accusations = new Map<string, Map<string, Microseconds>>();
        const confirmed = new Set<string>();
        for (const node of nodes)
          void rpc.open(sim.runtime(node.host), node.address).then((endpoint) =>
            failureDetector.open({
              runtime: sim.runtime(node.host),
              rpc: endpoint,
              self: () => node,
              members: () => nodes,
              timing: { suspectAfter: duration.ms(silenceMs), watchers },
              onSuspected: (suspects) => {
                for (const suspect of suspects) {
                  const accusers = accusations.get(suspect.id) ?? new Map<string, Microseconds>();
                  accusations.set(suspect.id, accusers.set(node.id, sim.now()));
                  if (
                    [...accusers.values()].filter((accusedAt) => sim.now() - accusedAt < duration.ms(1500)).length >= 2
                  )
                    confirmed.add(suspect.id);
                }
              },
            }),
          );
        await sim.run(duration.s(2));
        for (let i = 0; i < 40; i++) {
          const frozen = nodes[sim.rand.int(20)]!;
          confirmed.clear();
          accusations.clear();
          sim.freeze(frozen.host);
          await sim.run(sim.now() + duration.ms(200 + sim.rand.int(700)));
          sim.thaw(frozen.host);
          await sim.run(sim.now() + duration.s(1));
          if (confirmed.has(frozen.id)) falseSuspicions += 1;
        }
        const victim = nodes[sim.rand.int(20)]!;
        confirmed.clear();
        accusations.clear();
        const killedAt = sim.now();
        sim.kill(victim.host, 'power');
        while (!confirmed.has(victim.id) && sim.now() - killedAt < duration.s(10))
          await sim.run(sim.now() + duration.ms(10));
        detectionTimes.push(duration.toMs(sim.now() - killedAt));
      }
      row(`${silenceMs} ms`, watchers, Math.round(mean(detectionTimes)), Math.max(...detectionTimes), falseSuspicions);
    }
};
