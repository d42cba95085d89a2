// Scenario `kept`: stored conversations while stores are replaced (§9.4).
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, stores, liveProcessNames, waitForLoad } from '../scenario-support.js';

/** Reads stored conversations back after stores were replaced and while a store's clock is wrong. */
export const kept: Scenario = {
  rule: 'a stored conversation is never reported missing within its retention time',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 5, kept: 16, jobs: 0, spreadOver: duration.s(4) });
    const schedule = (after: Microseconds, action: () => void): void =>
      sim.world.scheduleAt(sim.world.now() + after, action);
    const replaced = stores[rng.int(3)]!;
    const skewedStore = stores.find((name) => name !== replaced)!;
    schedule(duration.s(2), () => {
      sim.process(skewedStore).host.clockSkew = (rng.int(2) === 0 ? 1 : -1) * duration.s(400 * 86_400);
    });
    schedule(duration.s(2) + rng.int(duration.s(2)), () => sim.kill(gateways[rng.int(7)]!));
    schedule(duration.s(3), () => sim.replace(replaced, 'store9', '127.77.2.9'));
    await waitForLoad(sim, load);
    await sim.until(
      'the store group to be complete again',
      () => {
        const group = sim.process('agent-edge1').node?.membership.state()?.storeGroup;
        return (
          group !== undefined &&
          group.members.length === 3 &&
          group.swept === group.mark &&
          group.members.some((member) => member.at.startsWith('127.77.2.9'))
        );
      },
      duration.s(30),
    );
    // Then another of the original stores is lost with its disk: the new store must have the conversations.
    const oldestStore =
      liveProcessNames(sim, 'store').find((name) => name !== 'store9' && name !== skewedStore) ?? skewedStore;
    sim.kill(oldestStore, 'disk');
    let pendingReads = 0;
    for (const program of new Set(
      sim.requestLog.entries
        .map((entry) => entry.program)
        .filter((id): id is string => id !== null && id.startsWith('k')),
    )) {
      pendingReads += 1;
      const alive = sim.processes.filter((proc) => proc.role === 'gateway' && proc.host.alive);
      void sim
        .http(alive[rng.int(alive.length)]!.options['http'] as Address, 'GET', `/v1/conversations/c-${program}`)
        .then((response) => {
          if (response.status === 404) sim.reportedBreaches.push(`conversation c-${program} reported missing`);
        })
        .catch(() => undefined)
        .then(() => {
          pendingReads -= 1;
        });
    }
    await sim.until('the reads to finish', () => pendingReads === 0, duration.s(20));
    return outcomeOf(sim, { recalled: sim.callers.summary.readBack });
  },
};
