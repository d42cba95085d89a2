/** Discovery (§3.2): without an agreed state a node says hello to the addresses it knows, and learns others. */
import type { EncodedSnapshot, NodeRole } from '@thornsail/consensus';
import type { Rpc } from '@thornsail/rpc';
import { duration, type Address, type Random } from '@thornsail/runtime';
import type { KnownNodes } from './known-nodes.js';
import { decodeHello, decodeHelloReply, encodeHello, encodeHelloReply, helloName, isHello } from './wire.js';

const helloTimeout = duration.ms(400);
/** To so many addresses at once; chosen at random if there are more. */
const hellosAtOnce = 4;

/** What discovery works with. */
export type DiscoveryOptions = {
  rpc: Rpc;
  rand: Random;
  role: NodeRole;
  known: KnownNodes;
  /** The newest agreed state that this node has, encoded. */
  snapshot: () => EncodedSnapshot | undefined;
  /** A peer has sent its newest agreed state. */
  onSnapshot: (snapshot: EncodedSnapshot) => void;
};

/** Answers hellos from now on. The function that it gives says hello to some of the known nodes; it never rejects. */
export const openDiscovery = (options: DiscoveryOptions): (() => Promise<void>) => {
  const { rpc, rand, role, known } = options;
  const self = { address: rpc.at, role };
  rpc.on(helloName, isHello, (body) => {
    const others = known.all();
    known.add([decodeHello(body)]);
    return encodeHelloReply({ known: [...others, self], snapshot: options.snapshot() });
  });
  const sayHello = async (to: Address): Promise<void> => {
    const body = await rpc.request<unknown>(to, helloName, encodeHello(self), helloTimeout);
    const reply = decodeHelloReply(body);
    known.add(reply.known);
    if (reply.snapshot) options.onSnapshot(reply.snapshot);
  };
  return async () => {
    const all = known.addresses();
    // The seeds first, then whoever they named.
    const some =
      all.length > hellosAtOnce ? Array.from({ length: hellosAtOnce }, () => all[rand.int(all.length)]!) : all;
    await Promise.all([...new Set(some)].map((to) => sayHello(to).catch(() => undefined)));
  };
};
