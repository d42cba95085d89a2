// Scenario `workers`: replacement of all workers and an unreliable platform API (§9.4).
import { duration } from '@thornsail/runtime';
import type { ListedWorker } from '@thornsail/test-harness';
import { fleet } from '../fleet/index.js';
import { runAfter } from '../operator-calls.js';
import { type Scenario, outcomeOf, replaceWorker, run, timeUntilServing, waitForLoad } from '../scenario-support.js';

/** Replaces all workers one at a time, while the platform API answers slowly, wrongly or not at all. */
export const workers: Scenario = {
  rule: 'workers replaced one at a time, some without notice, frozen or with bad reports; an unreliable platform API',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log, stalls: true });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 110, kept: 14, jobs: 110, spreadOver: duration.s(22) });
    const replace = async (worker: ListedWorker, i: number): Promise<void> => {
      const standIn = await replaceWorker(sim, worker, i, rng.int(4) === 0 ? 'drop' : 'leave');
      if (rng.int(3) === 0) standIn.faults.report = rng.int(2) ? 'rubbish' : 'silent';
    };
    for (const [i, worker] of sim.layout.workers.entries())
      runAfter(
        sim,
        duration.ms(500) + Math.round((i * duration.s(18)) / sim.layout.workers.length),
        () => void replace(worker, i),
      );
    // Two random workers freeze for two seconds each.
    for (let i = 0; i < 2; i++)
      runAfter(sim, duration.s(3) + rng.int(duration.s(10)), () => {
        const host = sim.hostOf(sim.layout.workers[rng.int(sim.layout.workers.length)]!.at.split(':')[0]!);
        sim.world.freeze(host);
        runAfter(sim, duration.s(2), () => sim.world.thaw(host));
      });
    const platformFaults = ['slow', 'failing', 'silent', 'rubbish', 'empty'] as const;
    for (const [i, mood] of platformFaults.entries()) {
      runAfter(sim, duration.s(2 + i * 4), () => (sim.platform.behavior.now = mood));
      runAfter(sim, duration.s(4 + i * 4), () => (sim.platform.behavior.now = 'ok'));
    }
    await run(sim, duration.s(23));
    const recoveryTime = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    const summary = sim.callers.summary;
    const noWorker = summary.rejected['no_worker'] ?? 0;
    const outcome = outcomeOf(sim, {
      no_worker: noWorker,
      gave_up_of: summary.chats + summary.storedChats + summary.jobs,
      back_ms: duration.toMs(recoveryTime),
    });
    if (noWorker > 0)
      outcome.breaches.push(`${noWorker} requests were rejected for lack of a worker although workers were available`);
    if (summary.gaveUp * 20 > summary.chats + summary.storedChats + summary.jobs)
      outcome.breaches.push(`${summary.gaveUp} callers gave up`);
    return outcome;
  },
};
