// Scenario `once`: concurrent requests with the same idempotency key (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, run } from '../scenario-support.js';

/** Sends jobs with the same key to several gateways concurrently, while results are lost and gateways fail. */
export const once: Scenario = {
  rule: 'a request that may run only once never runs twice',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    for (const app of sim.apps) app.faults.loseResponse = 0.2;
    let inFlight = 0;
    const sendThreeTimes = async (key: string): Promise<void> => {
      inFlight += 1;
      // The same key at two gateways concurrently, and once more afterwards.
      await Promise.all([
        sim.callers.job({ urgent: true, once: true, key }),
        sim.callers.job({ urgent: true, once: true, key }),
      ]);
      await sim.callers.job({ urgent: true, once: true, key });
      inFlight -= 1;
    };
    for (let i = 0; i < 60; i++)
      sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(6)), () => void sendThreeTimes(`once-${i}`));
    for (let i = 0; i < 4; i++)
      sim.world.scheduleAt(sim.world.now() + duration.s(0.5) + rng.int(duration.s(5)), () => {
        const gateway = gateways[rng.int(7)]!;
        if (!sim.process(gateway).host.alive || sim.process(gateway).host.frozen) return;
        if (rng.int(2) === 0) {
          sim.kill(gateway);
          sim.world.scheduleAt(sim.world.now() + duration.s(1), () => sim.start(gateway));
        } else sim.freeze(gateway, duration.ms(900 + rng.int(2000)));
      });
    await run(sim, duration.s(8));
    await sim.until('the callers to finish', () => inFlight === 0, duration.s(60));
    return outcomeOf(sim);
  },
};
