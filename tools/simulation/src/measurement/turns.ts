// What a turn costs in syncs, frames and ballots.
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { sumGatewayCounts } from '../scenario-support.js';
import { head, out, row } from './table.js';

export const turns = async (): Promise<void> => {
  out('\n### What a turn costs (simulated; an idle fleet of the same length is subtracted)\n');
  head(
    'shape',
    'load',
    'turns',
    'syncs per turn',
    'frames per turn',
    'full ballots per turn',
    'quick ballots per turn',
  );
  for (const shape of ['lautoka', 'granite'] as const)
    for (const [name, o] of [
      ['short chats', { chats: 60, kept: 0, jobs: 0 }],
      ['kept sessions', { chats: 0, kept: 20, jobs: 0 }],
      ['jobs, half of them once', { chats: 0, kept: 0, jobs: 200 }],
    ] as const) {
      const f = await fleet.open({ seed: 1, shape });
      const idle = await fleet.open({ seed: 1, shape });
      const l = f.load({ ...o, spreadOver: duration.s(5) });
      const [s0, fr0] = [f.world.syncs(), f.world.frames()];
      await f.until('the load', l.done, duration.s(60));
      const span = f.world.now();
      const [si, fi] = [idle.world.syncs(), idle.world.frames()];
      await idle.world.run(span);
      const n = f.callers.summary.turns + f.callers.summary.jobs;
      row(
        shape,
        name,
        n,
        ((f.world.syncs() - s0 - (idle.world.syncs() - si)) / n).toFixed(1),
        ((f.world.frames() - fr0 - (idle.world.frames() - fi)) / n).toFixed(1),
        (sumGatewayCounts(f, 'register_rounds') / n).toFixed(2),
        (sumGatewayCounts(f, 'register_quick') / n).toFixed(2),
      );
    }
};
