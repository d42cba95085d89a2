// The share of turns that get the worker with their cached context, by the number of gateways that share the workers.
import { configSchema } from '@thornsail/config-schema';
import { type Load, loadBalancer, reportDelay } from '@thornsail/load-balancer';
import type { Microseconds } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollowConfig, workerList } from '../hollow.js';
import { type Part, pick, slope } from './slope.js';

/** The percentage of turns that get their preferred worker while ten of 24 slots of each worker are free. */
export const contextAffinity: Part = (sizes) => {
  const freeSlots = 10;
  const points: Point[] = [];
  for (const edges of pick(sizes, [16, 40, 80, 160, 380], [12, 16, 24, 48])) {
    const workers = workerList(24, 1);
    let now: Microseconds = 0;
    const balancer = loadBalancer.open({ now: () => now, self: 'e000', rotation: () => Math.floor(now / reportDelay) });
    const checked = configSchema.check(hollowConfig(1));
    if (!checked.ok) throw new Error('the capacity configuration is invalid');
    balancer.setConfig(checked.value);
    balancer.setWorkers(workers);
    balancer.setPeerLoads(
      Array.from({ length: edges - 1 }, (_, i) => {
        const running: Load['running'] = {};
        for (const worker of workers) {
          const turns = Math.floor((24 - freeSlots) / (edges - 1)) + (i < (24 - freeSlots) % (edges - 1) ? 1 : 0);
          if (turns > 0) running[worker.id] = { chat: turns };
        }
        return { id: `e${String(i + 1).padStart(3, '0')}`, load: { running, waiting: {} } };
      }),
    );
    let hits = 0;
    const tries = sizes === 'small' ? 400 : 4000;
    for (let i = 0; i < tries; i++) {
      now += reportDelay;
      const preferred = workers[i % workers.length]!.id;
      if (balancer.select('chat', { preferred })?.id === preferred) hits += 1;
    }
    points.push([edges, (100 * hits) / tries]);
  }
  const name = 'turns that get the worker with their context';
  return Promise.resolve({ failed: [], slopes: [slope(name, 'gateway', '%', 'simulated', points, 'power')] });
};
