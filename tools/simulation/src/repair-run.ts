// Runs of repair under load with successive losses (§3.3, §6.5): measures the time until each group has its full
// redundancy again, and checks that no acknowledged change is lost.
import { invariant, duration, type Microseconds } from '@thornsail/runtime';
import { openRegisterLoad, openConfigurationLoad, verifyAcknowledged, type RegisterLoad } from './repair-load.js';
import { injectLoss } from './repair-losses.js';
import { openRepairCluster, runUntil, type Loss, type RepairPlan, type RepairCluster } from './repair-cluster.js';

/** The result of a run. */
export type RepairReport = {
  /** Acknowledged changes that could not be read back, violated invariants, and groups that are not full. */
  breaches: string[];
  /** For each loss: time from the restart, or from the drain, until the group is full and swept; Infinity if never. */
  fullAfter: Microseconds[];
  /** Number of acknowledged registers, plus the version of the newest acknowledged configuration. */
  acknowledged: number;
};

const formationTimeout = duration.s(12);
const pollInterval = duration.ms(10);
/** Number of concurrent register writes before the losses. */
const writeBatchSize = 50;

/** Writes the registers that exist before the first loss. */
const writeInitialState = async (cluster: RepairCluster, load: RegisterLoad, count: number): Promise<void> => {
  let written = 0;
  for (let i = 0; i < count; i += writeBatchSize) {
    const end = Math.min(count, i + writeBatchSize);
    for (let j = i; j < end; j++) void load.write(`state/${j}`).then(() => (written += 1));
    await runUntil(cluster, () => written >= end, duration.s(10));
  }
};
/** Injects the losses and runs until `end`; returns for each loss the time from the restart until its group is full. */
const runLosses = async (
  cluster: RepairCluster,
  losses: Loss[],
  startedAt: Microseconds,
  end: Microseconds,
): Promise<Microseconds[]> => {
  const { world } = cluster;
  const fullAfter: Microseconds[] = losses.map(() => Infinity);
  const returned: { loss: Loss; i: number; returnedAt: Microseconds }[] = [];
  for (const [i, loss] of losses.entries())
    world.scheduleAt(startedAt + loss.at, () =>
      injectLoss(cluster, loss, () => void returned.push({ loss, i, returnedAt: world.now() })),
    );
  while (world.now() < end) {
    await world.run(world.now() + pollInterval);
    for (const { loss, i, returnedAt } of returned)
      if (fullAfter[i] === Infinity && cluster.full(loss.role)) fullAfter[i] = world.now() - returnedAt;
  }
  return fullAfter;
};

/** Runs a plan: forms the groups, writes state, injects the losses under load, verifies the acknowledged changes. */
export const repairRun = async (plan: RepairPlan): Promise<RepairReport> => {
  invariant.clear();
  const cluster = openRepairCluster(plan);
  const formationTime = await runUntil(
    cluster,
    () => cluster.full('coordinator') && cluster.full('store'),
    formationTimeout,
  );
  if (formationTime === Infinity)
    return { breaches: ['the groups did not form within 12 s'], fullAfter: [], acknowledged: 0 };
  const registerLoad = openRegisterLoad(cluster);
  const configurationLoad = openConfigurationLoad(cluster);
  await writeInitialState(cluster, registerLoad, plan.registers);
  const startedAt = cluster.world.now();
  const lastReturn = Math.max(0, ...plan.losses.map((loss) => loss.at + loss.downtime));
  registerLoad.writeUntil(startedAt + lastReturn + duration.s(1));
  configurationLoad.pushUntil(startedAt + lastReturn + duration.s(1));
  const fullAfter = await runLosses(cluster, plan.losses, startedAt, startedAt + lastReturn + plan.settleFor);
  const breaches: string[] = [];
  for (const role of ['coordinator', 'store'] as const)
    if (!cluster.full(role)) breaches.push(`the group of ${role}s is not full`);
  breaches.push(
    ...invariant.breaches(),
    ...(await verifyAcknowledged(cluster, [...registerLoad.acknowledged.keys()], configurationLoad.newest())),
  );
  return { breaches, fullAfter, acknowledged: registerLoad.acknowledged.size + configurationLoad.newest() };
};
