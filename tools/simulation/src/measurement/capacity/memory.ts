// Heap of the roster, the lists, the scheduler and a store, by their size.
import { durableStore } from '@thornsail/durable-files';
import { type Group, store } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Disk, duration } from '@thornsail/runtime';
import { parse, stringify } from 'devalue';
import type { Point } from '../fit.js';
import { workerList } from '../hollow.js';
import { heap, heapOf } from './cost.js';
import { loadOf, mostWorkers, newWorld, nodeOf, programsOf, withRoster } from './fixtures.js';
import { proposerOf, written } from './registers.js';
import { type Part, type Slope, pick, points, slope } from './slope.js';

const nowhere: Disk = {
  writeDocument: () => Promise.resolve(),
  reserveFiles: () => Promise.resolve(),
  writeReserved: (_name, text) => Promise.resolve(void text()),
  syncExisting: () => Promise.resolve(),
  read: () => Promise.resolve(undefined),
  list: () => Promise.resolve([]),
  remove: () => Promise.resolve(),
};

export const memory: Part = async (sizes) => {
  const n = pick(sizes, [200, 400, 800, 1600], [50, 100, 150, 200]);
  const many = pick(sizes, [5000, 10_000, 20_000, 40_000], [200, 400, 600, 800]);
  const again = (u: unknown): unknown => parse(stringify(u));
  const few = sizes === 'small' ? 1 : undefined;
  const programs = many.map((x) => x / 2);
  const w = newWorld();
  const runtime = w.runtime(w.host('10.2.0.1', 'z0'));
  const group: Group = { version: 1, members: [{ id: 'k0', at: '10.2.0.1:1' }] };
  void rpc.open(runtime, '10.2.0.1:1').then(async (p) => {
    await store.open({
      runtime: { ...runtime, disk: nowhere },
      rpc: p,
      durable: await durableStore.open(nowhere),
      freshId: 'k0',
    });
  });
  const regs = await proposerOf(w, w.runtime(w.host('10.1.0.1', 'z0')), group);
  const held: Point[] = [];
  const empty = heap();
  let have = 0;
  for (const keys of many) {
    for (; have < keys; have++) {
      const once = { by: nodeOf(20).id, at: 1, turn: `turn-${have}`, done: null, sum: `sum-${have}-of-the-request` };
      void regs.change(`once/tenant/k${have}`, written(once)).catch(() => undefined);
      if (have % 200 === 199) await w.run(w.now() + duration.ms(300));
    }
    await w.run(w.now() + duration.s(3));
    held.push([keys, heap() - empty]);
  }
  const line = (name: string, by: string, p: Point[]): Slope => slope(name, by, 'bytes', 'measured', p);
  return {
    failed: [],
    slopes: [
      line('memory of the roster', 'process', await points(n, (x) => heapOf(() => again(withRoster(x)), few ?? 24))),
      line('memory of the list', 'worker', await points(many, (x) => heapOf(() => again(workerList(x)), few ?? 6))),
      line(
        'memory of the loads of others',
        'running turn',
        await points(n, (x) =>
          heapOf(() => Array.from({ length: 20 }, (_, i) => again(loadOf(i, x / 20, mostWorkers))), few ?? 12),
        ),
      ),
      line(
        'memory of the scheduler',
        'program',
        await points(programs, (x) => heapOf(() => programsOf(x, 500), few ?? 4)),
      ),
      line('memory of a store', 'claimed key', held),
    ],
  };
};
