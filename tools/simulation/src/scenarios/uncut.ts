// Scenario `uncut`: planned changes during running turns (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, waitForLoad } from '../scenario-support.js';

/** Changes of normal operation: a worker leaves, a configuration is pushed, gateways drain. */
export const uncut: Scenario = {
  rule: 'a turn that runs at a worker is never paused or cut off',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log, capacity: 1500, perToken: duration.ms(40) });
    const load = sim.load({ chats: 60, kept: 8, jobs: 20, spreadOver: duration.s(8) });
    const rng = sim.world.rand;
    const schedule = (after: Microseconds, action: () => void): void =>
      sim.world.scheduleAt(sim.world.now() + after, action);
    schedule(duration.s(2), () => sim.platform.leave(sim.layout.workers[rng.int(3)]!.id));
    schedule(
      duration.s(3),
      () =>
        void sim
          .push({ ...sim.shape.config, scheduler: { pauseThreshold: 0.5, pauseTarget: 0.3 } }, 1, 'two')
          .catch(() => undefined),
    );
    // Two gateways stop as on SIGTERM: they drain, then close.
    for (const [index, after] of [
      [rng.int(3), duration.s(4)],
      [3 + rng.int(4), duration.s(5)],
    ] as const)
      schedule(after, () => {
        const gateway = sim.process(gateways[index]!);
        const node = gateway.node;
        if (node)
          void node
            .drain()
            .then(() => node.close())
            .then(() => sim.world.kill(gateway.host, 'process'));
      });
    await waitForLoad(sim, load);
    const outcome = outcomeOf(sim);
    if (sim.callers.summary.cut > 0)
      outcome.breaches.push(`${sim.callers.summary.cut} streams were cut although nothing failed`);
    return outcome;
  },
};
