// Scenario `uncut` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, waitForLoad } from '../scenario-support.js';

/** Changes that are part of normal operation: workers leave, a configuration changes, gateways drain. */
export const uncut: Scenario = {
  rule: 'a turn at a worker is never paused or cut off',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log, capacity: 1500, perToken: duration.ms(40) });
    const l = f.load({ chats: 60, kept: 8, jobs: 20, spreadOver: duration.s(8) });
    const r = f.world.rand;
    const later = (at: Microseconds, fn: () => void): void => f.world.scheduleAt(f.world.now() + at, fn);
    later(duration.s(2), () => f.platform.leave(f.layout.workers[r.int(3)]!.id));
    later(
      duration.s(3),
      () =>
        void f
          .push({ ...f.shape.config, scheduler: { pauseThreshold: 0.5, pauseTarget: 0.3 } }, 1, 'two')
          .catch(() => undefined),
    );
    // Two gateways leave as on SIGTERM: they drain, then close.
    for (const [i, at] of [
      [r.int(3), duration.s(4)],
      [3 + r.int(4), duration.s(5)],
    ] as const)
      later(at, () => {
        const p = f.process(gateways[i]!);
        const node = p.node;
        if (node)
          void node
            .drain()
            .then(() => node.close())
            .then(() => f.world.kill(p.host, 'process'));
      });
    await waitForLoad(f, l);
    const out = outcomeOf(f);
    if (f.callers.summary.cut > 0) out.breaches.push(`${f.callers.summary.cut} streams were cut though nothing failed`);
    return out;
  },
};
