// Scenario `clocks`: wall clocks that jump (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type AcknowledgedPush, runAfter, openOperator } from '../operator-calls.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  gateways,
  stores,
  run,
  timeUntilServing,
  waitForLoad,
  coordinators,
} from '../scenario-support.js';

/** Moves wall clocks by up to 400 days in either direction, while a store and a gateway are killed. */
export const clocks: Scenario = {
  rule: 'wall clocks that jump forwards or backwards break no guarantee',
  run: async (seed, shape, log) => {
    const fewSlots = { model: 8, app: 1 };
    const sim = await fleet.open({ seed, shape, log, config: (base) => ({ ...base, slots: fewSlots }) });
    const rng = sim.world.rand;
    for (const app of sim.apps) app.faults.slowdown = 6;
    const load = sim.load({ chats: 60, kept: 14, jobs: 250, spreadOver: duration.s(14) });
    const day = duration.s(86_400);
    const jump = (name: string): void => {
      // At most one store and one coordinator at a time has a wrong clock; gateways are not limited.
      const role = sim.process(name).role;
      for (const peer of sim.processes) if (peer.role === role && role !== 'gateway') peer.host.clockSkew = 0;
      sim.process(name).host.clockSkew = (rng.int(2) ? 1 : -1) * rng.int(400) * day;
    };
    const candidates = [...stores, ...stores, ...coordinators, ...gateways];
    for (let i = 0; i < 24; i++)
      runAfter(sim, rng.int(duration.s(16)), () => jump(candidates[rng.int(candidates.length)]!));
    runAfter(sim, duration.s(3), () => sim.kill(stores[rng.int(3)]!, 'power'));
    runAfter(sim, duration.s(5), () => stores.forEach((store) => sim.process(store).host.alive || sim.start(store)));
    runAfter(sim, duration.s(6), () => sim.kill(gateways[rng.int(7)]!));
    const acknowledged: AcknowledgedPush[] = [];
    const pushConfig = openOperator(sim, acknowledged);
    for (let i = 0; i < 8; i++)
      runAfter(sim, rng.int(duration.s(14)), () => void pushConfig(gatewayAddress(sim, rng.int(7))));
    await run(sim, duration.s(17));
    const recoveryTime = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    const outcome = outcomeOf(sim, {
      acknowledged: acknowledged.length,
      recalled: sim.callers.summary.readBack,
      back_ms: duration.toMs(recoveryTime),
    });
    if (sim.callers.summary.readBack < 10) outcome.breaches.push('too few conversations were read back');
    return outcome;
  },
};
