// Scenario `durable`: durability of acknowledged configurations (§9.4).
import { apiRoot } from '@thornsail/admin-api';
import { duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type Scenario, outcomeOf, gatewayAddress, liveProcessNames, run } from '../scenario-support.js';

/** Pushes configurations, and after each takes the power or the disk of a coordinator. */
export const durable: Scenario = {
  rule: 'an acknowledged configuration survives the loss of any one machine with a disk',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    let version = 1;
    for (let i = 0; i < 3; i++) {
      let response: { status: number; mark: number } | undefined;
      const nextConfig = { ...sim.shape.config, limits: { onceKeepSeconds: 2000 + i } };
      void sim.push(nextConfig, version, `d${i}`, gatewayAddress(sim, rng.int(7))).then(
        (result) => {
          response = result;
        },
        () => {
          response = { status: 0, mark: version };
        },
      );
      await sim.until('the acknowledgement', () => response !== undefined, duration.s(10));
      if (response!.status === 200) version = response!.mark;
      // Fails one coordinator right after the acknowledgement, more often than not the leader: it loses power or is
      // replaced by one with an empty disk.
      const leader = sim.processes.find(
        (proc) => proc.role === 'coordinator' && proc.node?.counts()['leads'] === 1,
      )?.name;
      const liveCoordinators = liveProcessNames(sim, 'coordinator');
      const victim = leader && rng.int(3) > 0 ? leader : liveCoordinators[rng.int(liveCoordinators.length)]!;
      if (rng.int(2) === 0) {
        sim.kill(victim, 'power');
        await run(sim, duration.ms(200 + rng.int(1500)));
        sim.start(victim);
      } else sim.replace(victim, `coordinator${9 - i}`, `127.77.3.${9 - i}`);
      await sim.until(
        'three coordinators in the view again',
        () => {
          const leading = sim.processes.find(
            (proc) => proc.role === 'coordinator' && proc.node?.counts()['leads'] === 1,
          );
          const view = leading?.node?.membership.snapshot();
          return (
            view !== undefined &&
            view.members.length === 3 &&
            view.members.every((member) =>
              sim.processes.some(
                (proc) => proc.role === 'coordinator' && proc.host.alive && proc.node?.id === member.id,
              ),
            )
          );
        },
        duration.s(25),
      );
      let readBack: { status: number; body: Record<string, unknown> } | undefined;
      void sim.http(gatewayAddress(sim, rng.int(7)), 'GET', `${apiRoot}/config`).then(
        (result) => {
          readBack = result;
        },
        () => {
          readBack = { status: 0, body: {} };
        },
      );
      await sim.until('a read of the configuration', () => readBack !== undefined, duration.s(10));
      const value = (readBack!.body['config'] as { limits?: { onceKeepSeconds?: number } } | undefined)?.limits
        ?.onceKeepSeconds;
      if (readBack!.status !== 200)
        sim.reportedBreaches.push(`round ${i}: reading the configuration failed with status ${readBack!.status}`);
      else if (Number(readBack!.body['mark']) < version || (response!.status === 200 && value !== 2000 + i))
        sim.reportedBreaches.push(
          `round ${i}: acknowledged version ${version} was lost; read ${String(readBack!.body['mark'])}`,
        );
      else version = Number(readBack!.body['mark']);
    }
    return outcomeOf(sim, { mark: version });
  },
};
