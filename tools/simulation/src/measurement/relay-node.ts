// A dissemination relay on the simulated network, without the roles that use it.
import { dissemination, type Dissemination } from '@thornsail/dissemination';
import { rpc } from '@thornsail/rpc';
import type { Runtime, Address } from '@thornsail/runtime';

type RelayNode = { id: string; address: Address };

/** Opens the relay `self` of `relays`; `arity` is the number of children of each node in the tree. */
export const openRelay = async (
  runtime: Runtime,
  self: RelayNode,
  relays: RelayNode[],
  arity?: number,
): Promise<Dissemination> =>
  dissemination.open({
    runtime,
    rpc: await rpc.open(runtime, self.address),
    self: self.id,
    isLeaf: false,
    relays: () => relays,
    parent: () => undefined,
    fallbacks: () => [],
    admits: () => true,
    ...(arity === undefined ? {} : { timing: { arity } }),
  });
