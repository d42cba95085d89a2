// Heap of the membership list, the worker lists, the scheduler and a store, by their size.
import { durableStore } from '@thornsail/durable-files';
import { type Group, store } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Disk, duration } from '@thornsail/runtime';
import { parse, stringify } from 'devalue';
import type { Point } from '../fit.js';
import { workerList } from '../hollow.js';
import { heap, heapOf } from './cost.js';
import { loadOf, maxWorkers, newWorld, nodeOf, programsOf, withRoster } from './fixtures.js';
import { proposerOf, setTo } from './registers.js';
import { type Part, type Slope, pick, points, slope } from './slope.js';

/** A disk that stores nothing. */
const discardingDisk: Disk = {
  writeDocument: () => Promise.resolve(),
  reserveFiles: () => Promise.resolve(),
  writeReserved: (_name, text) => Promise.resolve(void text()),
  syncExisting: () => Promise.resolve(),
  readPart: () => Promise.resolve(undefined),
  size: () => Promise.resolve(undefined),
  read: () => Promise.resolve(undefined),
  list: () => Promise.resolve([]),
  remove: () => Promise.resolve(),
};

/** Heap of the data structures that grow with the deployment. */
export const memory: Part = async (sizes) => {
  const counts = pick(sizes, [200, 400, 800, 1600], [50, 100, 150, 200]);
  const largeCounts = pick(sizes, [5000, 10_000, 20_000, 40_000], [200, 400, 600, 800]);
  const decoded = (value: unknown): unknown => parse(stringify(value));
  const copies = sizes === 'small' ? 1 : undefined;
  const programs = largeCounts.map((count) => count / 2);
  const sim = newWorld();
  const runtime = sim.runtime(sim.host('10.2.0.1', 'z0'));
  const group: Group = { version: 1, members: [{ id: 'k0', at: '10.2.0.1:1' }] };
  void rpc.open(runtime, '10.2.0.1:1').then(async (endpoint) => {
    await store.open({
      runtime: { ...runtime, disk: discardingDisk },
      rpc: endpoint,
      durable: await durableStore.open(discardingDisk),
      freshId: 'k0',
    });
  });
  const proposer = await proposerOf(sim, sim.runtime(sim.host('10.1.0.1', 'z0')), group);
  const storeHeap: Point[] = [];
  const heapBefore = heap();
  let claimed = 0;
  for (const keys of largeCounts) {
    for (; claimed < keys; claimed++) {
      const claim = {
        by: nodeOf(20).id,
        at: 1,
        turn: `turn-${claimed}`,
        done: null,
        sum: `sum-${claimed}-of-the-request`,
      };
      void proposer.change(`once/tenant/k${claimed}`, setTo(claim)).catch(() => undefined);
      if (claimed % 200 === 199) await sim.run(sim.now() + duration.ms(300));
    }
    await sim.run(sim.now() + duration.s(3));
    storeHeap.push([keys, heap() - heapBefore]);
  }
  const heapSlope = (name: string, by: string, samples: Point[]): Slope =>
    slope(name, by, 'bytes', 'measured', samples);
  return {
    failed: [],
    slopes: [
      heapSlope(
        'memory of the roster',
        'process',
        await points(counts, (count) => heapOf(() => decoded(withRoster(count)), copies ?? 24)),
      ),
      heapSlope(
        'memory of the list',
        'worker',
        await points(largeCounts, (count) => heapOf(() => decoded(workerList(count)), copies ?? 6)),
      ),
      heapSlope(
        'memory of the loads of others',
        'running turn',
        await points(counts, (count) =>
          heapOf(() => Array.from({ length: 20 }, (_, i) => decoded(loadOf(i, count / 20, maxWorkers))), copies ?? 12),
        ),
      ),
      heapSlope(
        'memory of the scheduler',
        'program',
        await points(programs, (count) => heapOf(() => programsOf(count, 500), copies ?? 4)),
      ),
      heapSlope('memory of a store', 'claimed key', storeHeap),
    ],
  };
};
