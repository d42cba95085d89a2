// One direction of a simulated connection: delivers in order, is held up by a partition, and loses data in transit when
// the sender's machine loses power.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Host } from './host.js';
import type { Network } from './network.js';

/** Upper bound of the random delay between the end of a partition and the retransmission of queued data. */
const maxRetransmissionDelay: Microseconds = duration.ms(300);

/** `send` runs a callback at the receiver after the network delay; `discard` drops everything in transit, for good. */
export type OneWayChannel = { send: (run: () => void) => void; discard: () => void };

/** Opens a channel; `onReset` runs at the sender if the receiving process has ended or restarted since the opening. */
export const openOneWayChannel = (network: Network, from: Host, to: Host, onReset: () => void): OneWayChannel => {
  const { loop } = network;
  const { incarnation } = to;
  let queued: (() => void)[] = [];
  let isDiscarded = false;
  const isBlocked = (): boolean => queued.length > 0 || network.isPartitioned(from, to);
  const flush = (): void => {
    const waiting = queued;
    queued = [];
    for (const run of waiting) send(run);
  };
  const enqueue = (run: () => void): void => {
    queued.push(run);
    if (queued.length === 1) network.onHeal(() => loop.schedule(loop.rand.int(maxRetransmissionDelay), null, flush));
  };
  const send = (run: () => void): void => {
    if (isDiscarded) return;
    if (isBlocked()) return enqueue(run);
    if (to.incarnation !== incarnation) {
      // The process has ended or was replaced: the machine replies with a reset if it has power.
      if (!to.poweredOff) loop.schedule(2 * network.delay(to, from), from, onReset);
      return;
    }
    network.deliver(from, to, () => {
      if (isDiscarded) return;
      if (isBlocked()) enqueue(run);
      else run();
    });
  };
  return {
    send,
    discard: () => {
      isDiscarded = true;
      queued = [];
    },
  };
};
