// Scenario `split` (§9.4).
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

/** The fleet cut in two at random, while operators change the configuration on both sides. */
export const split: Scenario = {
  rule: 'whatever way the fleet is cut in two, nothing acknowledged is not in use where a gateway serves',
  run: async (seed, shape, log) => {
    const f = await fleet.open({ seed, shape, log });
    const r = f.world.rand;
    const l = f.load({ chats: 50, kept: 8, jobs: 50, spreadOver: duration.s(26) });
    const acked: AcknowledgedPush[] = [];
    const push = openOperator(f, acked);
    void push(gatewayAddress(f, 1));
    await run(f, duration.s(1));
    let rounds = 0;
    let probing = true;
    const probe = (): void => {
      for (const name of gateways) void checkNewestConfigInUse(f, acked, name);
      if (probing) runAfter(f, duration.ms(200), probe);
    };
    probe();
    for (; rounds < 4; rounds++) {
      // A machine is on one side or the other; an edge's two processes share it.
      const machine = (name: string): string => name.replace(/^(gateway|agent)-/, '');
      const side = new Map([...edges, ...stores, ...coordinators].map((m) => [m, r.int(2)]));
      if (rounds === 0) for (const t of coordinators) side.set(t, 1);
      const names = f.processes.map((p) => p.name);
      const [a, b] = [0, 1].map((k) => names.filter((n) => side.get(machine(n)) === k));
      const heal = f.partition(a!, b!);
      for (let i = 0; i < 6; i++)
        runAfter(
          f,
          r.int(duration.s(3)),
          () => void push(f.process(names[r.int(names.length)]!).options['http'] as Address),
        );
      await run(f, duration.s(4));
      heal();
      runAfter(f, duration.ms(r.int(500)), () => void push(gatewayAddress(f, r.int(7))));
      await run(f, duration.s(2));
    }
    probing = false;
    const back = await timeUntilServing(f, duration.s(12));
    await waitForLoad(f, l);
    return outcomeOf(f, { acknowledged: acked.length, back_ms: duration.toMs(back) });
  },
};
