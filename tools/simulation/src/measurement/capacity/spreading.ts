// How long news takes down the tree of relays.
import type { Dissemination } from '@thornsail/dissemination';
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { openRelay } from '../relay-node.js';
import { newWorld } from './fixtures.js';
import { type Part, pick, slope } from './slope.js';

export const spreading: Part = async (sizes) => {
  const out: Point[] = [];
  for (const n of pick(sizes, [13, 40, 121, 364], [4, 7, 10, 13])) {
    const w = newWorld(duration.ms(30));
    const list = Array.from({ length: n }, (_, i) => ({ id: `r${i}`, address: `10.9.${i >> 8}.${i & 255}:1` }));
    const all: Dissemination[] = [];
    for (const [i, x] of list.entries()) {
      const runtime = w.runtime(w.host(x.address.split(':')[0]!, `z${i % 14}`));
      void openRelay(runtime, x, list).then((relay) => all.push(relay));
    }
    await w.run(duration.ms(100));
    const times: number[] = [];
    for (let m = 1; m <= 5; m++) {
      const begun = w.now();
      all[w.rand.int(n)]!.put('order', m, m);
      while (all.some((b) => (b.get('order')?.version ?? 0) < m)) await w.run(w.now() + duration.ms(1));
      times.push(duration.toMs(w.now() - begun));
    }
    out.push([n, times.reduce((a, b) => a + b, 0) / times.length]);
  }
  const name = 'news down the tree, 30 ms a hop';
  return { failed: [], slopes: [slope(name, 'relay', 'ms', 'simulated', out, 'log')] };
};
