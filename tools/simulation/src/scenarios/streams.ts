// Scenario `streams` (§9.4).
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, waitForLoad } from '../scenario-support.js';

/** Workers that die within a stream, and gateways that are killed. */
export const streams: Scenario = {
  rule: 'a stream never skips, repeats or splices, and a cut one never looks complete',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    for (const m of f.models) {
      m.faults.abortStream = 0.15;
      m.faults.loseResponse = 0.05;
    }
    const l = f.load({ chats: 80, kept: 10, jobs: 10, spreadOver: duration.s(6) });
    for (let i = 0; i < 3; i++)
      f.world.scheduleAt(f.world.now() + duration.s(1) + r.int(duration.s(5)), () => {
        const e = gateways[r.int(7)]!;
        if (f.process(e).host.alive) {
          f.kill(e);
          f.world.scheduleAt(f.world.now() + duration.s(1), () => f.start(e));
        }
      });
    await waitForLoad(f, l);
    const out = outcomeOf(f);
    if (f.callers.summary.cut === 0) out.breaches.push('no stream was cut: the scenario shows nothing');
    return out;
  },
};
