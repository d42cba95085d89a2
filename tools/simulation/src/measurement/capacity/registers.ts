// A group of register stores and a proposer on the simulated network.
import { durableStore } from '@thornsail/durable-files';
import { type Group, type Registers, registers, store } from '@thornsail/register-store';
import { rpc } from '@thornsail/rpc';
import { type Runtime, type Microseconds, duration } from '@thornsail/runtime';
import type { World } from '../../world/index.js';

export const storeGroup = (w: World, n: number): Group => {
  const group = {
    version: 1,
    members: Array.from({ length: n }, (_, i) => ({ id: `k${i}`, at: `10.2.0.${i + 1}:1` })),
  };
  for (const [i, m] of group.members.entries()) {
    const runtime = w.runtime(w.host(`10.2.0.${i + 1}`, `z${i}`));
    void rpc
      .open(runtime, m.at)
      .then(async (p) =>
        store.open({ runtime, rpc: p, durable: await durableStore.open(runtime.disk), freshId: m.id }),
      );
  }
  return group;
};

export const proposerOf = async (w: World, runtime: Runtime, group: Group): Promise<Registers> => {
  let regs: Registers | undefined;
  void rpc
    .open(runtime, '10.1.0.1:1')
    .then((p) => (regs = registers.open({ runtime, rpc: p, clientId: 'edge', group: () => group })));
  while (!regs) await w.run(w.now() + duration.ms(10));
  await w.run(w.now() + duration.ms(100));
  return regs;
};

export const written =
  (value: unknown) => (): { stored: { value: unknown; expiresAt: Microseconds }; result: undefined } => ({
    stored: { value, expiresAt: 9e15 },
    result: undefined,
  });
