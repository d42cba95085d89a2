// Scenario `config` (§9.4).
import { apiRoot } from '@thornsail/admin-api';
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, liveProcessNames, run, coordinators } from '../scenario-support.js';

/** Two operators that change the configuration at once, some of it invalid, while nodes fail. */
export const config: Scenario = {
  rule: 'a configuration takes effect in two seconds, never slips back; losers and invalid ones never',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const base = f.shape.config;
    const nth = (n: number): Record<string, unknown> => ({ ...base, limits: { onceKeepSeconds: 1000 + n } });
    const acked = new Map<number, { at: Microseconds; n: number }>();
    const losers = new Set<number>();
    const seen = new Map<string, number>();
    const frozenUntil = new Map<string, Microseconds>();
    let n = 0;
    let open = 0;
    const push = async (): Promise<void> => {
      open += 1;
      const mine = ++n;
      const agents = liveProcessNames(f, 'agent');
      const at = f.process(agents[r.int(agents.length)]!).options['http'] as Address;
      try {
        const now = await f.http(at, 'GET', `${apiRoot}/config`);
        if (now.status === 200) {
          const mark = Number(now.body['mark']);
          const bad = r.int(6) === 0;
          const res = await f.push(
            bad ? { ...nth(mine), limits: { onceKeepSeconds: 1 } } : nth(mine),
            mark,
            `push-${mine}`,
            at,
          );
          if (bad && res.status === 200) f.reportedBreaches.push('an invalid configuration was acknowledged');
          if (res.status === 200) {
            if (acked.has(res.mark))
              f.reportedBreaches.push(`two configurations were acknowledged with mark ${res.mark}`);
            acked.set(res.mark, { at: f.world.now(), n: mine });
          } else if (res.status === 409 || res.status === 422) losers.add(mine);
        }
      } catch {
        /* Not known: it may have been taken or not. */
      }
      open -= 1;
    };
    // Two operators at once, and quick succession.
    for (let i = 0; i < 14; i++)
      f.world.scheduleAt(f.world.now() + r.int(duration.s(12)), () => {
        void push();
        if (r.int(2)) void push();
      });
    const later = (at: Microseconds, fn: () => void): void => f.world.scheduleAt(f.world.now() + at, fn);
    const head = (): string =>
      f.processes.find((p) => p.role === 'coordinator' && p.node?.counts()['leads'] === 1)?.name ?? 'coordinator1';
    later(duration.s(1) + r.int(duration.s(2)), () => {
      const t = head();
      f.kill(t, 'power');
      later(duration.s(1) + r.int(duration.s(1)), () => f.start(t));
    });
    later(duration.s(5) + r.int(duration.s(1)), () => {
      const t = head();
      const heal = f.partition([t], [...coordinators.filter((x) => x !== t)]);
      later(duration.s(2), heal);
    });
    later(duration.s(4), () => {
      const p = `agent-edge${1 + r.int(7)}`;
      f.kill(p);
      later(duration.s(3), () => f.start(p));
    });
    later(duration.s(8), () => {
      const e = gateways[r.int(7)]!;
      f.freeze(e, duration.s(2));
      frozenUntil.set(e, f.world.now() + duration.s(2));
    });
    const end = f.world.now() + duration.s(16);
    let slowest = 0;
    const arrived = new Map<string, Microseconds>();
    while (f.world.now() < end || open > 0) {
      await run(f, duration.ms(50));
      if (f.world.now() > end + duration.s(30)) {
        f.reportedBreaches.push('an operator was never answered');
        break;
      }
      for (const name of gateways) {
        const node = f.process(name).node;
        if (!node || f.process(name).host.frozen) continue;
        const mark = node.counts()['config_mark'] ?? 0;
        if (mark < (seen.get(name) ?? 0))
          f.reportedBreaches.push(`${name} slipped back from ${seen.get(name)} to ${mark}`);
        seen.set(name, mark);
        const value = node.membership.state()?.config.value;
        const v = (value?.limits.onceKeepSeconds ?? 1000) - 1000;
        if (losers.has(v)) f.reportedBreaches.push(`the losing configuration ${v} took effect at ${name}`);
        for (const [m, a] of acked)
          if (mark < m) {
            const late = f.world.now() - Math.max(a.at, frozenUntil.get(name) ?? 0);
            if (late > duration.s(2))
              f.reportedBreaches.push(`${name} is at ${mark}, ${duration.toMs(late)} ms after ${m} was acknowledged`);
          } else if (!arrived.has(`${name}.${m}`)) {
            arrived.set(`${name}.${m}`, f.world.now() - a.at);
            slowest = Math.max(slowest, f.world.now() - a.at);
          }
      }
    }
    if (acked.size < 3) f.reportedBreaches.push(`only ${acked.size} configurations were acknowledged`);
    return outcomeOf(f, { acknowledged: acked.size, losers: losers.size, slowest_spread_ms: duration.toMs(slowest) });
  },
};
