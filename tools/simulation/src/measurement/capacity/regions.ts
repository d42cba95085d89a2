// Changes of registers and the election of a leader, by the delay between regions.
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollow } from '../hollow.js';
import { newWorld } from './fixtures.js';
import { storeGroup, proposerOf, written } from './registers.js';
import { type Failed, type Part, pick, slope } from './slope.js';

export const regions: Part = async (sizes) => {
  const failed: Failed[] = [];
  const first: Point[] = [];
  const next: Point[] = [];
  const head: Point[] = [];
  for (const ms of pick(sizes, [1, 10, 30, 60], [1, 2, 3, 4])) {
    const w = newWorld(duration.ms(ms));
    const regs = await proposerOf(w, w.runtime(w.host('10.1.0.1', 'z0')), storeGroup(w, 3));
    const took: number[][] = [[], []];
    for (let i = 0; i < 40; i++) {
      const begun = w.now();
      let done = false;
      void regs.change(`k${i >> 1}`, written(i)).then(() => (done = true));
      while (!done) await w.run(w.now() + 100);
      took[i % 2]!.push((w.now() - begun) / 1000);
    }
    const mean = (v: number[]): number => v.reduce((a, b) => a + b, 0) / v.length;
    first.push([ms, mean(took[0]!)]);
    next.push([ms, mean(took[1]!)]);
  }
  const tries = sizes === 'small' ? [1, 2, 3, 4] : [1, 10, 30, 60, 90, 120];
  for (const ms of tries) {
    const h = await hollow.open({ edges: 1, zoneDelay: duration.ms(ms), within: duration.s(30) });
    const lost = h?.head();
    if (!h || !lost) {
      failed.push({ what: `coordinators with ${ms} ms one way between them`, why: 'no head, or no configuration' });
      continue;
    }
    const begun = h.w.now();
    h.kill(lost);
    if (await h.until(() => h.head() !== undefined, duration.s(20))) head.push([ms, duration.toMs(h.w.now() - begun)]);
    else
      failed.push({ what: `a head lost with ${ms} ms one way between coordinators`, why: 'no new head within 20 s' });
  }
  return {
    failed,
    slopes: [
      slope('a first change of a register', 'ms one way', 'ms', 'simulated', first),
      slope('a further change by the same edge', 'ms one way', 'ms', 'simulated', next),
      slope('until another coordinator leads', 'ms one way', 'ms', 'simulated', head),
    ],
  };
};
