// Latency of register changes and of leader elections, by the delay between regions.
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollowCluster } from '../hollow.js';
import { newWorld } from './fixtures.js';
import { storeGroup, proposerOf, setTo } from './registers.js';
import { type FailedAttempt, type Part, pick, slope } from './slope.js';

/** Latencies by the one-way delay; delays at which no leader is elected are reported as failed. */
export const regions: Part = async (sizes) => {
  const failed: FailedAttempt[] = [];
  const firstChange: Point[] = [];
  const laterChange: Point[] = [];
  const election: Point[] = [];
  for (const ms of pick(sizes, [1, 10, 30, 60], [1, 2, 3, 4])) {
    const sim = newWorld(duration.ms(ms));
    const proposer = await proposerOf(sim, sim.runtime(sim.host('10.1.0.1', 'z0')), storeGroup(sim, 3));
    const times: number[][] = [[], []];
    for (let i = 0; i < 40; i++) {
      const startedAt = sim.now();
      let done = false;
      void proposer.change(`k${i >> 1}`, setTo(i)).then(() => (done = true));
      while (!done) await sim.run(sim.now() + 100);
      times[i % 2]!.push((sim.now() - startedAt) / 1000);
    }
    const mean = (values: number[]): number => values.reduce((a, b) => a + b, 0) / values.length;
    firstChange.push([ms, mean(times[0]!)]);
    laterChange.push([ms, mean(times[1]!)]);
  }
  const tries = sizes === 'small' ? [1, 2, 3, 4] : [1, 10, 30, 60, 90, 120];
  for (const ms of tries) {
    const cluster = await hollowCluster.open({ edges: 1, zoneDelay: duration.ms(ms), within: duration.s(30) });
    const leader = cluster?.leader();
    if (!cluster || !leader) {
      failed.push({ what: `coordinators with ${ms} ms one way between them`, why: 'no head, or no configuration' });
      continue;
    }
    const startedAt = cluster.world.now();
    cluster.kill(leader);
    if (await cluster.until(() => cluster.leader() !== undefined, duration.s(20)))
      election.push([ms, duration.toMs(cluster.world.now() - startedAt)]);
    else
      failed.push({ what: `a head lost with ${ms} ms one way between coordinators`, why: 'no new head within 20 s' });
  }
  return {
    failed,
    slopes: [
      slope('a first change of a register', 'ms one way', 'ms', 'simulated', firstChange),
      slope('a further change by the same edge', 'ms one way', 'ms', 'simulated', laterChange),
      slope('until another coordinator leads', 'ms one way', 'ms', 'simulated', election),
    ],
  };
};
