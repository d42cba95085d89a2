// Processor time of the parts that grow with the membership, the workers and the programs.
import { admissionScheduler } from '@thornsail/admission-scheduler';
import { configSchema } from '@thornsail/config-schema';
import { snapshotCodec } from '@thornsail/consensus';
import type { DataPlane } from '@thornsail/data-plane';
import { failureDetector } from '@thornsail/failure-detector';
import { loadBalancer } from '@thornsail/load-balancer';
import { rpc } from '@thornsail/rpc';
import { type Runtime, duration } from '@thornsail/runtime';
import { parse, stringify } from 'devalue';
import { hollowCluster, hollowConfig, workerList } from '../hollow.js';
import { cpu, cpuOf } from './cost.js';
import { loadOf, newWorld, updateOf, nodeOf, programsOf, version, withRoster } from './fixtures.js';
import { type Part, pick, points, slope } from './slope.js';

const service = 'model-0';

const balancerAt = (edges: number, running: number, workers: number): ReturnType<typeof loadBalancer.open> => {
  const balancer = loadBalancer.open({ now: () => 0, self: 'e000', rotation: () => 0 });
  const checked = configSchema.check({ ...hollowConfig(), classes: { chat: { kind: 'model', service, weight: 1 } } });
  if (!checked.ok) throw new Error('the capacity configuration is invalid');
  balancer.setConfig(checked.value);
  balancer.setWorkers(workerList(workers));
  balancer.setPeerLoads(
    Array.from({ length: edges - 1 }, (_, i) => ({
      id: `e${String(i + 1).padStart(3, '0')}`,
      load: loadOf(i + 1, running, workers).load,
    })),
  );
  return balancer;
};

/** Processor time of a turn of a known program, from arrival to end, while one in a hundred programs is paused. */
const turnCost = (programs: number, workers: number): number => {
  const scheduler = programsOf(programs, workers);
  for (const program of scheduler.programs.values())
    if (program.runningTurn === null && Number(program.id.slice(1)) % 100 === 1) {
      program.status = 'paused';
      program.tokens = 3_000_000;
    }
  let turnNumber = 0;
  return cpuOf(() => {
    const turn = `x${turnNumber}`;
    const limits = { timeLeft: duration.s(600), expectedService: duration.s(10), patience: duration.s(2) };
    const program = `p${((turnNumber++ * 2 + 3) % programs) | 1}`;
    admissionScheduler.step(
      scheduler,
      { type: 'turn-arrived', turn, program, tokens: 240_000, ...limits },
      duration.s(1),
    );
    admissionScheduler.step(
      scheduler,
      { type: 'turn-ended', turn, tokens: 240_000, final: false, worker: null },
      duration.s(1),
    );
    admissionScheduler.step(scheduler, { type: 'turn-abandoned', turn }, duration.s(1));
  }, 100);
};

/** Processor time of heartbeats, snapshots, worker selection, load reports and scheduled turns. */
export const processor: Part = async (sizes) => {
  const roster = pick(sizes, [50, 100, 200, 400, 800], [10, 20, 30, 40]);
  const heartbeatRound = async (count: number): Promise<number> => {
    const sim = newWorld();
    const nodes = Array.from({ length: count }, (_, i) => nodeOf(i));
    const members = nodes.map(({ id, place }) => ({ id, address: place, incarnation: 1 }));
    const runtime = sim.runtime(sim.host('10.0.0.1', 'z1'));
    const ticks: (() => void)[] = [];
    const clock: Runtime['clock'] = {
      ...runtime.clock,
      schedule: (_after, action) => {
        ticks.push(action);
        return () => undefined;
      },
    };
    const endpoint = await rpc.open(runtime, members[0]!.address);
    failureDetector.open({
      runtime: { ...runtime, clock },
      rpc: endpoint,
      self: () => members[0]!,
      members: () => members,
      onSuspected: () => undefined,
    });
    const rounds = Math.max(1, Math.round(40_000 / count ** 2));
    let best = Infinity;
    for (let attempt = 0; attempt < 3; attempt++) {
      const startedAt = cpu();
      for (let i = 0; i < rounds; i++) {
        ticks.shift()!();
        await new Promise((resolve) => setImmediate(resolve));
      }
      best = Math.min(best, (cpu() - startedAt) / rounds);
    }
    return best;
  };
  const versionCost = (n: number): number => {
    const text = stringify(updateOf(version(withRoster(n))));
    return cpuOf(() => {
      const [update] = parse(text) as { value: unknown }[];
      if (!snapshotCodec.isValid(update!.value)) throw new Error('the decoded snapshot is invalid');
      stringify([update]);
    }, 20);
  };
  /** Numbers of gateways, in the proportions of the design size: 31.6 workers and 763 running turns for each. */
  const scales = pick(sizes, [12, 24, 48, 95, 190], [2, 3, 4, 5]);
  const selectionCost = (edges: number): number => {
    const balancer = balancerAt(edges, 763, Math.round(edges * 31.6));
    const preferred = balancer.workers()[0]!.id;
    return cpuOf(() => void balancer.select('chat', { preferred }), 10);
  };
  const peerLoadCost = async (edges: number): Promise<number> => {
    const cluster = await hollowCluster.open({ edges: 1, workers: Math.round(edges * 31.6) });
    const admission = (cluster!.nodesOf('gateway')[0]!.node!.dataPlane as DataPlane).admission;
    const loads = Array.from({ length: edges - 1 }, (_, i) => ({
      ...loadOf(i + 1, 763, Math.round(edges * 31.6)),
      id: `e${i}`,
    }));
    return cpuOf(() => admission.setPeerLoads(loads), 10);
  };
  const turns = pick(sizes, [1000, 4000, 8000, 16_000], [50, 100, 150, 200]);
  const workers = pick(sizes, [1500, 3000, 6000, 12_000], [50, 100, 150, 200]);
  const unit = 'µs';
  return {
    failed: [],
    slopes: [
      slope('a round of heartbeats', 'process', unit, 'measured', await points(roster, heartbeatRound), 'power'),
      slope('a version read and passed on', 'process', unit, 'measured', await points(roster, versionCost)),
      slope('a worker picked', 'gateway', unit, 'measured', await points(scales, selectionCost), 'power'),
      slope('loads of the other gateways taken in', 'gateway', unit, 'measured', await points(scales, peerLoadCost)),
      slope(
        'a turn in the scheduler, by programs',
        'program',
        unit,
        'measured',
        await points(turns, (n) => turnCost(n, 500)),
      ),
      slope(
        'a turn in the scheduler, by workers',
        'worker',
        unit,
        'measured',
        await points(workers, (n) => turnCost(763, n)),
      ),
    ],
  };
};
