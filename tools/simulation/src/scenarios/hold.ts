// Scenario `hold` (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, stores, waitForLoad, sumGatewayCounts } from '../scenario-support.js';

/** Workers with too little cache: turns are held at tool boundaries while news between edges goes missing. */
export const hold: Scenario = {
  rule: 'a held turn is released before two seconds of silence',
  run: async (seed, shape, log) => {
    const f = await fleet.open({
      seed,
      shape,
      log,
      capacity: 900,
      gap: duration.ms(700),
      // On even seeds the workers are slow to their first token: a hold must leave room for it.
      ...(seed % 2 === 0 ? { firstToken: duration.ms(500) } : {}),
      config: (c) => ({ ...c, scheduler: { intervalSeconds: 2 }, slots: { model: 64, app: 16 } }),
    });
    const l = f.load({ chats: 150, kept: 20, jobs: 20, spreadOver: duration.s(12) });
    // On every third seed the stores' disks are slow, and one store is lost on top of that.
    if (seed % 3 === 0) {
      for (const k of stores) f.process(k).host.disk.syncTimeFactor = 25;
      f.world.scheduleAt(f.world.now() + duration.s(5), () => f.kill(stores[f.world.rand.int(3)]!, 'power'));
    }
    // The news between edges goes missing for a while.
    f.world.scheduleAt(f.world.now() + duration.s(3), () => {
      const heal = f.partition(gateways, ['agent-edge1', 'agent-edge2', 'agent-edge3']);
      f.world.scheduleAt(f.world.now() + duration.s(4), heal);
    });
    await waitForLoad(f, l);
    const out = outcomeOf(f, { paused: sumGatewayCounts(f, 'paused'), marked: sumGatewayCounts(f, 'marked') });
    if (out.figures['held'] === 0) out.breaches.push('no turn was held: the scenario shows nothing');
    return out;
  },
};
