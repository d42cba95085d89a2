// The scheduler against a plain least-loaded choice of worker (§4), and several edges against one (§4.4).
import { duration } from '@thornsail/runtime';
import type { ShapeName } from '@thornsail/test-harness';
import { days, load, moderate, seeds } from './day.js';
import { head, out, pct, row } from './table.js';

export const scheduler = async (shape: ShapeName): Promise<void> => {
  out(`\n### Scheduler against a plain least-loaded lane, ${shape} (simulated, ${seeds.length} seeds)\n`);
  head(
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
  for (const [level, at] of [
    ['moderate', moderate[shape]],
    ['heavy', load[shape]],
  ] as const)
    for (const [name, o] of [
      ['least loaded', { plain: true }],
      [
        'programs, affinity only (no pause)',
        { scheduler: { pauseThreshold: 1, pauseTarget: 1, resumeHysteresis: 0, intervalSeconds: 600 } },
      ],
      ['programs, tick 5 s only', { scheduler: { resumeOnRoom: false } }],
      ['programs, tick 5 s and resume on room', {}],
      ['programs, tick 1 s only', { scheduler: { intervalSeconds: 1, resumeOnRoom: false } }],
    ] as const) {
      const d = await days(shape, { ...at, ...o });
      row(
        level,
        name,
        d.turns,
        d.reprefilled,
        `${((100 * d.reprefilled) / d.prompt).toFixed(1)}%`,
        d.held,
        d.resumed,
        d.forced,
        d.rejected,
        d.gaveUp,
        duration.toMs(pct(d.waits, 0.5)),
        duration.toMs(pct(d.waits, 0.95)),
        'plain' in o ? 'not counted' : `${(100 * d.over).toFixed(2)}%`,
      );
    }
};

export const edges = async (shape: ShapeName): Promise<void> => {
  out(`\n### Several edges on the same workers against one edge, ${shape} (simulated, ${seeds.length} seeds)\n`);
  head('load', 'edges taking calls', 'turns', 'held', 'forced', 'worker-samples over capacity', 'worst utilization');
  for (const [name, o] of [
    ['1', { callAt: 1 }],
    ['3', { callAt: 3 }],
    ['7', { callAt: 7 }],
  ] as const)
    for (const [level, at] of [
      ['moderate', moderate[shape]],
      ['heavy', load[shape]],
    ] as const) {
      const d = await days(shape, { ...at, ...o });
      row(level, name, d.turns, d.held, d.forced, `${(100 * d.over).toFixed(2)}%`, d.worst.toFixed(2));
    }
};
