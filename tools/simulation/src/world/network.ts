// The simulated network: which host listens at an address, message delays, and partitions between hosts.
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import type { EventLoop } from './event-loop.js';
import type { Host } from './host.js';

/** One-way delays between zones and to the callers. `clientIp` is the callers' machine, which is outside all zones. */
export type NetworkOptions = { zoneDelay: Microseconds; clientDelay: Microseconds; clientIp: string };

/** Network faults, set by a scenario. `extraDelay` affects all traffic, the other fields affect frames alone. */
export type NetworkFaults = {
  extraDelay: Microseconds;
  /** Probability that a frame is lost; the probability that it is duplicated is half of it. */
  loss: number;
  /** Upper bound of a random extra delay of each frame, which reorders frames. */
  reorderWithin: Microseconds;
  /** Whether frames that a partition blocked are retransmitted when it heals, as TCP does; else they are lost. */
  retransmitFrames: boolean;
};

/** The network between all hosts of a world. */
export type Network = {
  loop: EventLoop;
  faults: NetworkFaults;
  counters: { frames: number; zoneBytes: number; httpCalls: number };
  addHost: (host: Host) => void;
  hosts: () => Iterable<Host>;
  /** Routes an address to the host from now on. */
  bind: (address: Address, host: Host) => void;
  /** The host bound to the address, else the one with its IP; undefined if there is none. */
  hostAt: (address: Address) => Host | undefined;
  /** One-way delay of a message, with a random part. */
  delay: (from: Host, to: Host) => Microseconds;
  /** Runs a callback at `to` after the delay; in order between two hosts, as over one TCP connection. */
  deliver: (from: Host, to: Host, run: () => void) => void;
  /** Whether a partition blocks messages from one host to another. */
  isPartitioned: (from: Host, to: Host) => boolean;
  /** Blocks messages between two sets of hosts, or only in one direction; returns how to heal the partition. */
  partition: (from: Host[], to: Host[], oneWay: boolean) => () => void;
  /** Runs a callback once, when the next partition heals. */
  onHeal: (run: () => void) => void;
};

type Partition = { from: Set<Host>; to: Set<Host>; oneWay: boolean };
const sameHostDelay: Microseconds = 20;
const sameZoneDelay: Microseconds = 120;
/** The random part of a delay, as a share of the base delay. */
const delayVariation = 0.3;

type Partitions = Pick<Network, 'isPartitioned' | 'partition' | 'onHeal'>;
const openPartitions = (): Partitions => {
  const partitions = new Set<Partition>();
  let onHealed: (() => void)[] = [];
  return {
    isPartitioned: (a, b) => {
      for (const { from, to, oneWay } of partitions)
        if ((from.has(a) && to.has(b)) || (!oneWay && from.has(b) && to.has(a))) return true;
      return false;
    },
    partition: (from, to, oneWay) => {
      const partition = { from: new Set(from), to: new Set(to), oneWay };
      partitions.add(partition);
      return () => {
        partitions.delete(partition);
        const listeners = onHealed;
        onHealed = [];
        for (const run of listeners) run();
      };
    },
    onHeal: (run) => void onHealed.push(run),
  };
};

/** Creates a network without hosts and without faults. */
export const openNetwork = (loop: EventLoop, options: NetworkOptions): Network => {
  const { rand, now, schedule } = loop;
  const faults: NetworkFaults = { extraDelay: 0, loss: 0, reorderWithin: 0, retransmitFrames: false };
  const hostsByIp = new Map<string, Host>();
  const hosts = new Set<Host>();
  /** The host that listened last at an address. */
  const hostsByAddress = new Map<Address, Host>();
  const lastDelivery = new Map<string, Microseconds>();
  const baseDelay = (from: Host, to: Host): Microseconds => {
    if (from.ip === options.clientIp || to.ip === options.clientIp) return options.clientDelay;
    return from.zone === to.zone ? sameZoneDelay : options.zoneDelay;
  };
  const delay = (from: Host, to: Host): Microseconds => {
    if (from === to) return sameHostDelay;
    const base = baseDelay(from, to);
    return base + rand.int(Math.max(1, Math.round(base * delayVariation))) + faults.extraDelay;
  };
  return {
    loop,
    faults,
    counters: { frames: 0, zoneBytes: 0, httpCalls: 0 },
    addHost: (host) => {
      hostsByIp.set(host.ip, host);
      hosts.add(host);
    },
    hosts: () => hosts,
    bind: (target, host) => void hostsByAddress.set(target, host),
    hostAt: (target) => hostsByAddress.get(target) ?? hostsByIp.get(address.host(target)),
    delay,
    deliver: (from, to, run) => {
      const key = `${from.ip}>${to.ip}`;
      const deliverAt = Math.max(now() + delay(from, to), (lastDelivery.get(key) ?? 0) + 1);
      lastDelivery.set(key, deliverAt);
      schedule(deliverAt - now(), to, run);
    },
    ...openPartitions(),
  };
};
