// The machines of a simulated deployment and the times for which a fault had hold of them.
import { duration, type Microseconds } from '@thornsail/runtime';
import type { Host, World } from '../world/index.js';

/** When a fault had hold of a machine; `to` is infinite while it still has. */
export type FaultPeriod = { from: Microseconds; to: Microseconds };

/** Hosts by their addresses. What a host's callers bear while a fault has hold of it is no breach (§9.3). */
export type Machines = {
  /** The host at this address; made in this zone when there is none yet. */
  host: (ip: string, zone: string) => Host;
  beginFault: (host: Host) => FaultPeriod;
  /** Whether a fault has had hold of the host since a time. */
  hadFault: (host: Host, since: Microseconds) => boolean;
};

/** Callers may still feel a fault for so long after it is over. */
const aftermath: Microseconds = duration.ms(300);

/** No machines yet. */
export const openMachines = (world: World): Machines => {
  const hosts = new Map<string, Host>();
  const faults = new Map<Host, FaultPeriod[]>();
  return {
    host: (ip, zone) => {
      const host = hosts.get(ip) ?? world.host(ip, zone);
      hosts.set(ip, host);
      return host;
    },
    beginFault: (host) => {
      const period = { from: world.now(), to: Infinity };
      faults.set(host, [...(faults.get(host) ?? []), period]);
      return period;
    },
    hadFault: (host, since) => !host.alive || (faults.get(host) ?? []).some((period) => period.to + aftermath >= since),
  };
};
