// Snapshots per lost process, and how long the coordinators take to declare it dead.
import type { AgreedState } from '@thornsail/consensus';
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollowCluster } from '../hollow.js';
import { type Part, pick, slope } from './slope.js';

/** Kills several processes at once; counts the snapshots and the time until all are declared dead. */
export const processLoss: Part = async (sizes) => {
  const versions: Point[] = [];
  const detectionTimes: Point[] = [];
  const edges = sizes === 'small' ? 5 : 24;
  for (const lost of pick(sizes, [1, 2, 4, 8], [1, 2, 3, 4])) {
    const cluster = await hollowCluster.open({ edges });
    if (!cluster) throw new Error('the hollow nodes did not start');
    const lostNodes = [
      ...cluster.nodesOf('agent').slice(1, 1 + lost),
      ...cluster.nodesOf('gateway').slice(1, 1 + lost),
    ];
    const ids = lostNodes.map((node) => node.node!.id);
    const newestVersion = (): number =>
      Math.max(...cluster.nodesOf('coordinator').map((node) => node.node?.membership.index() ?? 0));
    const versionBefore = newestVersion();
    const startedAt = cluster.world.now();
    for (const node of lostNodes) cluster.kill(node);
    const nodeStates = (): AgreedState['nodes'] => cluster.leader()?.node?.membership.state()?.nodes ?? {};
    await cluster.until(() => ids.every((id) => nodeStates()[id]?.status === 'dead'), duration.s(20));
    versions.push([2 * lost, newestVersion() - versionBefore]);
    detectionTimes.push([2 * lost, duration.toMs(cluster.world.now() - startedAt)]);
  }
  return {
    failed: [],
    slopes: [
      slope('versions when processes are lost at once', 'process lost', 'versions', 'simulated', versions),
      slope('until the last of them is ruled dead', 'process lost', 'ms', 'simulated', detectionTimes),
    ],
  };
};
