// Versions for each process that is lost, and how long the coordinators take to rule it dead.
import type { AgreedState } from '@thornsail/consensus';
import { duration } from '@thornsail/runtime';
import type { Point } from '../fit.js';
import { hollow } from '../hollow.js';
import { type Part, pick, slope } from './slope.js';

export const losses: Part = async (sizes) => {
  const versions: Point[] = [];
  const took: Point[] = [];
  const edges = sizes === 'small' ? 5 : 24;
  for (const lost of pick(sizes, [1, 2, 4, 8], [1, 2, 3, 4])) {
    const h = await hollow.open({ edges });
    if (!h) throw new Error('the hollow nodes did not come up');
    const gone = [...h.of('agent').slice(1, 1 + lost), ...h.of('gateway').slice(1, 1 + lost)];
    const ids = gone.map((n) => n.node!.id);
    const seq = (): number => Math.max(...h.of('coordinator').map((n) => n.node?.membership.index() ?? 0));
    const before = seq();
    const begun = h.w.now();
    for (const n of gone) h.kill(n);
    const roster = (): AgreedState['nodes'] => h.head()?.node?.membership.state()?.nodes ?? {};
    await h.until(() => ids.every((id) => roster()[id]?.status === 'dead'), duration.s(20));
    versions.push([2 * lost, seq() - before]);
    took.push([2 * lost, duration.toMs(h.w.now() - begun)]);
  }
  return {
    failed: [],
    slopes: [
      slope('versions when processes are lost at once', 'process lost', 'versions', 'simulated', versions),
      slope('until the last of them is ruled dead', 'process lost', 'ms', 'simulated', took),
    ],
  };
};
