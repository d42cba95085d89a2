// Frames between simulated nodes: they may be lost, come twice, overtake one another, or wait for a partition to heal.
import { duration, fault, type Address, type FrameTransport, type Microseconds, type Net } from '@thornsail/runtime';
import type { FrameListener, Host } from './host.js';
import type { Network } from './network.js';
import { promiseOf } from './promise-of.js';

/** The longest time after the end of a partition until a held frame is sent again. */
const resendWithin: Microseconds = duration.ms(300);
/** Characters of a frame that go into the trace hash. */
const tracedLength = 64;

/** One frame on its way from one process to another's address. */
type Frame = { from: Host; fromAddress: Address; to: Host; toAddress: Address; text: string; incarnation: number };

const transmit = (network: Network, frame: Frame): void => {
  const { loop, faults } = network;
  const { from, to, text } = frame;
  const isLost = (): boolean => network.isPartitioned(from, to);
  const send = (run: () => void): void =>
    faults.jumble > 0
      ? loop.schedule(network.delay(from, to) + loop.rand.int(faults.jumble), to, run)
      : network.deliver(from, to, run);
  const resend = (): void => {
    if (from.incarnation === frame.incarnation) loop.schedule(loop.rand.int(resendWithin), null, () => send(arrive));
  };
  const holdBack = (): void => {
    if (faults.holdFrames) network.onHeal(resend);
  };
  const arrive = (): void => {
    if (isLost()) return holdBack();
    loop.trace(text.length > tracedLength ? text.slice(0, tracedLength) : text);
    to.frames.get(frame.toAddress)?.receive(frame.fromAddress, text);
  };
  if (isLost()) return holdBack();
  if (faults.loss > 0 && loop.rand.next() < faults.loss) return;
  const twice = (): boolean => faults.loss > 0 && loop.rand.next() < faults.loss / 2;
  send(arrive);
  if (twice()) send(arrive);
};

const listen = (
  network: Network,
  host: Host,
  ...[at, onFrame, onDown]: Parameters<Net['openFrameTransport']>
): FrameTransport => {
  if (host.frames.has(at)) throw fault.make({ step: 'frames.bind', peer: at }, 'address in use');
  const listener: FrameListener = { receive: onFrame, onDown: onDown ?? ((): void => undefined), peers: new Set() };
  host.frames.set(at, listener);
  network.bind(at, host);
  const { incarnation } = host;
  const send = (toAddress: Address, text: string): void => {
    const to = network.hostAt(toAddress);
    if (!to || host.incarnation !== incarnation || !host.alive) return;
    network.counters.frames += 1;
    if (to.zone !== host.zone) network.counters.zoneBytes += Buffer.byteLength(text);
    listener.peers.add(toAddress);
    // Nobody listens there: the connection does not come up. (A partition is silent.)
    if (!to.frames.has(toAddress) && !to.poweredOff && !network.isPartitioned(host, to))
      network.loop.schedule(network.delay(host, to) * 2, host, () => listener.onDown(toAddress));
    else transmit(network, { from: host, fromAddress: at, to, toAddress, text, incarnation });
  };
  return {
    at,
    send,
    close: () => {
      if (host.incarnation === incarnation) host.frames.delete(at);
      return Promise.resolve();
    },
  };
};

/** Frames at an address of the host, as the runtime's `Net` gives them. */
export const openFrames = (...listening: Parameters<typeof listen>): Promise<FrameTransport> =>
  promiseOf(() => listen(...listening));
