// Scenario `config`: concurrent configuration changes while nodes fail (§9.4).
import { apiRoot } from '@thornsail/admin-api';
import { type Address, type Microseconds, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gateways, liveProcessNames, run, coordinators } from '../scenario-support.js';

/** Two operators push configurations concurrently, some of them invalid, while nodes fail. */
export const config: Scenario = {
  rule: 'a configuration takes effect within two seconds and is never rolled back; a rejected one never takes effect',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    const baseConfig = sim.shape.config;
    const numberedConfig = (n: number): Record<string, unknown> => ({
      ...baseConfig,
      limits: { onceKeepSeconds: 1000 + n },
    });
    const acknowledged = new Map<number, { at: Microseconds; n: number }>();
    const rejected = new Set<number>();
    const lastVersion = new Map<string, number>();
    const frozenUntil = new Map<string, Microseconds>();
    let pushCount = 0;
    let inFlight = 0;
    const pushConfig = async (): Promise<void> => {
      inFlight += 1;
      const pushNumber = ++pushCount;
      const agents = liveProcessNames(sim, 'agent');
      const agentAddress = sim.process(agents[rng.int(agents.length)]!).options['http'] as Address;
      try {
        const current = await sim.http(agentAddress, 'GET', `${apiRoot}/config`);
        if (current.status === 200) {
          const version = Number(current.body['mark']);
          const isInvalid = rng.int(6) === 0;
          const response = await sim.push(
            isInvalid ? { ...numberedConfig(pushNumber), limits: { onceKeepSeconds: 1 } } : numberedConfig(pushNumber),
            version,
            `push-${pushNumber}`,
            agentAddress,
          );
          if (isInvalid && response.status === 200)
            sim.reportedBreaches.push('an invalid configuration was acknowledged');
          if (response.status === 200) {
            if (acknowledged.has(response.mark))
              sim.reportedBreaches.push(`two configurations were acknowledged as version ${response.mark}`);
            acknowledged.set(response.mark, { at: sim.world.now(), n: pushNumber });
          } else if (response.status === 409 || response.status === 422) rejected.add(pushNumber);
        }
      } catch {
        /* Outcome unknown: the push may have been committed. */
      }
      inFlight -= 1;
    };
    // Often two pushes at the same instant, and pushes in quick succession.
    for (let i = 0; i < 14; i++)
      sim.world.scheduleAt(sim.world.now() + rng.int(duration.s(12)), () => {
        void pushConfig();
        if (rng.int(2)) void pushConfig();
      });
    const schedule = (after: Microseconds, action: () => void): void =>
      sim.world.scheduleAt(sim.world.now() + after, action);
    const leaderName = (): string =>
      sim.processes.find((proc) => proc.role === 'coordinator' && proc.node?.counts()['leads'] === 1)?.name ??
      'coordinator1';
    schedule(duration.s(1) + rng.int(duration.s(2)), () => {
      const leader = leaderName();
      sim.kill(leader, 'power');
      schedule(duration.s(1) + rng.int(duration.s(1)), () => sim.start(leader));
    });
    schedule(duration.s(5) + rng.int(duration.s(1)), () => {
      const leader = leaderName();
      const heal = sim.partition([leader], [...coordinators.filter((name) => name !== leader)]);
      schedule(duration.s(2), heal);
    });
    schedule(duration.s(4), () => {
      const agent = `agent-edge${1 + rng.int(7)}`;
      sim.kill(agent);
      schedule(duration.s(3), () => sim.start(agent));
    });
    schedule(duration.s(8), () => {
      const gateway = gateways[rng.int(7)]!;
      sim.freeze(gateway, duration.s(2));
      frozenUntil.set(gateway, sim.world.now() + duration.s(2));
    });
    const endsAt = sim.world.now() + duration.s(16);
    let slowest = 0;
    const arrivals = new Map<string, Microseconds>();
    while (sim.world.now() < endsAt || inFlight > 0) {
      await run(sim, duration.ms(50));
      if (sim.world.now() > endsAt + duration.s(30)) {
        sim.reportedBreaches.push('a configuration request was never answered');
        break;
      }
      for (const name of gateways) {
        const node = sim.process(name).node;
        if (!node || sim.process(name).host.frozen) continue;
        const version = node.counts()['config_mark'] ?? 0;
        if (version < (lastVersion.get(name) ?? 0))
          sim.reportedBreaches.push(
            `${name} rolled back from configuration version ${lastVersion.get(name)} to ${version}`,
          );
        lastVersion.set(name, version);
        const value = node.membership.state()?.config.value;
        const activeNumber = (value?.limits.onceKeepSeconds ?? 1000) - 1000;
        if (rejected.has(activeNumber))
          sim.reportedBreaches.push(`rejected configuration ${activeNumber} took effect at ${name}`);
        for (const [ackedVersion, ack] of acknowledged)
          if (version < ackedVersion) {
            const lateBy = sim.world.now() - Math.max(ack.at, frozenUntil.get(name) ?? 0);
            if (lateBy > duration.s(2))
              sim.reportedBreaches.push(
                `${name} is at version ${version}, ${duration.toMs(lateBy)} ms after ${ackedVersion} was acknowledged`,
              );
          } else if (!arrivals.has(`${name}.${ackedVersion}`)) {
            arrivals.set(`${name}.${ackedVersion}`, sim.world.now() - ack.at);
            slowest = Math.max(slowest, sim.world.now() - ack.at);
          }
      }
    }
    if (acknowledged.size < 3) sim.reportedBreaches.push(`only ${acknowledged.size} configurations were acknowledged`);
    return outcomeOf(sim, {
      acknowledged: acknowledged.size,
      losers: rejected.size,
      slowest_spread_ms: duration.toMs(slowest),
    });
  },
};
