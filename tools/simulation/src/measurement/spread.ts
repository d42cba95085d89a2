// Configuration changes: time from acknowledgement to use, and pushes after the leader is lost (§7.2).
import { duration } from '@thornsail/runtime';
import { type Fleet, fleet } from '../fleet/index.js';
import { tableHead, mean, printLine, quantile, row } from './table.js';

/** Prints how long configuration changes take to be acknowledged and to be used by all gateways. */
export const spread = async (): Promise<void> => {
  printLine(
    '\n### Configuration: from the acknowledgement to its use at every gateway (simulated, 20 pushes for each shape)\n',
  );
  tableHead(
    'shape',
    'push acknowledged after, p50 ms',
    'in use at all gateways after, p50 ms',
    'worst ms',
    'worst with a relay dead, ms',
  );
  for (const shape of ['lautoka', 'granite'] as const) {
    const acks: number[] = [];
    const uses: number[] = [];
    const degraded: number[] = [];
    for (const kill of [false, true]) {
      const sim = await fleet.open({ seed: 7, shape });
      let version = 1;
      for (let i = 0; i < 20; i++) {
        const pushedAt = sim.world.now();
        let ackedVersion = -1;
        if (kill && i % 5 === 0) {
          const agent = `agent-edge${1 + i / 5}`;
          sim.kill(agent);
        }
        void sim
          .push(
            { ...sim.shape.config, limits: { onceKeepSeconds: 1000 + i } },
            version,
            `m${i}`,
            sim.process('gateway-edge7').options['http'] as string,
          )
          .then(
            (result) => {
              ackedVersion = result.mark;
            },
            () => {
              ackedVersion = 0;
            },
          );
        while (ackedVersion < 0) await sim.world.run(sim.world.now() + duration.ms(1));
        const ackedAt = sim.world.now();
        acks.push(duration.toMs(ackedAt - pushedAt));
        version = ackedVersion;
        while (
          sim.processes.some((proc) => proc.role === 'gateway' && (proc.node?.counts()['config_mark'] ?? 0) < version)
        )
          await sim.world.run(sim.world.now() + duration.ms(1));
        (kill ? degraded : uses).push(duration.toMs(sim.world.now() - ackedAt));
        await sim.world.run(sim.world.now() + duration.ms(400));
      }
    }
    row(shape, quantile(acks, 0.5), quantile(uses, 0.5), Math.max(...uses), Math.max(...degraded));
  }
};

/** Prints how long a push takes that is sent right after the leading coordinator was killed. */
export const leaderLoss = async (): Promise<void> => {
  printLine('\n### A push just after the head of the coordinators was killed (simulated, 20 seeds)\n');
  tableHead('shape', 'acknowledged after, mean ms', 'worst ms');
  for (const shape of ['lautoka', 'granite'] as const) {
    const latencies: number[] = [];
    for (let seed = 1; seed <= 20; seed++) {
      const sim = await fleet.open({ seed, shape });
      await sim.world.run(sim.world.now() + duration.ms(randomDelayMs(sim)));
      sim.kill(
        sim.processes.find((proc) => proc.role === 'coordinator' && proc.node?.counts()['leads'] === 1)!.name,
        'power',
      );
      const pushedAt = sim.world.now();
      let status = -1;
      void sim.push({ ...sim.shape.config, limits: { onceKeepSeconds: 1001 } }, 1, 'x').then(
        (result) => {
          status = result.status;
        },
        () => {
          status = 0;
        },
      );
      while (status < 0) await sim.world.run(sim.world.now() + duration.ms(5));
      if (status === 200) latencies.push(duration.toMs(sim.world.now() - pushedAt));
      else printLine(`seed ${seed}: ${status}`);
    }
    row(shape, Math.round(mean(latencies)), Math.max(...latencies));
  }
};

const randomDelayMs = (sim: Fleet): number => sim.world.rand.int(100);
