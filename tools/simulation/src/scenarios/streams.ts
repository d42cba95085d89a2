// Scenario `streams`: interrupted streams (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, waitForLoad } from '../scenario-support.js';

/** Workers end within a stream or lose results, and gateways are killed. */
export const streams: Scenario = {
  rule: 'a stream never skips, repeats or splices output, and a truncated one never looks complete',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    for (const model of sim.models) {
      model.faults.abortStream = 0.15;
      model.faults.loseResponse = 0.05;
    }
    const load = sim.load({ chats: 80, kept: 10, jobs: 10, spreadOver: duration.s(6) });
    for (let i = 0; i < 3; i++)
      sim.world.scheduleAt(sim.world.now() + duration.s(1) + rng.int(duration.s(5)), () => {
        const gateway = gateways[rng.int(7)]!;
        if (sim.process(gateway).host.alive) {
          sim.kill(gateway);
          sim.world.scheduleAt(sim.world.now() + duration.s(1), () => sim.start(gateway));
        }
      });
    await waitForLoad(sim, load);
    const outcome = outcomeOf(sim);
    if (sim.callers.summary.cut === 0) outcome.breaches.push('no stream was cut, so nothing was verified');
    return outcome;
  },
};
