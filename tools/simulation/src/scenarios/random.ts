// Scenario `random`: combinations of two or three faults (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  stores,
  pickLeavingWorker,
  run,
  timeUntilServing,
  waitForLoad,
  coordinators,
} from '../scenario-support.js';

/** Injects two or three faults of random kinds in one run. */
export const random: Scenario = {
  rule: 'two or three faults of any kind in one run break no guarantee',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 50, kept: 8, jobs: 50, spreadOver: duration.s(10) });
    const names = sim.processes.map((proc) => proc.name);
    const pickName = (): string => names[rng.int(names.length)]!;
    const lostDisks = new Set<string>();
    const faults: (() => void)[] = [
      () => {
        const name = pickName();
        if (sim.process(name).host.alive) {
          sim.kill(name, 'power');
          sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(3)), () => sim.start(name));
        }
      },
      () => {
        const name = pickName();
        if (sim.process(name).host.alive && !sim.process(name).host.frozen)
          sim.freeze(name, duration.ms(300) + rng.int(duration.s(4)));
      },
      () => {
        const a = names.filter(() => rng.int(2) === 0);
        const b = names.filter((name) => !a.includes(name));
        const heal = sim.partition(a, b);
        sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(4)), heal);
      },
      () => {
        const name = [...stores, ...coordinators][rng.int(6)]!;
        if (lostDisks.size === 0 && sim.process(name).host.alive) {
          lostDisks.add(name);
          sim.kill(name, 'disk');
          sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(2)), () => sim.start(name));
        }
      },
      () => sim.platform.leave(pickLeavingWorker(sim).id),
      () => {
        sim.world.setFrameFaults(rng.next() * 0.2, rng.int(duration.ms(30)));
        sim.world.scheduleAt(sim.world.now() + duration.s(3), () => sim.world.setFrameFaults(0, 0));
      },
      () => {
        sim.process(pickName()).host.clockSkew = (rng.int(2) === 0 ? 1 : -1) * duration.s(rng.int(10_000_000));
      },
      () => {
        sim.world.setExtraDelay(duration.ms(rng.int(60)));
        sim.world.scheduleAt(sim.world.now() + duration.s(3), () => sim.world.setExtraDelay(0));
      },
      () =>
        void sim
          .push(
            { ...sim.shape.config, slots: { model: 8 + rng.int(8), app: 16 } },
            1,
            'r',
            gatewayAddress(sim, rng.int(7)),
          )
          .catch(() => undefined),
    ];
    const faultCount = 2 + rng.int(2);
    for (let i = 0; i < faultCount; i++)
      sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(8)), faults[rng.int(faults.length)]!);
    await run(sim, duration.s(13));
    const recoveryTime = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    return outcomeOf(sim, { back_ms: duration.toMs(recoveryTime) });
  },
};
