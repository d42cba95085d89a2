// Injects the losses of a repair run and starts the replacements (§6.5).
import type { Loss, ClusterProcess, RepairCluster } from './repair-cluster.js';

/** Selects the processes of a loss, among the members of the group if enough of them are up. */
const selectProcesses = (cluster: RepairCluster, loss: Loss): ClusterProcess[] => {
  const live = cluster.live(loss.role);
  const members = new Set(
    (loss.role === 'coordinator'
      ? cluster.leader()?.node?.membership.snapshot()?.members
      : cluster.leader()?.node?.membership.state()?.storeGroup.members
    )?.map((member) => member.at) ?? live.map((process) => process.address),
  );
  const liveMembers = live.filter((process) => members.has(process.address));
  const pool = liveMembers.length >= loss.count ? liveMembers : live;
  if (loss.selection === 'leader') return [cluster.leader() ?? pool[0]!];
  const candidates = pool.map((process) => ({
    process,
    sortKey: loss.selection === 'oldest' ? process.diskEmptySince : cluster.world.rand.next(),
  }));
  return candidates
    .sort((a, b) => a.sortKey - b.sortKey)
    .slice(0, loss.count)
    .map((candidate) => candidate.process);
};
/** Starts the process again at its address, with or without its disk, or an empty process at a new address. */
const restart = (cluster: RepairCluster, loss: Loss, process: ClusterProcess): void => {
  if (loss.atNewAddress) {
    const known = cluster.live('coordinator').slice(0, 3);
    cluster.add(
      loss.role,
      known.map((coordinator) => coordinator.address),
    );
    return;
  }
  cluster.world.start(process.host);
  process.firstStart = false;
  if (loss.how === 'disk') process.diskEmptySince = cluster.world.now();
  cluster.start(process);
};
/** Starts the replacements first, then drains the processes and removes their disks. */
const replacePlanned = (cluster: RepairCluster, loss: Loss, onReturned: () => void): void => {
  const leaving = selectProcesses(cluster, loss);
  const known = cluster.live('coordinator').slice(0, 3);
  for (let i = 0; i < leaving.length; i++)
    cluster.add(
      loss.role,
      known.map((coordinator) => coordinator.address),
    );
  cluster.world.scheduleAt(cluster.world.now() + loss.downtime, () => {
    onReturned();
    for (const process of leaving)
      void process.node?.drain().then(() => {
        process.node = undefined;
        cluster.world.kill(process.host, 'disk');
      });
  });
};
/** Injects a loss; `onReturned` is called when the processes start again, or when the drain of a planned one begins. */
export const injectLoss = (cluster: RepairCluster, loss: Loss, onReturned: () => void): void => {
  if (loss.how === 'planned') return replacePlanned(cluster, loss, onReturned);
  const { how } = loss;
  const lost = selectProcesses(cluster, loss);
  for (const process of lost) {
    process.node = undefined;
    cluster.world.kill(process.host, how);
  }
  cluster.world.scheduleAt(cluster.world.now() + loss.downtime, () => {
    for (const process of lost) restart(cluster, loss, process);
    onReturned();
  });
};
