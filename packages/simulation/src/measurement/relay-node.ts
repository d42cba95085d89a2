// A relay of news on the simulated network, without the roles around it.
import { beam, type Beam } from '@thornsail/dissemination';
import { pipe } from '@thornsail/rpc';
import type { Lens, Place } from '@thornsail/runtime';

type RelayNode = { id: string; place: Place };

/** Opens the relay `self` among `relays`; `arity` is the number of children of each in the tree. */
export const openRelay = async (lens: Lens, self: RelayNode, relays: RelayNode[], arity?: number): Promise<Beam> =>
  beam.open({
    lens,
    pipe: await pipe.open(lens, self.place),
    self: self.id,
    leaf: false,
    relays: () => relays,
    attachTo: () => undefined,
    others: () => [],
    admits: () => true,
    ...(arity === undefined ? {} : { times: { arity } }),
  });
