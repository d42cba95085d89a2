// One direction of a simulated connection: in order, held up by a partition, lost with its sender's power.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Host } from './host.js';
import type { Network } from './network.js';

/** The longest time after the end of a partition until what it held up is sent again. */
const resendWithin: Microseconds = duration.ms(300);

/** What is sent runs at the receiver. `lose`: what is on its way does not arrive any more. */
export type Lane = { send: (run: () => void) => void; lose: () => void };

/** Opens a lane; `onReset` runs at the sender when the receiver's process is not the one that it began with. */
export const openLane = (network: Network, from: Host, to: Host, onReset: () => void): Lane => {
  const { loop } = network;
  const { incarnation } = to;
  let held: (() => void)[] = [];
  let isLost = false;
  const isHeldUp = (): boolean => held.length > 0 || network.isPartitioned(from, to);
  const flush = (): void => {
    const all = held;
    held = [];
    for (const run of all) send(run);
  };
  const hold = (run: () => void): void => {
    held.push(run);
    if (held.length === 1) network.onHeal(() => loop.schedule(loop.rand.int(resendWithin), null, flush));
  };
  const send = (run: () => void): void => {
    if (isLost) return;
    if (isHeldUp()) return hold(run);
    if (to.incarnation !== incarnation) {
      // Another process, or none: the machine says so if it has power.
      if (!to.poweredOff) loop.schedule(2 * network.delay(to, from), from, onReset);
      return;
    }
    network.deliver(from, to, () => {
      if (isLost) return;
      if (isHeldUp()) hold(run);
      else run();
    });
  };
  return {
    send,
    lose: () => {
      isLost = true;
      held = [];
    },
  };
};
