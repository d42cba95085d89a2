// Scenario `storm`: many faults in one run (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  patchClasses,
  run,
  timeUntilServing,
  waitForLoad,
} from '../scenario-support.js';

/** Injects many faults of random kinds, under a heavier load and on a lossy network. */
export const storm: Scenario = {
  rule: 'many faults of any kind, one after another, under a heavier load and on a lossy network',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({
      seed,
      shape,
      log,
      capacity: shape === 'lautoka' ? 900 : 2000,
      config: patchClasses({ '*model': { budgetTokens: 1500 } }),
    });
    const rng = sim.world.rand;
    sim.world.setFrameFaults(0.01 + rng.next() * 0.04, duration.ms(5));
    for (const model of sim.models) {
      model.faults.abortStream = 0.03;
      model.faults.loseResponse = 0.02;
    }
    for (const app of sim.apps) app.faults.loseResponse = 0.05;
    const load = sim.load({ chats: 150, kept: 20, jobs: 150, spreadOver: duration.s(24) });
    const endsAt = sim.world.now() + duration.s(24);
    let lostDisk = false;
    while (sim.world.now() < endsAt) {
      await run(sim, duration.ms(300) + rng.int(duration.ms(1200)));
      const names = sim.processes.map((peer) => peer.name);
      const proc = sim.process(names[rng.int(names.length)]!);
      const fault = rng.int(6);
      // At most one coordinator or store is down at a time, which is the failure model; edges fail without limit.
      const core = sim.processes.filter(({ role }) => role === 'coordinator' || role === 'store');
      const coreHealthy = core.every((peer) => peer.host.alive && !peer.host.frozen);
      const isCore = proc.role === 'coordinator' || proc.role === 'store';
      if (isCore && !coreHealthy) continue;
      if (fault <= 1 && proc.host.alive) {
        sim.kill(proc.name, 'power');
        sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(2)), () => sim.start(proc.name));
      } else if (fault === 2 && proc.host.alive && !proc.host.frozen)
        sim.freeze(proc.name, duration.ms(200) + rng.int(duration.s(3)));
      else if (fault === 3) {
        const heal = sim.partition(
          [proc.name],
          names.filter((name) => name !== proc.name && rng.int(2) === 0),
        );
        sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(3)), heal);
      } else if (fault === 4 && !lostDisk && coreHealthy) {
        lostDisk = true;
        const lost = core[rng.int(core.length)]!;
        sim.kill(lost.name, 'disk');
        sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(1)), () => sim.start(lost.name));
      } else if (fault === 5)
        void sim
          .push(
            { ...sim.shape.config, limits: { onceKeepSeconds: 1000 + rng.int(9000) } },
            1 + rng.int(3),
            `s${sim.world.now()}`,
            gatewayAddress(sim, rng.int(7)),
          )
          .catch(() => undefined);
    }
    sim.world.setFrameFaults(0, 0);
    await run(sim, duration.s(4));
    const recoveryTime = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    return outcomeOf(sim, { back_ms: duration.toMs(recoveryTime) });
  },
};
