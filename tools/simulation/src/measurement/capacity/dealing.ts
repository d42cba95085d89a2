// How many turns get the worker that holds their context, by the number of gateways that share the workers.
import { configSchema } from '@thornsail/config-schema';
import { type Load, loadBalancer, reportDelay } from '@thornsail/load-balancer';
import type { Microseconds } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollowConfig, workerList } from '../hollow.js';
import { type Part, pick, slope } from './slope.js';

/** Of the turns that have a worker which holds their context, how many get it: ten of 24 slots are free everywhere. */
export const dealing: Part = (sizes) => {
  const free = 10;
  const out: Point[] = [];
  for (const edges of pick(sizes, [16, 40, 80, 160, 380], [12, 16, 24, 48])) {
    const workers = workerList(24, 1);
    let now: Microseconds = 0;
    const b = loadBalancer.open({ now: () => now, self: 'e000', rotation: () => Math.floor(now / reportDelay) });
    const c = configSchema.check(hollowConfig(1));
    if (!c.ok) throw new Error('the configuration of the measurement is wrong');
    b.setConfig(c.value);
    b.setWorkers(workers);
    b.setPeerLoads(
      Array.from({ length: edges - 1 }, (_, i) => {
        const running: Load['running'] = {};
        for (const w of workers) {
          const n = Math.floor((24 - free) / (edges - 1)) + (i < (24 - free) % (edges - 1) ? 1 : 0);
          if (n > 0) running[w.id] = { chat: n };
        }
        return { id: `e${String(i + 1).padStart(3, '0')}`, load: { running, waiting: {} } };
      }),
    );
    let kept = 0;
    const tries = sizes === 'small' ? 400 : 4000;
    for (let i = 0; i < tries; i++) {
      now += reportDelay;
      const preferred = workers[i % workers.length]!.id;
      if (b.select('chat', { preferred })?.id === preferred) kept += 1;
    }
    out.push([edges, (100 * kept) / tries]);
  }
  const name = 'turns that get the worker with their context';
  return Promise.resolve({ failed: [], slopes: [slope(name, 'gateway', '%', 'simulated', out, 'power')] });
};
