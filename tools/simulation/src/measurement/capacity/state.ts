// Sizes of messages that nodes send in full: snapshots, worker lists, load reports, digests.
import type { AgreedState } from '@thornsail/consensus';
import type { GatewayLoad } from '@thornsail/data-plane';
import type { Point } from '../fit.js';
import { workerList } from '../hollow.js';
import {
  configOf,
  frameBytes,
  loadOf,
  maxWorkers,
  updateOf,
  nodeOf,
  programIds,
  version,
  withConfig,
  withRoster,
} from './fixtures.js';
import { type Part, type Slope, pick, points, slope } from './slope.js';

/** Bytes of snapshots, worker lists, load reports and digests by what they grow with. */
export const state: Part = async (sizes) => {
  const bytes = (agreed: AgreedState): Promise<number> => frameBytes('beam.news', updateOf(version(agreed)));
  const load = (edgeLoad: GatewayLoad): Promise<number> =>
    frameBytes('load', { from: nodeOf(20).id, mark: 99, load: edgeLoad });
  const roster = pick(sizes, [50, 100, 200, 400, 800], [10, 20, 30, 40]);
  const smallState = withRoster(6);
  const sized = (kind: 'classes' | 'routes' | 'services', count: number): AgreedState =>
    withConfig(smallState, configOf({ classes: 10, routes: 10, services: 10, [kind]: count }));
  const counts = pick(sizes, [50, 100, 200, 400], [12, 14, 16, 18]);
  const turns = pick(sizes, [50, 100, 200, 400, 800], [5, 10, 15, 20]);
  const workerCounts = pick(sizes, [1500, 3000, 6000, 12_000], [50, 100, 150, 200]);
  const bareLoad = loadOf(0, 1, maxWorkers);
  const digest = (n: number): Promise<number> =>
    frameBytes('beam.digest', {
      digest: Object.fromEntries(Array.from({ length: n }, (_, i) => [`uses/${nodeOf(i + 19).id}`, 1000 + i])),
      leaf: false,
    });
  const line = (name: string, per: string, samples: Point[]): Slope => slope(name, per, 'bytes', 'measured', samples);
  return {
    failed: [],
    slopes: [
      line('a version, by roster', 'process', await points(roster, (n) => bytes(withRoster(n)))),
      line('a version, by classes', 'class', await points(counts, (n) => bytes(sized('classes', n)))),
      line('a version, by routes', 'route', await points(counts, (n) => bytes(sized('routes', n)))),
      line('a version, by services', 'service', await points(counts, (n) => bytes(sized('services', n)))),
      line(
        'the list of workers',
        'worker',
        await points(workerCounts, (n) => {
          const value = { list: workerList(n) };
          return frameBytes('beam.news', [{ name: `workers/${nodeOf(21).id}`, mark: 9, value }]);
        }),
      ),
      line('a load message, by turns that run', 'turn', await points(turns, (n) => load(loadOf(0, n, maxWorkers)))),
      line(
        'a load message, by programs taken over',
        'program',
        await points(turns, (n) => load({ ...bareLoad, took: programIds(n) })),
      ),
      line('a digest', 'lasting item', await points(roster, digest)),
    ],
  };
};
