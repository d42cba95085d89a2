// How long an entry takes to reach all relays of the tree.
import type { Dissemination } from '@thornsail/dissemination';
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { openRelay } from '../relay-node.js';
import { newWorld } from './fixtures.js';
import { type Part, pick, slope } from './slope.js';

/** Dissemination time by the number of relays, with 30 ms per hop. */
export const disseminationTime: Part = async (sizes) => {
  const points: Point[] = [];
  for (const count of pick(sizes, [13, 40, 121, 364], [4, 7, 10, 13])) {
    const sim = newWorld(duration.ms(30));
    const nodes = Array.from({ length: count }, (_, i) => ({ id: `r${i}`, address: `10.9.${i >> 8}.${i & 255}:1` }));
    const relays: Dissemination[] = [];
    for (const [i, node] of nodes.entries()) {
      const runtime = sim.runtime(sim.host(node.address.split(':')[0]!, `z${i % 14}`));
      void openRelay(runtime, node, nodes).then((relay) => relays.push(relay));
    }
    await sim.run(duration.ms(100));
    const times: number[] = [];
    for (let version = 1; version <= 5; version++) {
      const startedAt = sim.now();
      relays[sim.rand.int(count)]!.put('order', version, version);
      while (relays.some((entry) => (entry.get('order')?.version ?? 0) < version))
        await sim.run(sim.now() + duration.ms(1));
      times.push(duration.toMs(sim.now() - startedAt));
    }
    points.push([count, times.reduce((a, b) => a + b, 0) / times.length]);
  }
  const name = 'news down the tree, 30 ms a hop';
  return { failed: [], slopes: [slope(name, 'relay', 'ms', 'simulated', points, 'log')] };
};
