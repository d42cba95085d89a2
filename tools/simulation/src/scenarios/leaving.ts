// Scenario `leaving` (§9.4).
import { type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, edges, outcomeOf, gateways, stores, waitForLoad, coordinators } from '../scenario-support.js';

/** Workers that leave while the coordinators are cut off and a gateway is frozen. */
export const leaving: Scenario = {
  rule: 'no new request to a leaving worker after three seconds',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log, capacity: 900, gap: duration.ms(300) });
    const r = f.world.rand;
    const l = f.load({ chats: 120, kept: 6, jobs: 60, spreadOver: duration.s(12) });
    const later = (at: Microseconds, fn: () => void): void => f.world.scheduleAt(f.world.now() + at, fn);
    const heal: (() => void)[] = [];
    later(duration.s(1), () =>
      heal.push(f.partition(coordinators, [...gateways, ...edges.map((e) => `agent-${e}`), ...stores])),
    );
    later(duration.s(1.5), () => f.kill(`agent-edge${1 + r.int(7)}`));
    for (let i = 0; i < 4; i++) later(duration.s(2 + i), () => f.platform.leave(f.layout.workers[i * 2]!.id));
    const e = gateways[r.int(7)]!;
    later(duration.s(3) - duration.ms(r.int(300)), () => f.freeze(e, duration.s(4.5)));
    later(duration.s(9), () => heal.forEach((h) => h()));
    await waitForLoad(f, l);
    return outcomeOf(f);
  },
};
