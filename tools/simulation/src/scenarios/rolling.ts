// Scenario `rolling`: planned replacement of workers and machines (§9.4).
import { apiRoot } from '@thornsail/admin-api';
import { type Address, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import {
  type Scenario,
  outcomeOf,
  gatewayAddress,
  pickLeavingWorker,
  replaceWorker,
  run,
  timeUntilServing,
  waitForLoad,
} from '../scenario-support.js';

/** Replaces seeds, a store, a coordinator and workers one at a time, adds an edge machine and drains a store. */
export const rolling: Scenario = {
  rule: 'workers and seeds replaced one at a time, a machine added, a store drained: every request finds a worker',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const load = sim.load({ chats: 60, kept: 8, jobs: 40, spreadOver: duration.s(16) });
    // The three seed machines are removed one at a time; the store and the coordinator are replaced by machines with
    // empty disks at new addresses.
    sim.kill('agent-edge1');
    sim.kill('gateway-edge1');
    await run(sim, duration.s(2));
    sim.replace('store1', 'store8', '127.77.2.8');
    await sim.until(
      'the new store in the group',
      () => {
        const group = sim.process('agent-edge2').node?.membership.state()?.storeGroup;
        return (
          group !== undefined &&
          group.swept === group.mark &&
          group.members.length === 3 &&
          group.members.some((member) => member.at.startsWith('127.77.2.8'))
        );
      },
      duration.s(30),
    );
    for (const proc of sim.processes)
      proc.seeds = [sim.process('agent-edge2'), sim.process('store8'), sim.process('coordinator1')].map(
        (seed) => seed.options['place'] as Address,
      );
    sim.replace('coordinator1', 'coordinator8', '127.77.3.8');
    await sim.until(
      'the new coordinator in the view',
      () => {
        const view = sim.process('agent-edge2').node?.membership.snapshot();
        return (
          view !== undefined &&
          view.members.length === 3 &&
          view.members.some((member) => member.at.startsWith('127.77.3.8'))
        );
      },
      duration.s(30),
    );
    // None of the original seeds is left: restarted nodes must join by the new seeds.
    const seeds = [sim.process('agent-edge2'), sim.process('store8'), sim.process('coordinator8')].map(
      (proc) => proc.options['place'] as Address,
    );
    for (const proc of sim.processes) proc.seeds = seeds;
    sim.kill('agent-edge5');
    sim.start('agent-edge5');
    sim.kill('gateway-edge5');
    sim.start('gateway-edge5');
    // An added edge machine must serve.
    sim.addEdge(8);
    await sim.until(
      'the added gateway to serve',
      () => sim.process('gateway-edge8').node?.ready().ok === true,
      duration.s(10),
    );
    // Drains a store: its records move to a spare if there is one; else the group shrinks to two.
    let safeToRemove = false;
    const requestDrain = async (method: string): Promise<void> => {
      const response = await sim.http(gatewayAddress(sim, 2), method, `${apiRoot}/drain/store2`).catch(() => undefined);
      if (response?.body['safe'] === true) safeToRemove = true;
    };
    void requestDrain('POST');
    await sim.until(
      'store2 to be safe to remove',
      () => {
        void requestDrain('GET');
        return safeToRemove;
      },
      duration.s(30),
    );
    sim.kill('store2', 'disk');
    await run(sim, duration.s(1));
    const noWorkerCount = (): number => sim.callers.summary.rejected['no_worker'] ?? 0;
    const noWorkerBefore = noWorkerCount();
    const replacementLoad = sim.load({ chats: 20, kept: 2, jobs: 30, spreadOver: duration.s(4) });
    for (let i = 0; i < 3; i++) {
      await replaceWorker(sim, pickLeavingWorker(sim, true), i);
      await run(sim, duration.s(1));
    }
    await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    await waitForLoad(sim, replacementLoad);
    const noWorker = noWorkerCount() - noWorkerBefore;
    const outcome = outcomeOf(sim, { no_worker: noWorker, replaced: sim.platform.leavingSince.size });
    if (outcome.figures['replaced'] !== 3)
      outcome.breaches.push(`${outcome.figures['replaced']} workers were replaced, not 3`);
    if (noWorker > 0)
      outcome.breaches.push(`${noWorker} requests were rejected for lack of a worker although workers were available`);
    return outcome;
  },
};
