// Scenario `split`: random network partitions (§9.4).
import { type Address, duration } from '@thornsail/runtime';
import { fleet } from '../fleet/index.js';
import { type AcknowledgedPush, checkNewestConfigInUse, runAfter, openOperator } from '../operator-calls.js';
import {
  type Scenario,
  edges,
  outcomeOf,
  gatewayAddress,
  gateways,
  stores,
  run,
  timeUntilServing,
  waitForLoad,
  coordinators,
} from '../scenario-support.js';

/** Partitions the fleet into two random halves, while operators push configurations on both sides. */
export const split: Scenario = {
  rule: 'however the network is partitioned, a gateway that serves uses every acknowledged configuration',
  run: async (seed, shape, log) => {
    const sim = await fleet.open({ seed, shape, log });
    const rng = sim.world.rand;
    const load = sim.load({ chats: 50, kept: 8, jobs: 50, spreadOver: duration.s(26) });
    const acknowledged: AcknowledgedPush[] = [];
    const pushConfig = openOperator(sim, acknowledged);
    void pushConfig(gatewayAddress(sim, 1));
    await run(sim, duration.s(1));
    let round = 0;
    let probing = true;
    const probe = (): void => {
      for (const name of gateways) void checkNewestConfigInUse(sim, acknowledged, name);
      if (probing) runAfter(sim, duration.ms(200), probe);
    };
    probe();
    for (; round < 4; round++) {
      // Each machine is on one side; the two processes of an edge share a machine.
      const machineOf = (name: string): string => name.replace(/^(gateway|agent)-/, '');
      const sideOf = new Map([...edges, ...stores, ...coordinators].map((machine) => [machine, rng.int(2)]));
      if (round === 0) for (const coordinator of coordinators) sideOf.set(coordinator, 1);
      const names = sim.processes.map((proc) => proc.name);
      const [a, b] = [0, 1].map((side) => names.filter((name) => sideOf.get(machineOf(name)) === side));
      const heal = sim.partition(a!, b!);
      for (let i = 0; i < 6; i++)
        runAfter(
          sim,
          rng.int(duration.s(3)),
          () => void pushConfig(sim.process(names[rng.int(names.length)]!).options['http'] as Address),
        );
      await run(sim, duration.s(4));
      heal();
      runAfter(sim, duration.ms(rng.int(500)), () => void pushConfig(gatewayAddress(sim, rng.int(7))));
      await run(sim, duration.s(2));
    }
    probing = false;
    const recoveryTime = await timeUntilServing(sim, duration.s(12));
    await waitForLoad(sim, load);
    return outcomeOf(sim, { acknowledged: acknowledged.length, back_ms: duration.toMs(recoveryTime) });
  },
};
