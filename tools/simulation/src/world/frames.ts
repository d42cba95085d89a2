// Frames between simulated nodes: they may be lost, duplicated, reordered, or delayed until a partition heals.
import { duration, fault, type Address, type FrameTransport, type Microseconds, type Net } from '@thornsail/runtime';
import type { FrameListener, Host } from './host.js';
import type { Network } from './network.js';
import { promiseOf } from './promise-of.js';

/** Upper bound of the random delay between the end of a partition and the retransmission of a frame. */
const maxRetransmissionDelay: Microseconds = duration.ms(300);
/** Number of leading characters of a frame that go into the trace hash. */
const tracedLength = 64;

/** A frame in transit; `incarnation` is the sender's. */
type Frame = { from: Host; fromAddress: Address; to: Host; toAddress: Address; text: string; incarnation: number };

const transmit = (network: Network, frame: Frame): void => {
  const { loop, faults } = network;
  const { from, to, text } = frame;
  const isPartitioned = (): boolean => network.isPartitioned(from, to);
  const send = (run: () => void): void =>
    faults.reorderWithin > 0
      ? loop.schedule(network.delay(from, to) + loop.rand.int(faults.reorderWithin), to, run)
      : network.deliver(from, to, run);
  const retransmit = (): void => {
    if (from.incarnation === frame.incarnation)
      loop.schedule(loop.rand.int(maxRetransmissionDelay), null, () => send(arrive));
  };
  const retransmitAfterPartition = (): void => {
    if (faults.retransmitFrames) network.onHeal(retransmit);
  };
  const arrive = (): void => {
    if (isPartitioned()) return retransmitAfterPartition();
    loop.trace(text.length > tracedLength ? text.slice(0, tracedLength) : text);
    to.frames.get(frame.toAddress)?.receive(frame.fromAddress, text);
  };
  if (isPartitioned()) return retransmitAfterPartition();
  if (faults.loss > 0 && loop.rand.next() < faults.loss) return;
  const isDuplicated = (): boolean => faults.loss > 0 && loop.rand.next() < faults.loss / 2;
  send(arrive);
  if (isDuplicated()) send(arrive);
};

const listen = (
  network: Network,
  host: Host,
  ...[address, onFrame, onDown]: Parameters<Net['openFrameTransport']>
): FrameTransport => {
  if (host.frames.has(address)) throw fault.make({ step: 'frames.bind', peer: address }, 'address in use');
  const listener: FrameListener = { receive: onFrame, onDown: onDown ?? ((): void => undefined), peers: new Set() };
  host.frames.set(address, listener);
  network.bind(address, host);
  const { incarnation } = host;
  const send = (toAddress: Address, text: string): void => {
    const to = network.hostAt(toAddress);
    if (!to || host.incarnation !== incarnation || !host.alive) return;
    network.counters.frames += 1;
    if (to.zone !== host.zone) network.counters.zoneBytes += Buffer.byteLength(text);
    listener.peers.add(toAddress);
    // No listener: the connection is refused. (A partition causes no refusal.)
    if (!to.frames.has(toAddress) && !to.poweredOff && !network.isPartitioned(host, to))
      network.loop.schedule(network.delay(host, to) * 2, host, () => listener.onDown(toAddress));
    else transmit(network, { from: host, fromAddress: address, to, toAddress, text, incarnation });
  };
  return {
    at: address,
    send,
    close: () => {
      if (host.incarnation === incarnation) host.frames.delete(address);
      return Promise.resolve();
    },
  };
};

/** Opens a frame transport at an address of the host, as the runtime's `Net` does; rejects if the address is in use. */
export const openFrames = (...args: Parameters<typeof listen>): Promise<FrameTransport> =>
  promiseOf(() => listen(...args));
