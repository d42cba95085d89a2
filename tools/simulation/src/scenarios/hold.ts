// Scenario `hold`: turns held by the scheduler for lack of cache (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, stores, waitForLoad, sumGatewayCounts } from '../scenario-support.js';

/** Workers have too little cache, so turns are held at tool boundaries; messages between edges are lost for a while. */
export const hold: Scenario = {
  rule: 'a held turn is released before two seconds of silence',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({
      seed,
      shape,
      log,
      capacity: 900,
      gap: duration.ms(700),
      // On even seeds the first token takes longer: a hold must leave time for it.
      ...(seed % 2 === 0 ? { firstToken: duration.ms(500) } : {}),
      config: (base) => ({ ...base, scheduler: { intervalSeconds: 2 }, slots: { model: 64, app: 16 } }),
    });
    const load = sim.load({ chats: 150, kept: 20, jobs: 20, spreadOver: duration.s(12) });
    // On every third seed the stores' disks are slow and one store loses power.
    if (seed % 3 === 0) {
      for (const store of stores) sim.process(store).host.disk.syncTimeFactor = 25;
      sim.world.scheduleAt(sim.world.now() + duration.s(5), () => sim.kill(stores[sim.world.rand.int(3)]!, 'power'));
    }
    // A partition between the gateways and three agents drops load reports and state updates for four seconds.
    sim.world.scheduleAt(sim.world.now() + duration.s(3), () => {
      const heal = sim.partition(gateways, ['agent-edge1', 'agent-edge2', 'agent-edge3']);
      sim.world.scheduleAt(sim.world.now() + duration.s(4), heal);
    });
    await waitForLoad(sim, load);
    const outcome = outcomeOf(sim, {
      paused: sumGatewayCounts(sim, 'paused'),
      marked: sumGatewayCounts(sim, 'marked'),
    });
    if (outcome.figures['held'] === 0) outcome.breaches.push('no turn was held, so nothing was verified');
    return outcome;
  },
};
