// The cost of a turn in syncs, frames and ballots.
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { sumGatewayCounts } from '../scenario-support.js';
import { tableHead, printLine, row } from './table.js';

/** Prints syncs, frames and ballots of a turn by deployment shape and kind of load. */
export const turns = async (): Promise<void> => {
  printLine('\n### What a turn costs (simulated; an idle fleet of the same length is subtracted)\n');
  tableHead(
    'shape',
    'load',
    'turns',
    'syncs per turn',
    'frames per turn',
    'full ballots per turn',
    'quick ballots per turn',
  );
  for (const shape of ['lautoka', 'granite'] as const)
    for (const [name, mix] of [
      ['short chats', { chats: 60, kept: 0, jobs: 0 }],
      ['kept sessions', { chats: 0, kept: 20, jobs: 0 }],
      ['jobs, half of them once', { chats: 0, kept: 0, jobs: 200 }],
    ] as const) {
      const sim = await fleet.open({ seed: 1, shape });
      const idle = await fleet.open({ seed: 1, shape });
      const load = sim.load({ ...mix, spreadOver: duration.s(5) });
      const [syncsBefore, framesBefore] = [sim.world.syncs(), sim.world.frames()];
      await sim.until('the load', load.done, duration.s(60));
      const span = sim.world.now();
      const [idleSyncsBefore, idleFramesBefore] = [idle.world.syncs(), idle.world.frames()];
      await idle.world.run(span);
      const turnCount = sim.callers.summary.turns + sim.callers.summary.jobs;
      row(
        shape,
        name,
        turnCount,
        ((sim.world.syncs() - syncsBefore - (idle.world.syncs() - idleSyncsBefore)) / turnCount).toFixed(1),
        ((sim.world.frames() - framesBefore - (idle.world.frames() - idleFramesBefore)) / turnCount).toFixed(1),
        (sumGatewayCounts(sim, 'register_rounds') / turnCount).toFixed(2),
        (sumGatewayCounts(sim, 'register_quick') / turnCount).toFixed(2),
      );
    }
};
