// Dissemination time and frames by the arity of the relay tree (§3.5).
import type { Dissemination } from '@thornsail/dissemination';
import { duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { openRelay } from './relay-node.js';
import { tableHead, mean, printLine, row } from './table.js';

/** Prints frames and dissemination times by the number of children. */
export const relays = async (): Promise<void> => {
  printLine('\n### Relay tree (simulated, 20 relays, 10 seeds, 10 changes each)\n');
  tableHead(
    'children',
    'frames for one change',
    'reached all after, mean ms',
    'worst ms',
    'with one relay dead, worst ms',
  );
  for (const arity of [1, 2, 3, 5, 19]) {
    const reachTimes: number[] = [];
    const degraded: number[] = [];
    let frames = 0;
    for (let seed = 1; seed <= 10; seed++)
      for (const kill of [false, true]) {
        const sim = world.open({
          seed,
          zoneDelay: duration.ms(1.5),
          clientDelay: duration.ms(1),
          clientIp: '127.0.9.9',
        });
        const nodes = Array.from({ length: 20 }, (_, i) => ({
          id: `n${i}`,
          address: `127.0.0.${i + 1}:1`,
          host: sim.host(`127.0.0.${i + 1}`, `z${i % 3}`),
        }));
        const opened: { relay: Dissemination; host: (typeof nodes)[number]['host'] }[] = [];
        for (const node of nodes) {
          const runtime = sim.runtime(node.host);
          void openRelay(runtime, node, nodes, arity).then((relay) => opened.push({ host: node.host, relay }));
        }
        await sim.run(duration.s(1));
        if (kill) sim.kill(nodes[1 + sim.rand.int(6)]!.host, 'power');
        const live = opened.filter((peer) => peer.host.alive);
        for (let version = 1; version <= 10; version++) {
          const startedAt = sim.now();
          const before = live.reduce((a, peer) => a + peer.relay.counts().relayed, 0);
          live[sim.rand.int(live.length)]!.relay.put('order', version, version);
          while (
            live.some((peer) => (peer.relay.get('order')?.version ?? 0) < version) &&
            sim.now() - startedAt < duration.s(10)
          )
            await sim.run(sim.now() + 200);
          (kill ? degraded : reachTimes).push((sim.now() - startedAt) / 1000);
          if (!kill) frames += live.reduce((a, peer) => a + peer.relay.counts().relayed, 0) - before;
          await sim.run(sim.now() + duration.ms(300));
        }
      }
    row(
      arity,
      (frames / 100).toFixed(1),
      mean(reachTimes).toFixed(1),
      Math.max(...reachTimes).toFixed(1),
      Math.max(...degraded).toFixed(0),
    );
  }
};
