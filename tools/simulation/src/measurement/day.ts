// A loaded deployment in the simulator, and what its scheduler did (§4).
import { duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { type Fleet, fleet } from '../fleet/index.js';
import { sumGatewayCounts } from '../scenario-support.js';

export const seeds = [1, 2, 3, 4];

type Day = {
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

/** Tokens of active programs at each worker; each program once: for a moment after it moved, two edges count it. */
const tokensAtWorkers = (f: Fleet): Map<string, number> => {
  const last = new Map<string, { worker: string; tokens: number; activeAt: number }>();
  for (const p of f.processes)
    for (const x of p.node?.dataPlane?.admission.state().programs.values() ?? []) {
      if (x.status !== 'active' || x.assignedWorker === null) continue;
      if ((last.get(x.id)?.activeAt ?? -1) >= x.lastActiveAt) continue;
      last.set(x.id, { worker: x.assignedWorker, tokens: x.tokens, activeAt: x.lastActiveAt });
    }
  const tokens = new Map<string, number>();
  for (const x of last.values()) tokens.set(x.worker, (tokens.get(x.worker) ?? 0) + x.tokens);
  return tokens;
};

type OverCapacity = { sample: (f: Fleet, capacity: number) => void; part: () => number; worst: () => number };
/** Samples of each worker's utilization: the part of them above 1, and the highest. */
const overCapacity = (): OverCapacity => {
  let over = 0;
  let samples = 0;
  let worst = 0;
  return {
    sample: (f, capacity) => {
      const tokens = tokensAtWorkers(f);
      for (const model of f.models) {
        const utilization = (tokens.get(model.id) ?? 0) / capacity;
        samples += 1;
        if (utilization > 1) over += 1;
        worst = Math.max(worst, utilization);
      }
    },
    part: () => over / Math.max(1, samples),
    worst: () => worst,
  };
};

const day = async (
  seed: number,
  shape: ShapeName,
  o: { plain?: boolean; scheduler?: Record<string, unknown>; callAt?: number; capacity: number; chats: number },
): Promise<Day> => {
  const f = await fleet.open({
    seed,
    shape,
    capacity: o.capacity,
    gap: duration.ms(900),
    ...(o.plain ? { plain: true } : {}),
    ...(o.callAt ? { gatewayLimit: o.callAt } : {}),
    config: (c) => ({ ...c, slots: { model: 64, app: 16 }, scheduler: { ...o.scheduler } }),
  });
  const l = f.load({ chats: o.chats, kept: Math.round(o.chats / 8), jobs: 0, spreadOver: duration.s(20) });
  const over = overCapacity();
  while (!l.done() && f.world.now() < duration.s(120)) {
    await f.world.run(f.world.now() + duration.ms(250));
    over.sample(f, o.capacity);
  }
  const e = f.requestLog.entries.filter((x) => x.program !== null);
  return {
    turns: f.callers.summary.turns,
    prompt: e.reduce((a, x) => a + x.prompt, 0),
    reprefilled: e.reduce((a, x) => a + x.prefilled, 0),
    held: sumGatewayCounts(f, 'held'),
    resumed: sumGatewayCounts(f, 'resumed'),
    forced: sumGatewayCounts(f, 'forced'),
    rejected: Object.values(f.callers.summary.rejected).reduce((a, b) => a + b, 0),
    gaveUp: f.callers.summary.gaveUp,
    over: over.part(),
    worst: over.worst(),
    waits: f.callers.summary.chatWaits,
  };
};

export const days = async (shape: ShapeName, o: Parameters<typeof day>[2]): Promise<Day> => {
  const all = await Promise.all(seeds.map((s) => day(s, shape, o)));
  const add = (k: Exclude<keyof Day, 'waits'>): number => all.reduce((a, d) => a + d[k], 0);
  return {
    turns: add('turns'),
    prompt: add('prompt'),
    reprefilled: add('reprefilled'),
    held: add('held'),
    resumed: add('resumed'),
    forced: add('forced'),
    rejected: add('rejected'),
    gaveUp: add('gaveUp'),
    over: add('over') / all.length,
    worst: Math.max(...all.map((d) => d.worst)),
    waits: all.flatMap((d) => d.waits),
  };
};

export const moderate: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 1500, chats: 260 },
  granite: { capacity: 3400, chats: 260 },
};

export const load: Record<ShapeName, { capacity: number; chats: number }> = {
  lautoka: { capacity: 700, chats: 260 },
  granite: { capacity: 1500, chats: 260 },
};
