// Scenario `rolling` (§9.4).
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

/** A rolling replacement of workers, seeds, store machines and coordinators, and an added edge machine. */
export const rolling: Scenario = {
  rule: 'workers replaced one after another, machines added, seeds swapped, a store machine emptied',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const l = f.load({ chats: 60, kept: 8, jobs: 40, spreadOver: duration.s(16) });
    // The three seed machines go, one by one, and an empty one takes each place at a new address.
    f.kill('agent-edge1');
    f.kill('gateway-edge1');
    await run(f, duration.s(2));
    f.replace('store1', 'store8', '127.77.2.8');
    await f.until(
      'the new store in the group',
      () => {
        const k = f.process('agent-edge2').node?.membership.state()?.storeGroup;
        return (
          k !== undefined &&
          k.swept === k.mark &&
          k.members.length === 3 &&
          k.members.some((m) => m.at.startsWith('127.77.2.8'))
        );
      },
      duration.s(30),
    );
    for (const p of f.processes)
      p.seeds = [f.process('agent-edge2'), f.process('store8'), f.process('coordinator1')].map(
        (x) => x.options['place'] as Address,
      );
    f.replace('coordinator1', 'coordinator8', '127.77.3.8');
    await f.until(
      'the new coordinator in the view',
      () => {
        const v = f.process('agent-edge2').node?.membership.snapshot();
        return v !== undefined && v.members.length === 3 && v.members.some((m) => m.at.startsWith('127.77.3.8'));
      },
      duration.s(30),
    );
    // None of the first seeds is left; a node that restarts finds the fleet by the new ones.
    const seeds = [f.process('agent-edge2'), f.process('store8'), f.process('coordinator8')].map(
      (p) => p.options['place'] as Address,
    );
    for (const p of f.processes) p.seeds = seeds;
    f.kill('agent-edge5');
    f.start('agent-edge5');
    f.kill('gateway-edge5');
    f.start('gateway-edge5');
    // An edge machine is added, and serves.
    f.addEdge(8);
    await f.until(
      'the added gateway to serve',
      () => f.process('gateway-edge8').node?.ready().ok === true,
      duration.s(10),
    );
    // A store machine is emptied: with a spare its records move, without one the group shrinks to two.
    let safe = false;
    const ask = async (method: string): Promise<void> => {
      const x = await f.http(gatewayAddress(f, 2), method, `${apiRoot}/drain/store2`).catch(() => undefined);
      if (x?.body['safe'] === true) safe = true;
    };
    void ask('POST');
    await f.until(
      'store2 safe to remove',
      () => {
        void ask('GET');
        return safe;
      },
      duration.s(30),
    );
    f.kill('store2', 'disk');
    await run(f, duration.s(1));
    const unserved = (): number => f.callers.summary.rejected['no_worker'] ?? 0;
    const before = unserved();
    const meanwhile = f.load({ chats: 20, kept: 2, jobs: 30, spreadOver: duration.s(4) });
    for (let i = 0; i < 3; i++) {
      await replaceWorker(f, pickLeavingWorker(f, true), i);
      await run(f, duration.s(1));
    }
    await timeUntilServing(f, duration.s(12));
    await waitForLoad(f, l);
    await waitForLoad(f, meanwhile);
    const none = unserved() - before;
    const out = outcomeOf(f, { no_worker: none, replaced: f.platform.leavingSince.size });
    if (out.figures['replaced'] !== 3) out.breaches.push(`${out.figures['replaced']} workers were replaced, not 3`);
    if (none > 0) out.breaches.push(`${none} requests found no worker though there always were some`);
    return out;
  },
};
