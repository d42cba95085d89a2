// A group of register stores and a proposer on the simulated network.
import { durableStore } from '@thornsail/durable-files';
import { type Group, type Registers, registers, store } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Runtime, type Microseconds, duration } from '@thornsail/runtime';
import type { World } from '../../world/index.js';

/** Starts `n` register stores and returns their group. */
export const storeGroup = (sim: World, n: number): Group => {
  const group = {
    version: 1,
    members: Array.from({ length: n }, (_, i) => ({ id: `k${i}`, at: `10.2.0.${i + 1}:1` })),
  };
  for (const [i, member] of group.members.entries()) {
    const runtime = sim.runtime(sim.host(`10.2.0.${i + 1}`, `z${i}`));
    void rpc
      .open(runtime, member.at)
      .then(async (endpoint) =>
        store.open({ runtime, rpc: endpoint, durable: await durableStore.open(runtime.disk), freshId: member.id }),
      );
  }
  return group;
};

/** Opens a proposer of the group and runs the network until it is ready. */
export const proposerOf = async (sim: World, runtime: Runtime, group: Group): Promise<Registers> => {
  let proposer: Registers | undefined;
  void rpc
    .open(runtime, '10.1.0.1:1')
    .then((endpoint) => (proposer = registers.open({ runtime, rpc: endpoint, clientId: 'edge', group: () => group })));
  while (!proposer) await sim.run(sim.now() + duration.ms(10));
  await sim.run(sim.now() + duration.ms(100));
  return proposer;
};

/** A change that sets a register to a value that does not expire. */
export const setTo =
  (value: unknown) => (): { stored: { value: unknown; expiresAt: Microseconds }; result: undefined } => ({
    stored: { value, expiresAt: 9e15 },
    result: undefined,
  });
