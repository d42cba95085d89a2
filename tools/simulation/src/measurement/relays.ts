// The tree of relays by its number of children (§3.5).
import type { Dissemination } from '@thornsail/dissemination';
import { duration } from '@thornsail/runtime';
import { world } from '../world/index.js';
import { openRelay } from './relay-node.js';
import { head, mean, out, row } from './table.js';

export const relays = async (): Promise<void> => {
  out('\n### Relay tree (simulated, 20 relays, 10 seeds, 10 changes each)\n');
  head('children', 'frames for one change', 'reached all after, mean ms', 'worst ms', 'with one relay dead, worst ms');
  for (const arity of [1, 2, 3, 5, 19]) {
    const took: number[] = [];
    const dead: number[] = [];
    let frames = 0;
    for (let seed = 1; seed <= 10; seed++)
      for (const kill of [false, true]) {
        const w = world.open({ seed, zoneDelay: duration.ms(1.5), clientDelay: duration.ms(1), clientIp: '127.0.9.9' });
        const list = Array.from({ length: 20 }, (_, i) => ({
          id: `n${i}`,
          address: `127.0.0.${i + 1}:1`,
          host: w.host(`127.0.0.${i + 1}`, `z${i % 3}`),
        }));
        const bs: { b: Dissemination; host: (typeof list)[number]['host'] }[] = [];
        for (const x of list) {
          const runtime = w.runtime(x.host);
          void openRelay(runtime, x, list, arity).then((b) => bs.push({ host: x.host, b }));
        }
        await w.run(duration.s(1));
        if (kill) w.kill(list[1 + w.rand.int(6)]!.host, 'power');
        const live = bs.filter((x) => x.host.alive);
        for (let m = 1; m <= 10; m++) {
          const begun = w.now();
          const before = live.reduce((a, x) => a + x.b.counts().relayed, 0);
          live[w.rand.int(live.length)]!.b.put('order', m, m);
          while (live.some((x) => (x.b.get('order')?.version ?? 0) < m) && w.now() - begun < duration.s(10))
            await w.run(w.now() + 200);
          (kill ? dead : took).push((w.now() - begun) / 1000);
          if (!kill) frames += live.reduce((a, x) => a + x.b.counts().relayed, 0) - before;
          await w.run(w.now() + duration.ms(300));
        }
      }
    row(
      arity,
      (frames / 100).toFixed(1),
      mean(took).toFixed(1),
      Math.max(...took).toFixed(1),
      Math.max(...dead).toFixed(0),
    );
  }
};
