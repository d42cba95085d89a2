// Processor time of the parts that grow with the roster, the workers and the programs.
import { admissionScheduler } from '@thornsail/admission-scheduler';
import { configSchema } from '@thornsail/config-schema';
import { snapshotCodec } from '@thornsail/consensus';
import type { DataPlane } from '@thornsail/data-plane';
import { failureDetector } from '@thornsail/failure-detector';
import { loadBalancer } from '@thornsail/load-balancer';
import { rpc } from '@thornsail/rpc';
import { type Runtime, duration } from '@thornsail/runtime';
import { parse, stringify } from 'devalue';
import { hollow, hollowConfig, workerList } from '../hollow.js';
import { cpu, cpuOf } from './cost.js';
import { loadOf, newWorld, newsOf, nodeOf, programsOf, version, withRoster } from './fixtures.js';
import { type Part, pick, points, slope } from './slope.js';

const service = 'model-0';

const balancerAt = (edges: number, running: number, workers: number): ReturnType<typeof loadBalancer.open> => {
  const b = loadBalancer.open({ now: () => 0, self: 'e000', rotation: () => 0 });
  const c = configSchema.check({ ...hollowConfig(), classes: { chat: { kind: 'model', service, weight: 1 } } });
  if (!c.ok) throw new Error('the configuration of the measurement is wrong');
  b.setConfig(c.value);
  b.setWorkers(workerList(workers));
  b.setPeerLoads(
    Array.from({ length: edges - 1 }, (_, i) => ({
      id: `e${String(i + 1).padStart(3, '0')}`,
      load: loadOf(i + 1, running, workers).load,
    })),
  );
  return b;
};

/** One turn of a program that is known: it arrives, grows and ends; one of a hundred programs waits paused. */
const turnCost = (programs: number, workers: number): number => {
  const s = programsOf(programs, workers);
  for (const p of s.programs.values())
    if (p.runningTurn === null && Number(p.id.slice(1)) % 100 === 1) {
      p.status = 'paused';
      p.tokens = 3_000_000;
    }
  let n = 0;
  return cpuOf(() => {
    const turn = `x${n}`;
    const limits = { timeLeft: duration.s(600), expectedService: duration.s(10), patience: duration.s(2) };
    const program = `p${((n++ * 2 + 3) % programs) | 1}`;
    admissionScheduler.step(s, { type: 'turn-arrived', turn, program, tokens: 240_000, ...limits }, duration.s(1));
    admissionScheduler.step(
      s,
      { type: 'turn-ended', turn, tokens: 240_000, final: false, worker: null },
      duration.s(1),
    );
    admissionScheduler.step(s, { type: 'turn-abandoned', turn }, duration.s(1));
  }, 100);
};

export const processor: Part = async (sizes) => {
  const roster = pick(sizes, [50, 100, 200, 400, 800], [10, 20, 30, 40]);
  const round = async (n: number): Promise<number> => {
    const w = newWorld();
    const nodes = Array.from({ length: n }, (_, i) => nodeOf(i));
    const all = nodes.map(({ id, place }) => ({ id, address: place, incarnation: 1 }));
    const runtime = w.runtime(w.host('10.0.0.1', 'z1'));
    const ticks: (() => void)[] = [];
    const clock: Runtime['clock'] = {
      ...runtime.clock,
      schedule: (_after, fn) => {
        ticks.push(fn);
        return () => undefined;
      },
    };
    const p = await rpc.open(runtime, all[0]!.address);
    failureDetector.open({
      runtime: { ...runtime, clock },
      rpc: p,
      self: () => all[0]!,
      members: () => all,
      onSuspected: () => undefined,
    });
    const rounds = Math.max(1, Math.round(40_000 / n ** 2));
    let best = Infinity;
    for (let r = 0; r < 3; r++) {
      const begun = cpu();
      for (let i = 0; i < rounds; i++) {
        ticks.shift()!();
        await new Promise((fin) => setImmediate(fin));
      }
      best = Math.min(best, (cpu() - begun) / rounds);
    }
    return best;
  };
  const taken = (n: number): number => {
    const text = stringify(newsOf(version(withRoster(n))));
    return cpuOf(() => {
      const [v] = parse(text) as { value: unknown }[];
      if (!snapshotCodec.isValid(v!.value)) throw new Error('not sound');
      stringify([v]);
    }, 20);
  };
  /** Everything in the proportions of the size: 31.6 workers and 763 running turns for each gateway. */
  const scales = pick(sizes, [12, 24, 48, 95, 190], [2, 3, 4, 5]);
  const picks = (edges: number): number => {
    const b = balancerAt(edges, 763, Math.round(edges * 31.6));
    const preferred = b.workers()[0]!.id;
    return cpuOf(() => void b.select('chat', { preferred }), 10);
  };
  const siblingsIn = async (edges: number): Promise<number> => {
    const h = await hollow.open({ edges: 1, workers: Math.round(edges * 31.6) });
    const adm = (h!.of('gateway')[0]!.node!.dataPlane as DataPlane).admission;
    const l = Array.from({ length: edges - 1 }, (_, i) => ({
      ...loadOf(i + 1, 763, Math.round(edges * 31.6)),
      id: `e${i}`,
    }));
    return cpuOf(() => adm.setPeerLoads(l), 10);
  };
  const turns = pick(sizes, [1000, 4000, 8000, 16_000], [50, 100, 150, 200]);
  const workers = pick(sizes, [1500, 3000, 6000, 12_000], [50, 100, 150, 200]);
  const us_ = 'µs';
  return {
    failed: [],
    slopes: [
      slope('a round of heartbeats', 'process', us_, 'measured', await points(roster, round), 'power'),
      slope('a version read and passed on', 'process', us_, 'measured', await points(roster, taken)),
      slope('a worker picked', 'gateway', us_, 'measured', await points(scales, picks), 'power'),
      slope('loads of the other gateways taken in', 'gateway', us_, 'measured', await points(scales, siblingsIn)),
      slope(
        'a turn in the scheduler, by programs',
        'program',
        us_,
        'measured',
        await points(turns, (n) => turnCost(n, 500)),
      ),
      slope(
        'a turn in the scheduler, by workers',
        'worker',
        us_,
        'measured',
        await points(workers, (n) => turnCost(763, n)),
      ),
    ],
  };
};
