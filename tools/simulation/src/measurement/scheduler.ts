// Compares the scheduler with plain least-loaded selection (§4), and several edges with one (§4.4).
import { duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { simulateSeeds, heavyLoad, moderateLoad, seeds } from './day.js';
import { tableHead, printLine, quantile, row } from './table.js';

/** Prints the figures of the scheduler's variants and of least-loaded selection. */
export const scheduler = async (shape: ShapeName): Promise<void> => {
  printLine(`\n### Scheduler against a plain least-loaded lane, ${shape} (simulated, ${seeds.length} seeds)\n`);
  tableHead(
    'load',
    'lane',
    'turns',
    'prompt tokens re-prefilled',
    'of all',
    'held',
    'resumed',
    'forced',
    'rejected',
    'gave up',
    'first piece p50 ms',
    'p95 ms',
    'worker-samples over capacity',
  );
  for (const [level, loadLevel] of [
    ['moderate', moderateLoad[shape]],
    ['heavy', heavyLoad[shape]],
  ] as const)
    for (const [name, variant] of [
      ['least loaded', { plain: true }],
      [
        'programs, affinity only (no pause)',
        { scheduler: { pauseThreshold: 1, pauseTarget: 1, resumeHysteresis: 0, intervalSeconds: 600 } },
      ],
      ['programs, tick 5 s only', { scheduler: { resumeOnRoom: false } }],
      ['programs, tick 5 s and resume on room', {}],
      ['programs, tick 1 s only', { scheduler: { intervalSeconds: 1, resumeOnRoom: false } }],
    ] as const) {
      const result = await simulateSeeds(shape, { ...loadLevel, ...variant });
      row(
        level,
        name,
        result.turns,
        result.reprefilled,
        `${((100 * result.reprefilled) / result.prompt).toFixed(1)}%`,
        result.held,
        result.resumed,
        result.forced,
        result.rejected,
        result.gaveUp,
        duration.toMs(quantile(result.waits, 0.5)),
        duration.toMs(quantile(result.waits, 0.95)),
        'plain' in variant ? 'not counted' : `${(100 * result.over).toFixed(2)}%`,
      );
    }
};

/** Prints the figures of the scheduler by the number of edges that receive calls. */
export const edges = async (shape: ShapeName): Promise<void> => {
  printLine(`\n### Several edges on the same workers against one edge, ${shape} (simulated, ${seeds.length} seeds)\n`);
  tableHead(
    'load',
    'edges taking calls',
    'turns',
    'held',
    'forced',
    'worker-samples over capacity',
    'worst utilization',
  );
  for (const [name, variant] of [
    ['1', { callAt: 1 }],
    ['3', { callAt: 3 }],
    ['7', { callAt: 7 }],
  ] as const)
    for (const [level, loadLevel] of [
      ['moderate', moderateLoad[shape]],
      ['heavy', heavyLoad[shape]],
    ] as const) {
      const result = await simulateSeeds(shape, { ...loadLevel, ...variant });
      row(
        level,
        name,
        result.turns,
        result.held,
        result.forced,
        `${(100 * result.over).toFixed(2)}%`,
        result.worst.toFixed(2),
      );
    }
};
