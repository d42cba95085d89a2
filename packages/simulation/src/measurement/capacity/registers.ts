// A group of register stores and a proposer on the simulated network.
import { logbook } from '@thornsail/durable-files';
import { type Group, type Registers, registers, store } from '@thornsail/register-store';
import { pipe } from '@thornsail/rpc';
import { type Lens, type Us, us } from '@thornsail/runtime';
import type { World } from '../../world.js';

export const keeperGroup = (w: World, n: number): Group => {
  const group = { mark: 1, members: Array.from({ length: n }, (_, i) => ({ id: `k${i}`, at: `10.2.0.${i + 1}:1` })) };
  for (const [i, m] of group.members.entries()) {
    const lens = w.lens(w.host(`10.2.0.${i + 1}`, `z${i}`));
    void pipe
      .open(lens, m.at)
      .then(async (p) => store.open({ lens, pipe: p, book: await logbook.open(lens.disk), freshId: m.id }));
  }
  return group;
};

export const proposerOf = async (w: World, lens: Lens, group: Group): Promise<Registers> => {
  let regs: Registers | undefined;
  void pipe
    .open(lens, '10.1.0.1:1')
    .then((p) => (regs = registers.open({ lens, pipe: p, by: 'edge', group: () => group })));
  while (!regs) await w.run(w.now() + us.ms(10));
  await w.run(w.now() + us.ms(100));
  return regs;
};

export const written = (value: unknown) => (): { held: { value: unknown; until: Us }; result: undefined } => ({
  held: { value, until: 9e15 },
  result: undefined,
});
