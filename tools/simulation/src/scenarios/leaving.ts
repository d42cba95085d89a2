// Scenario `leaving`: workers that the platform marks as leaving (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, edges, outcomeOf, gateways, stores, waitForLoad, coordinators } from '../scenario-support.js';

/** Marks workers as leaving while the coordinators are partitioned away and a gateway is frozen. */
export const leaving: Scenario = {
  rule: 'no new request is sent to a worker that has been leaving for three seconds',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log, capacity: 900, gap: duration.ms(300) });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 120, kept: 6, jobs: 60, spreadOver: duration.s(12) });
    const schedule = (after: Microseconds, action: () => void): void =>
      sim.world.scheduleAt(sim.world.now() + after, action);
    const heals: (() => void)[] = [];
    schedule(duration.s(1), () =>
      heals.push(sim.partition(coordinators, [...gateways, ...edges.map((edge) => `agent-${edge}`), ...stores])),
    );
    schedule(duration.s(1.5), () => sim.kill(`agent-edge${1 + rng.int(7)}`));
    for (let i = 0; i < 4; i++) schedule(duration.s(2 + i), () => sim.platform.leave(sim.layout.workers[i * 2]!.id));
    const gateway = gateways[rng.int(7)]!;
    schedule(duration.s(3) - duration.ms(rng.int(300)), () => sim.freeze(gateway, duration.s(4.5)));
    schedule(duration.s(9), () => heals.forEach((heal) => heal()));
    await waitForLoad(sim, load);
    return outcomeOf(sim);
  },
};
