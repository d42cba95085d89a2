// Runs a simulated deployment under load and collects the figures of its scheduler (§4).
import { duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { type Fleet, fleet } from '../fleet/index.js';
import { sumGatewayCounts } from '../scenario-support.js';

/** The seeds of the runs whose figures are summed. */
export const seeds = [1, 2, 3, 4];

/** Totals of one or several runs; `over` is the fraction of utilization samples above 1, `worst` the highest sample. */
type LoadResult = {
  turns: number;
  prompt: number;
  reprefilled: number;
  held: number;
  resumed: number;
  forced: number;
  rejected: number;
  gaveUp: number;
  over: number;
  worst: number;
  waits: number[];
};

/** Tokens of active programs by worker; counts each program once, because two edges list it shortly after it moved. */
const tokensAtWorkers = (sim: Fleet): Map<string, number> => {
  const latest = new Map<string, { worker: string; tokens: number; activeAt: number }>();
  for (const proc of sim.processes)
    for (const program of proc.node?.dataPlane?.admission.state().programs.values() ?? []) {
      if (program.status !== 'active' || program.assignedWorker === null) continue;
      if ((latest.get(program.id)?.activeAt ?? -1) >= program.lastActiveAt) continue;
      latest.set(program.id, {
        worker: program.assignedWorker,
        tokens: program.tokens,
        activeAt: program.lastActiveAt,
      });
    }
  const tokens = new Map<string, number>();
  for (const program of latest.values()) tokens.set(program.worker, (tokens.get(program.worker) ?? 0) + program.tokens);
  return tokens;
};

type UtilizationSampler = {
  sample: (sim: Fleet, capacity: number) => void;
  fraction: () => number;
  worst: () => number;
};
/** Samples the utilization of each worker: the fraction of samples above 1, and the maximum. */
const utilizationSampler = (): UtilizationSampler => {
  let over = 0;
  let samples = 0;
  let worst = 0;
  return {
    sample: (sim, capacity) => {
      const tokens = tokensAtWorkers(sim);
      for (const model of sim.models) {
        const utilization = (tokens.get(model.id) ?? 0) / capacity;
        samples += 1;
        if (utilization > 1) over += 1;
        worst = Math.max(worst, utilization);
      }
    },
    fraction: () => over / Math.max(1, samples),
    worst: () => worst,
  };
};

const simulateSeed = async (
  seed: number,
  shape: ShapeName,
  options: { plain?: boolean; scheduler?: Record<string, unknown>; callAt?: number; capacity: number; chats: number },
): Promise<LoadResult> => {
  const sim = await fleet.open({
    seed,
    shape,
    capacity: options.capacity,
    gap: duration.ms(900),
    ...(options.plain ? { plain: true } : {}),
    ...(options.callAt ? { gatewayLimit: options.callAt } : {}),
    config: (base) => ({ ...base, slots: { model: 64, app: 16 }, scheduler: { ...options.scheduler } }),
  });
  const load = sim.load({
    chats: options.chats,
    kept: Math.round(options.chats / 8),
    jobs: 0,
    spreadOver: duration.s(20),
  });
  const sampler = utilizationSampler();
  while (!load.done() && sim.world.now() < duration.s(120)) {
    await sim.world.run(sim.world.now() + duration.ms(250));
    sampler.sample(sim, options.capacity);
  }
  const entries = sim.requestLog.entries.filter((entry) => entry.program !== null);
  return {
    turns: sim.callers.summary.turns,
    prompt: entries.reduce((a, entry) => a + entry.prompt, 0),
    reprefilled: entries.reduce((a, entry) => a + entry.prefilled, 0),
    held: sumGatewayCounts(sim, 'held'),
    resumed: sumGatewayCounts(sim, 'resumed'),
    forced: sumGatewayCounts(sim, 'forced'),
    rejected: Object.values(sim.callers.summary.rejected).reduce((a, b) => a + b, 0),
    gaveUp: sim.callers.summary.gaveUp,
    over: sampler.fraction(),
    worst: sampler.worst(),
    waits: sim.callers.summary.chatWaits,
  };
};

/** Runs the load on every seed of `seeds` and combines the results. */
export const simulateSeeds = async (
  shape: ShapeName,
  options: Parameters<typeof simulateSeed>[2],
): Promise<LoadResult> => {
  const results = await Promise.all(seeds.map((seed) => simulateSeed(seed, shape, options)));
  const total = (key: Exclude<keyof LoadResult, 'waits'>): number => results.reduce((a, result) => a + result[key], 0);
  return {
    turns: total('turns'),
    prompt: total('prompt'),
    reprefilled: total('reprefilled'),
    held: total('held'),
    resumed: total('resumed'),
    forced: total('forced'),
    rejected: total('rejected'),
    gaveUp: total('gaveUp'),
    over: total('over') / results.length,
    worst: Math.max(...results.map((result) => result.worst)),
    waits: results.flatMap((result) => result.waits),
  };
};

/** Worker cache size in tokens and number of chats of a moderate load. */
export const moderateLoad: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 1500, chats: 260 },
  granite: { capacity: 3400, chats: 260 },
};

/** Worker cache size in tokens and number of chats of a heavy load. */
export const heavyLoad: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 700, chats: 260 },
  granite: { capacity: 1500, chats: 260 },
};
