// The simulated network: who stands at an address, how long a message takes, and which hosts are partitioned.
import { address, type Address, type Microseconds } from '@thornsail/runtime';
import type { EventLoop } from './event-loop.js';
import type { Host } from './host.js';

/** Delays, one way. `clientIp` is the machine of the callers, which stands outside the zones. */
export type NetworkOptions = { zoneDelay: Microseconds; clientDelay: Microseconds; clientIp: string };

/** What happens to frames and to all traffic, set by a scenario. */
export type NetworkFaults = {
  extraDelay: Microseconds;
  /** The chance that a frame gets lost; half of it: that it comes twice. */
  loss: number;
  /** Frames overtake one another by up to this. */
  jumble: Microseconds;
  /** Whether frames that a partition holds up arrive once it is healed, as TCP sends them again. */
  holdFrames: boolean;
};

/** The network between all hosts of a world. */
export type Network = {
  loop: EventLoop;
  faults: NetworkFaults;
  counters: { frames: number; zoneBytes: number; httpCalls: number };
  addHost: (host: Host) => void;
  hosts: () => Iterable<Host>;
  /** From now on this host is the one that listens at the address. */
  bind: (at: Address, host: Host) => void;
  hostAt: (at: Address) => Host | undefined;
  delay: (from: Host, to: Host) => Microseconds;
  /** Runs at `to` after the delay; in order between two hosts, as over one TCP connection. */
  deliver: (from: Host, to: Host, run: () => void) => void;
  /** Whether what goes from one host to another is held up. */
  isPartitioned: (from: Host, to: Host) => boolean;
  /** Returns how to heal it. */
  partition: (from: Host[], to: Host[], oneWay: boolean) => () => void;
  /** Called once, when a partition is healed. */
  onHeal: (run: () => void) => void;
};

type Partition = { from: Set<Host>; to: Set<Host>; oneWay: boolean };
const withinProcess: Microseconds = 20;
const withinZone: Microseconds = 120;
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
      const one = { from: new Set(from), to: new Set(to), oneWay };
      partitions.add(one);
      return () => {
        partitions.delete(one);
        const all = onHealed;
        onHealed = [];
        for (const run of all) run();
      };
    },
    onHeal: (run) => void onHealed.push(run),
  };
};

/** Opens a network without hosts and without faults. */
export const openNetwork = (loop: EventLoop, options: NetworkOptions): Network => {
  const { rand, now, schedule } = loop;
  const faults: NetworkFaults = { extraDelay: 0, loss: 0, jumble: 0, holdFrames: false };
  const hostsByIp = new Map<string, Host>();
  const hosts = new Set<Host>();
  /** By address, once something has listened there. */
  const bound = new Map<Address, Host>();
  const lastDelivery = new Map<string, Microseconds>();
  const usualDelay = (from: Host, to: Host): Microseconds => {
    if (from.ip === options.clientIp || to.ip === options.clientIp) return options.clientDelay;
    return from.zone === to.zone ? withinZone : options.zoneDelay;
  };
  const delay = (from: Host, to: Host): Microseconds => {
    if (from === to) return withinProcess;
    const usual = usualDelay(from, to);
    return usual + rand.int(Math.max(1, Math.round(usual * delayVariation))) + faults.extraDelay;
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
    bind: (at, host) => void bound.set(at, host),
    hostAt: (at) => bound.get(at) ?? hostsByIp.get(address.host(at)),
    delay,
    deliver: (from, to, run) => {
      const key = `${from.ip}>${to.ip}`;
      const at = Math.max(now() + delay(from, to), (lastDelivery.get(key) ?? 0) + 1);
      lastDelivery.set(key, at);
      schedule(at - now(), to, run);
    },
    ...openPartitions(),
  };
};
