/** Discovery (§3.2): until a node has an agreed state, it sends hellos to known addresses and learns others. */
import type { EncodedSnapshot, NodeRole } from '@thornsail/consensus';
import type { Rpc } from '@thornsail/rpc';
import { duration, type Address, type Random } from '@thornsail/runtime';
import type { KnownNodes } from './known-nodes.js';
import { decodeHello, decodeHelloReply, encodeHello, encodeHelloReply, helloName, isHello } from './wire.js';

const helloTimeout = duration.ms(400);
/** The maximum number of concurrent hellos; the addresses are chosen at random if more are known. */
const maxConcurrentHellos = 4;

/** The dependencies of discovery. */
export type DiscoveryOptions = {
  rpc: Rpc;
  rand: Random;
  role: NodeRole;
  known: KnownNodes;
  /** Returns the newest agreed state that this node has, encoded. */
  snapshot: () => EncodedSnapshot | undefined;
  /** Called with the newest agreed state of a peer. */
  onSnapshot: (snapshot: EncodedSnapshot) => void;
};

/** Registers the hello handler, and returns a function that sends hellos to some known nodes; it never rejects. */
export const openDiscovery = (options: DiscoveryOptions): (() => Promise<void>) => {
  const { rpc, rand, role, known } = options;
  const self = { address: rpc.address, role };
  rpc.on(helloName, isHello, (body) => {
    const others = known.entries();
    known.add([decodeHello(body)]);
    return encodeHelloReply({ known: [...others, self], snapshot: options.snapshot() });
  });
  const sendHello = async (to: Address): Promise<void> => {
    const body = await rpc.request<unknown>(to, helloName, encodeHello(self), helloTimeout);
    const reply = decodeHelloReply(body);
    known.add(reply.known);
    if (reply.snapshot) options.onSnapshot(reply.snapshot);
  };
  return async () => {
    const addresses = known.addresses();
    // The known addresses are the seeds at first, and later also the nodes in the replies.
    const selected =
      addresses.length > maxConcurrentHellos
        ? Array.from({ length: maxConcurrentHellos }, () => addresses[rand.int(addresses.length)]!)
        : addresses;
    await Promise.all([...new Set(selected)].map((to) => sendHello(to).catch(() => undefined)));
  };
};
