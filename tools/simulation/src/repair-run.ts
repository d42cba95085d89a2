// Timed runs of repair (§3.3, §6.5): coordinators and stores in the simulated world, under load, with losses one after
// another. Shows how long a group bears less than it should, and whether anything acknowledged is lost.
import { invariant, duration, type Microseconds } from '@thornsail/runtime';
import { openLoad, openPushes, readBack, type RegisterLoad } from './repair-load.js';
import { lose } from './repair-losses.js';
import { openStage, runUntil, type Loss, type RepairPlan, type RepairStage } from './repair-stage.js';

/** What a run has shown. */
export type RepairReport = {
  /** Acknowledged registers and configurations that were not read back, invariants broken, groups not full. */
  breaches: string[];
  /** For each loss: microseconds from the newcomers' start until the group is full and swept; Infinity if never. */
  fullAfter: Microseconds[];
  acknowledged: number;
};

const formWithin = duration.s(12);
const step = duration.ms(10);
/** Registers that are written at once before the losses. */
const batch = 50;

/** Writes the registers that are there before the first loss. */
const writeState = async (stage: RepairStage, load: RegisterLoad, count: number): Promise<void> => {
  let written = 0;
  for (let i = 0; i < count; i += batch) {
    const end = Math.min(count, i + batch);
    for (let j = i; j < end; j++) void load.write(`state/${j}`).then(() => (written += 1));
    await runUntil(stage, () => written >= end, duration.s(10));
  }
};
/** Plays the losses until `end`; for each, the time from the return until its group is full. */
const playLosses = async (
  stage: RepairStage,
  losses: Loss[],
  begun: Microseconds,
  end: Microseconds,
): Promise<Microseconds[]> => {
  const { world } = stage;
  const fullAfter: Microseconds[] = losses.map(() => Infinity);
  const returned: { loss: Loss; i: number; at: Microseconds }[] = [];
  for (const [i, loss] of losses.entries())
    world.scheduleAt(begun + loss.at, () => lose(stage, loss, () => void returned.push({ loss, i, at: world.now() })));
  while (world.now() < end) {
    await world.run(world.now() + step);
    for (const { loss, i, at } of returned)
      if (fullAfter[i] === Infinity && stage.full(loss.role)) fullAfter[i] = world.now() - at;
  }
  return fullAfter;
};

/** One run: formation, a state under load, the losses in their order, and what was acknowledged read back. */
export const repairRun = async (plan: RepairPlan): Promise<RepairReport> => {
  invariant.clear();
  const stage = openStage(plan);
  const formed = await runUntil(stage, () => stage.full('coordinator') && stage.full('store'), formWithin);
  if (formed === Infinity) return { breaches: ['not formed within 12 s'], fullAfter: [], acknowledged: 0 };
  const load = openLoad(stage);
  const pushes = openPushes(stage);
  await writeState(stage, load, plan.registers);
  const begun = stage.world.now();
  const last = Math.max(0, ...plan.losses.map((loss) => loss.at + loss.backAfter));
  load.every(begun + last + duration.s(1));
  pushes.every(begun + last + duration.s(1));
  const fullAfter = await playLosses(stage, plan.losses, begun, begun + last + plan.settleFor);
  const breaches: string[] = [];
  for (const role of ['coordinator', 'store'] as const)
    if (!stage.full(role)) breaches.push(`the group of ${role}s is not full`);
  breaches.push(...invariant.breaches(), ...(await readBack(stage, [...load.acknowledged.keys()], pushes.newest())));
  return { breaches, fullAfter, acknowledged: load.acknowledged.size + pushes.newest() };
};
