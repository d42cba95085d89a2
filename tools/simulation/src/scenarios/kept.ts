// Scenario `kept` (§9.4).
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, stores, liveProcessNames, waitForLoad } from '../scenario-support.js';

/** Kept conversations, while stores are replaced and their clocks are wrong. */
export const kept: Scenario = {
  rule: 'a kept conversation is never reported missing within its keeping time',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const l = f.load({ chats: 5, kept: 16, jobs: 0, spreadOver: duration.s(4) });
    const later = (at: Microseconds, fn: () => void): void => f.world.scheduleAt(f.world.now() + at, fn);
    const k = stores[r.int(3)]!;
    const other = stores.find((x) => x !== k)!;
    later(duration.s(2), () => {
      f.process(other).host.clockSkew = (r.int(2) === 0 ? 1 : -1) * duration.s(400 * 86_400);
    });
    later(duration.s(2) + r.int(duration.s(2)), () => f.kill(gateways[r.int(7)]!));
    later(duration.s(3), () => f.replace(k, 'store9', '127.77.2.9'));
    await waitForLoad(f, l);
    await f.until(
      'the group to be whole again',
      () => {
        const s = f.process('agent-edge1').node?.membership.state()?.storeGroup;
        return (
          s !== undefined &&
          s.members.length === 3 &&
          s.swept === s.mark &&
          s.members.some((m) => m.at.startsWith('127.77.2.9'))
        );
      },
      duration.s(30),
    );
    // Now the oldest of the remaining stores goes too: what was kept must be on the newcomer.
    const last = liveProcessNames(f, 'store').find((x) => x !== 'store9' && x !== other) ?? other;
    f.kill(last, 'disk');
    let open = 0;
    for (const p of new Set(
      f.requestLog.entries.map((e) => e.program).filter((x): x is string => x !== null && x.startsWith('k')),
    )) {
      open += 1;
      const alive = f.processes.filter((x) => x.role === 'gateway' && x.host.alive);
      void f
        .http(alive[r.int(alive.length)]!.options['http'] as Address, 'GET', `/v1/conversations/c-${p}`)
        .then((x) => {
          if (x.status === 404)
            f.reportedBreaches.push(`conversation c-${p} reported missing after its stores were replaced`);
        })
        .catch(() => undefined)
        .then(() => {
          open -= 1;
        });
    }
    await f.until('the readers to end', () => open === 0, duration.s(20));
    return outcomeOf(f, { recalled: f.callers.summary.readBack });
  },
};
